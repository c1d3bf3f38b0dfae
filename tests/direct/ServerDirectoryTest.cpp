#include "direct/ServerDirectory.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ServerDirectoryFixture
{
    ServerDirectory directory;
    TimePoint now{std::chrono::hours(1)};

    static ServerEntry entry(const std::string &id)
    {
        ServerEntry entry;
        entry.id = ServerId(id);
        entry.service = ServiceId("s");
        return entry;
    }
    std::vector<RegistrationChange> add(const std::string &id)
    {
        return directory.apply(ServerId(id), entry(id), now);
    }
    std::vector<RegistrationChange> remove(const std::string &id)
    {
        return directory.apply(ServerId(id), std::nullopt, now);
    }
};

} // namespace

// Guards against requests to a server that has left.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, entry removed, server is gone at once")
{
    add("a");
    const auto changes = remove("a");
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].entry);
    CHECK(directory.size() == 0);
}

// Guards against the loss of all servers whose entries lapsed while the store was away.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, lapsed in an outage, may come back")
{
    add("a");
    add("b");
    directory.onStoreReturned(now);
    CHECK(remove("a").empty());
    CHECK(remove("b").empty());
    now += milliseconds(1500);
    CHECK(add("a").size() == 1);
    CHECK(directory.expire(now).empty());
    now += milliseconds(600);
    const auto gone = directory.expire(now);
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].id == ServerId("b"));
    CHECK(directory.size() == 1);
}

// Guards against servers that stay known when the records of their removal have expired.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, whole list read, missing ones are gone")
{
    add("a");
    add("b");
    const auto changes = directory.applyAll({{ServerId("b"), entry("b")}}, now);
    CHECK(changes.size() == 2);
    CHECK(directory.size() == 1);
}

// Guards against a change that other routers are told not to read.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, heartbeat, is no news but a change is")
{
    add("a");
    CHECK_FALSE(directory.isNews(ServerId("a"), entry("a")));
    CHECK_FALSE(directory.isNews(ServerId("unknown"), std::nullopt));
    CHECK(directory.isNews(ServerId("b"), entry("b")));
    CHECK(directory.isNews(ServerId("a"), std::nullopt));
    ServerEntry leaving = entry("a");
    leaving.isDraining = true;
    CHECK(directory.isNews(ServerId("a"), leaving));
    directory.onStoreReturned(now);
    remove("a");
    CHECK(directory.isNews(ServerId("a"), entry("a")));
}
