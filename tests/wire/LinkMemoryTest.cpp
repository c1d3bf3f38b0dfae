#include "wire/Link.h"

#include <catch2/catch.hpp>
#include <malloc.h>
#include <unistd.h>

using namespace lovagecourse;

namespace {

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against a large body that the receiver of a frame holds, or counts, several times while it
// is handed on: in the frame, in its payload and in the message.
TEST_CASE("link, large body, is held and counted once when it is handed on")
{
    constexpr std::size_t bodyBytes = 8U << 20;
    EventLoop loop;
    const SystemClock clock;
    Metrics metrics;
    MemoryAccount memory(MemoryLimits{8 * bodyBytes, bodyBytes});
    const Authenticator key("a-key-of-the-link-tests");
    const WireContext sending{loop, clock, metrics, key, {}};
    WireContext receiving = sending;
    receiving.memory = &memory;
    std::size_t before = 0;
    std::size_t held = 0;
    std::size_t received = 0;
    const auto ignoreHello = [](const Hello &) {};
    const auto ignoreEnd = [](const LinkFailure &) {};
    Link::Handlers receiver{ignoreHello,
                            [&](Message &&message) {
                                held = allocatedBytes() - before;
                                const std::string &body = std::get<GrantAccept>(message).body;
                                MemoryReservation kept(&memory, MemoryHolder::RequestBodies);
                                kept.resize(body.size());
                                received = body.size();
                                loop.stop();
                            },
                            ignoreEnd};
    std::unique_ptr<Link> acceptor;
    Endpoint endpoint{"127.0.0.1", 0};
    std::unique_ptr<LinkListener> listener;
    // Another test program on the machine may have the port.
    for (int attempt = 0; !listener && attempt < 100; ++attempt) {
        endpoint.port = static_cast<std::uint16_t>(23100 + (getpid() + attempt * 7) % 900);
        auto opened = LinkListener::open(loop, endpoint, [&](int descriptor) {
            acceptor = Link::accept(receiving, descriptor, receiver);
        });
        if (auto *ready = std::get_if<std::unique_ptr<LinkListener>>(&opened))
            listener = std::move(*ready);
    }
    REQUIRE(listener);
    std::unique_ptr<Link> connector;
    Link::Handlers sender{[&](const Hello &) {
                              GrantAccept accept;
                              accept.body.assign(bodyBytes, 'x');
                              connector->send(std::move(accept));
                          },
                          [](Message &&) {}, ignoreEnd};
    before = allocatedBytes();
    auto connected = Link::connect(sending, endpoint, sender);
    REQUIRE(connected.index() == 0);
    connector = std::move(std::get<0>(connected));
    loop.run();
    CHECK(received == bodyBytes);
    CHECK(held < 2 * bodyBytes);
    CHECK(memory.highWaterMark() < 2 * bodyBytes);
}
