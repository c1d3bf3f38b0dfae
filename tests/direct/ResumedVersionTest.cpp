#include "direct/DirectRouterFixture.h"

#include <set>

using namespace lovagecourse;
using namespace lovagecourse::test;

namespace {

/// Two servers each of two software versions. A stream breaks after two of its four events, at a
/// route that sends a request to one server only or to two.
struct ResumedVersionFixture : DirectRouterFixture
{
    ResumedVersionFixture()
    {
        addRoute("/once/", RequestKind::ResumableStream, 1);
        configure();
        for (const char *version : {"v1", "v1", "v2", "v2"}) {
            addServer([](auto &connection, const std::string &request) {
                if (headerValue(request, "last-event-id").empty()) {
                    connection.send(streamHead(request) + chunk(event(1) + event(2)));
                    connection.reset();
                } else {
                    connection.send(streamHead(request) + chunk(event(3) + event(4)) + "0\r\n\r\n");
                }
            });
            registerAs(entries.size() - 1, version);
        }
    }

    void registerAs(std::size_t server, const std::string &version)
    {
        entries[server].version = SoftwareVersion(version);
        streams.onRegistered(entries[server]);
        pool.apply(RegistrationChange{entries[server].id, entries[server], {}}, clock.now());
    }
    void remove(std::size_t server)
    {
        streams.onRemoved(entries[server].id);
        pool.apply(RegistrationChange{entries[server].id, std::nullopt, {}}, clock.now());
    }

    /// Versions of the servers that have received a request whose header has the value.
    std::set<std::string> versionsOf(const std::string &header, const std::string &value) const
    {
        std::set<std::string> versions;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            for (const std::string &request : servers[i]->requests()) {
                if (headerValue(request, header) == value)
                    versions.insert(entries[i].version.value);
            }
        }
        return versions;
    }
    CallerAnswer begin(const std::string &path, const std::string &id)
    {
        return call("POST", path, {{"x-lovagecourse-attempt-id", id}}, "b");
    }
    CallerAnswer takeUp(const std::string &first, const std::string &id)
    {
        return call("POST", "/once/x",
                    {{"x-lovagecourse-attempt-id", id}, {"resumes", first}, {"last-event-id", "2"}},
                    "b");
    }
};

constexpr int streamCount = 12;

} // namespace

// Guards against an answer whose events come from two software versions.
TEST_CASE_METHOD(ResumedVersionFixture,
                 "resumed stream, broken within an answer, goes on at the version that began it")
{
    for (int i = 0; i < streamCount; ++i) {
        const std::string id = "stream-" + std::to_string(i);
        const CallerAnswer got = begin("/resume/x", id);
        CAPTURE(i);
        CHECK(got.isComplete);
        CHECK(got.body == event(1) + event(2) + event(3) + event(4));
        CHECK(versionsOf("x-lovagecourse-attempt-id", id).size() == 1);
        // Crashed servers are avoided for a time.
        for (std::size_t server = 0; server < servers.size(); ++server) {
            remove(server);
            registerAs(server, entries[server].version.value);
        }
    }
}

// Guards against a client's tries whose events come from two software versions.
TEST_CASE_METHOD(ResumedVersionFixture,
                 "resumed stream, taken up by its client, goes on at the version that began it")
{
    for (int i = 0; i < streamCount; ++i) {
        const std::string first = "first-" + std::to_string(i);
        const std::string second = "second-" + std::to_string(i);
        CHECK_FALSE(begin("/once/x", first).isComplete);
        const CallerAnswer got = takeUp(first, second);
        CAPTURE(i);
        CHECK(got.status == 200);
        CHECK(got.body == event(3) + event(4));
        CHECK(versionsOf("x-lovagecourse-attempt-id", first)
              == versionsOf("x-lovagecourse-attempt-id", second));
        for (std::size_t server = 0; server < servers.size(); ++server) {
            remove(server);
            registerAs(server, entries[server].version.value);
        }
    }
}

// Guards against take-ups that are refused because another service of a split route was drawn.
TEST_CASE_METHOD(ResumedVersionFixture,
                 "resumed stream, route is split among services, goes on at its service")
{
    for (const std::size_t server : {std::size_t(2), std::size_t(3)})
        entries[server].service = ServiceId("other");
    for (std::size_t server = 0; server < servers.size(); ++server) {
        remove(server);
        registerAs(server, server < 2 ? "v1" : "v2");
    }
    for (Route &route : configuration->routes["shop.example"])
        route.services = {{ServiceId("desk"), 1}, {ServiceId("other"), 1}};
    configure();
    for (int i = 0; i < streamCount; ++i) {
        const std::string first = "first-" + std::to_string(i);
        const std::string second = "second-" + std::to_string(i);
        CHECK_FALSE(begin("/once/x", first).isComplete);
        CAPTURE(i);
        CHECK(takeUp(first, second).status == 200);
        CHECK(versionsOf("x-lovagecourse-attempt-id", first)
              == versionsOf("x-lovagecourse-attempt-id", second));
        for (std::size_t server = 0; server < servers.size(); ++server) {
            remove(server);
            registerAs(server, entries[server].version.value);
        }
    }
}

// Guards against a stream that goes on at another version because none of its own is left.
TEST_CASE_METHOD(ResumedVersionFixture,
                 "resumed stream, its version has left, is refused as not run")
{
    remove(2);
    remove(3);
    CHECK_FALSE(begin("/once/x", "first").isComplete);
    registerAs(2, "v2");
    remove(0);
    remove(1);
    const std::size_t before = requestsAtServers();
    CHECK(takeUp("first", "second").status == 503);
    CHECK(requestsAtServers() == before);
}
