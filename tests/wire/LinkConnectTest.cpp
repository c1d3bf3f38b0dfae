#include "core/DescriptorLimit.h"
#include "wire/Link.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace lovagecourse;

// Guards against a process that aborts when no descriptor is left for a link, and against a link
// that can't be opened once there is one again.
TEST_CASE("link, no descriptors left, reports the error and connects later")
{
    EventLoop loop;
    const SystemClock clock;
    Metrics metrics;
    const Authenticator key("a-key-of-the-link-tests");
    const WireContext context{loop, clock, metrics, key, {}};
    int called = 0;
    const Link::Handlers handlers{[&](const Hello &) { ++called; }, [&](Message &&) { ++called; },
                                  [&](const LinkFailure &) { ++called; }};
    const Endpoint endpoint{"127.0.0.1", 1};
    auto limit = std::make_unique<test::DescriptorLimit>();
    const auto refused = Link::connect(context, endpoint, handlers);
    limit.reset();
    const auto *failure = std::get_if<SocketFailure>(&refused);
    REQUIRE(failure != nullptr);
    CHECK(failure->error == EMFILE);
    CHECK(called == 0);
    const auto connected = Link::connect(context, endpoint, handlers);
    CHECK(std::holds_alternative<std::unique_ptr<Link>>(connected));
}
