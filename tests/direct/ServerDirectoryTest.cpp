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

// Guards against requests to a server that has deregistered.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, record deleted, server is removed at once")
{
    add("a");
    const auto changes = remove("a");
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].entry);
    CHECK(directory.size() == 0);
}

// Guards against the loss of live servers whose registrations expired during a store outage.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, registration expired in an outage, may register again")
{
    add("a");
    add("b");
    directory.onStoreRecovered(now);
    CHECK(remove("a").empty());
    CHECK(remove("b").empty());
    now += milliseconds(1500);
    CHECK(add("a").size() == 1);
    CHECK(directory.expire(now).empty());
    now += milliseconds(600);
    const auto removed = directory.expire(now);
    REQUIRE(removed.size() == 1);
    CHECK(removed[0].id == ServerId("b"));
    CHECK(directory.size() == 1);
}

// Guards against servers that stay in the directory because the records that deleted them expired
// before they were read.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, all records applied, missing servers are removed")
{
    add("a");
    add("b");
    const auto changes = directory.applyAll({{ServerId("b"), entry("b")}}, now);
    CHECK(changes.size() == 2);
    CHECK(directory.size() == 1);
}

// Guards against a change that is mistaken for a heartbeat: other routers would skip its record.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, heartbeat record, is no change")
{
    add("a");
    CHECK_FALSE(directory.isChange(ServerId("a"), entry("a")));
    CHECK_FALSE(directory.isChange(ServerId("unknown"), std::nullopt));
    CHECK(directory.isChange(ServerId("b"), entry("b")));
    CHECK(directory.isChange(ServerId("a"), std::nullopt));
    ServerEntry leaving = entry("a");
    leaving.isDraining = true;
    CHECK(directory.isChange(ServerId("a"), leaving));
    directory.onStoreRecovered(now);
    remove("a");
    CHECK(directory.isChange(ServerId("a"), entry("a")));
}
