#include "agent/RestartWatchPair.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <thread>

using namespace lovagecourse;

namespace {

struct RestartWatchFixture
{
    EventLoop loop;
    SystemClock clock;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    RestartWatch watch{loop, clock};

    RestartWatchFixture()
    {
        sockaddr_in address = toSocketAddress(Endpoint{"127.0.0.1", 0});
        socklen_t length = sizeof(address);
        REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(listener, 4) == 0);
        // accept() fails after this time instead of blocking the test.
        const timeval timeout{0, 600000};
        setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        watch.watch(toEndpoint(address));
    }
    ~RestartWatchFixture() { close(listener); }
    RestartWatchFixture(const RestartWatchFixture &) = delete;
    RestartWatchFixture &operator=(const RestartWatchFixture &) = delete;

    void run(milliseconds duration)
    {
        Timer end(loop, [this] { loop.stop(); });
        end.startOnce(duration);
        loop.run();
    }

    /// Ends the oldest connection as the end of a server's process does.
    void endConnection() const
    {
        const int accepted = accept(listener, nullptr, nullptr);
        if (accepted >= 0)
            close(accepted);
    }
};

} // namespace

// Guards against a late process that takes the time at which it notices a crash for that of the
// crash, and so takes requests that it has sent in between for its cause.
TEST_CASE_METHOD(RestartWatchFixture, "restart watch, end noticed late, has the time of the end")
{
    run(milliseconds(50));
    const TimePoint ended = clock.now();
    endConnection();
    const TimePoint endedBefore = clock.now();
    std::this_thread::sleep_for(milliseconds(300));
    run(milliseconds(50));
    REQUIRE(watch.ends().size() == 1);
    const IdleEnd &end = watch.ends().front();
    CHECK(end.establishedAt < ended);
    // Not before the end, and later by at most the resolution of the kernel's times, twice.
    CHECK(end.endedAt >= ended);
    CHECK(end.endedAt <= endedBefore + milliseconds(20));
    CHECK(end.noticedAt >= ended + milliseconds(300));
}

// Guards against a second crash that is not noticed because the watch waits before it connects
// again, and against a load of connections on a server that closes each at once.
TEST_CASE_METHOD(RestartWatchFixture, "restart watch, connection ended, connects again at once")
{
    run(milliseconds(600));
    endConnection();
    // Less than the longest wait, 500 ms.
    run(milliseconds(200));
    endConnection();
    run(milliseconds(200));
    CHECK(watch.ends().size() == 2);
    std::thread server([this] {
        for (int i = 0; i < 6; ++i)
            endConnection();
    });
    run(milliseconds(1200));
    // After the 10 ms: 20, 40, 80, 160, 320 and 500 ms.
    CHECK(watch.ends().size() >= 4);
    CHECK(watch.ends().size() <= 8);
    shutdown(listener, SHUT_RDWR);
    server.join();
}

// Guards against two idle connections that a server's idle timeout ends together, and against one
// that counts as open although its end has arrived.
TEST_CASE_METHOD(RestartWatchFixture, "restart watch pair, started apart, a crash ends both")
{
    RestartWatchPair pair(loop, clock);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    pair.watch(toEndpoint(address));
    run(milliseconds(700));
    CHECK(pair.oldestOpen().has_value());
    // The pair's and the fixture's.
    for (int i = 0; i < 3; ++i)
        endConnection();
    std::this_thread::sleep_for(milliseconds(50));
    CHECK_FALSE(pair.oldestOpen().has_value());
    run(milliseconds(50));
    const std::vector<IdleEnd> ends = pair.ends();
    REQUIRE(ends.size() == 2);
    CHECK(std::chrono::abs(ends[0].establishedAt - ends[1].establishedAt) >= milliseconds(250));
}
