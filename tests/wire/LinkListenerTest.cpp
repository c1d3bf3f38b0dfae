#include "core/DescriptorLimit.h"
#include "wire/Link.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace lovagecourse;

// Guards against a busy loop while there is no descriptor for a new link, and against a listener
// that does not go on afterwards.
TEST_CASE("link listener, no descriptors left, pauses and then accepts")
{
    EventLoop loop;
    const Endpoint endpoint{"127.0.0.1", 23071};
    int accepted = -1;
    auto opened =
            LinkListener::open(loop, endpoint, [&](int descriptor) { accepted = descriptor; });
    REQUIRE(opened.index() == 0);
    const int peer = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = toSocketAddress(endpoint);
    REQUIRE(connect(peer, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    const auto runFor = [&](milliseconds time) {
        Timer end(loop, [&] { loop.stop(); });
        end.startOnce(time);
        loop.run();
    };
    auto limit = std::make_unique<test::DescriptorLimit>();
    const unsigned iterations = ev_iteration(loop.handle());
    runFor(milliseconds(300));
    const unsigned iterationsInPause = ev_iteration(loop.handle()) - iterations;
    limit.reset();
    CHECK(accepted == -1);
    // One failure and one timer per 50 ms.
    CHECK(iterationsInPause <= 20);
    runFor(milliseconds(100));
    CHECK(accepted >= 0);
    close(accepted);
    close(peer);
}
