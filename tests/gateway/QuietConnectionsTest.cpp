#include "gateway/QuietConnections.h"
#include "gateway/ReceivedBytes.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

using namespace lovagecourse;

// Guards against closing the connection of a client whose first bytes are on their way, and against
// one byte that protects a connection for as long as its client likes.
TEST_CASE("quiet connections, without a request line, may be closed after 0.1 or 3 s")
{
    CHECK_FALSE(mayCloseUnused(milliseconds(99), false));
    CHECK(mayCloseUnused(milliseconds(100), false));
    CHECK_FALSE(mayCloseUnused(milliseconds(2999), true));
    CHECK(mayCloseUnused(milliseconds(3000), true));
}

// Guards against clients that send nothing and outlast clients that have had an answer.
TEST_CASE("quiet connections, unused and idle, are visited unused first and oldest first")
{
    std::array<char, 5> places{};
    const auto at = [&](std::size_t i) { return reinterpret_cast<MHD_Connection *>(&places[i]); };
    QuietConnections quiet;
    quiet.addUnused(at(0), TimePoint());
    quiet.addUnused(at(1), TimePoint());
    quiet.addIdle(at(0), TimePoint());
    quiet.addIdle(at(2), TimePoint());
    quiet.addUnused(at(3), TimePoint());
    quiet.addUnused(at(4), TimePoint());
    quiet.remove(at(4));
    std::vector<MHD_Connection *> visited;
    quiet.visit([&](const QuietConnection &connection) {
        visited.push_back(connection.connection);
        quiet.remove(connection.connection);
        return visited.size() < 4;
    });
    CHECK(visited == std::vector{at(1), at(3), at(0), at(2)});
}

// Guards against taking a request line that is read in part for a connection without any byte.
TEST_CASE("received bytes, connection before and after its first byte was read, are noticed")
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *plain = reinterpret_cast<sockaddr *>(&address);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(bind(listener, plain, size) == 0);
    REQUIRE(listen(listener, 1) == 0);
    REQUIRE(getsockname(listener, plain, &size) == 0);
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(client, plain, size) == 0);
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    CHECK_FALSE(hasReceivedBytes(accepted));
    char byte = 'P';
    REQUIRE(send(client, &byte, 1, 0) == 1);
    REQUIRE(recv(accepted, &byte, 1, 0) == 1);
    CHECK(hasReceivedBytes(accepted));
    for (const int descriptor : {client, accepted, listener})
        close(descriptor);
}
