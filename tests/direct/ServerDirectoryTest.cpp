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
        return directory.apply(ServerId(id), entry(id), std::nullopt, now);
    }
    std::vector<RegistrationChange> remove(const std::string &id)
    {
        return directory.apply(ServerId(id), std::nullopt, std::nullopt, now);
    }
    /// The store returns after an outage in which no server could renew its registration.
    void endOutage(milliseconds outage = milliseconds(6000))
    {
        directory.onStoreReturned(outage, outage, now);
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
    endOutage();
    CHECK(remove("a").empty());
    CHECK(remove("b").empty());
    now += milliseconds(1500);
    CHECK(add("a").size() == 1);
    CHECK(directory.expire(true, now).empty());
    now += milliseconds(600);
    const auto removed = directory.expire(true, now);
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
    endOutage();
    remove("a");
    CHECK(directory.isChange(ServerId("a"), entry("a")));
}

// Guards against a removal that is held back because one read of the store got no answer in time.
TEST_CASE_METHOD(ServerDirectoryFixture, "server directory, one late read, removal takes effect")
{
    add("a");
    directory.onStoreReturned(milliseconds(1400), milliseconds(1400), now);
    CHECK(remove("a").size() == 1);
}

// Guards against a removal that is held back because this router alone could not reach the store.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, store answered other routers, removal takes effect")
{
    add("a");
    directory.onStoreReturned(seconds(6), milliseconds(800), now);
    CHECK(remove("a").size() == 1);
}

// Guards against a removal that is held back although its server has renewed since the return.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, server renewed after the return, removal takes effect")
{
    add("a");
    add("b");
    endOutage();
    directory.apply(ServerId("a"), entry("a"), now - milliseconds(800), now);
    directory.apply(ServerId("b"), entry("b"), now - milliseconds(6000), now);
    now += milliseconds(900);
    CHECK(remove("a").size() == 1);
    CHECK(remove("b").empty());
}

// Guards against the loss of live servers when nobody was answered for a part of the time.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, outage in the unread time, may register again")
{
    add("a");
    directory.onStoreReturned(seconds(6), seconds(2), now);
    CHECK(remove("a").empty());
    CHECK(directory.holdsRemoval(ServerId("a"), now));
    now += milliseconds(2100);
    CHECK(directory.expire(true, now).size() == 1);
}

// Guards against the loss of a live server whose new registration could not be read in time.
TEST_CASE_METHOD(ServerDirectoryFixture,
                 "server directory, store lost again in the grace period, may register again")
{
    add("a");
    endOutage();
    CHECK(remove("a").empty());
    now += milliseconds(1500);
    CHECK(directory.expire(false, now + milliseconds(1000)).empty());
    now += milliseconds(1500);
    directory.onStoreReturned(milliseconds(1500), milliseconds(800), now);
    CHECK(directory.expire(true, now).empty());
    now += milliseconds(600);
    CHECK(directory.expire(true, now).size() == 1);
}

namespace {

/// The store has come back from a copy from before what the directory knows.
struct OlderCopyFixture : ServerDirectoryFixture
{
    std::vector<RegistrationChange> readCopy(std::vector<ServerEntry> entries)
    {
        std::map<ServerId, ServerEntry> copied;
        for (ServerEntry &entry : entries)
            copied.emplace(entry.id, entry);
        directory.onOlderCopy(now);
        return directory.applyAll(copied, now);
    }
    static ServerEntry entryOf(const std::string &id, std::uint64_t startedMs, bool isDraining)
    {
        ServerEntry result = entry(id);
        result.startedMs = startedMs;
        result.isDraining = isDraining;
        return result;
    }
    void apply(const ServerEntry &entry)
    {
        directory.apply(entry.id, entry, now - milliseconds(100), now);
    }
    bool isKnown(const ServerEntry &entry) const { return !directory.isChange(entry.id, entry); }
};

} // namespace

// Guards against the loss of sound servers that have joined since the copy, although they have
// renewed just before the store went away.
TEST_CASE_METHOD(OlderCopyFixture,
                 "server directory, older copy lacks a server, stays in use until the grace ends")
{
    apply(entry("old"));
    apply(entry("renews"));
    apply(entry("gone"));
    CHECK(readCopy({entry("old")}).size() == 1);
    CHECK(directory.size() == 3);
    // A record that deletes a server of the copy may be the expiry of an old registration.
    CHECK(remove("old").empty());
    now += milliseconds(1200);
    apply(entry("old"));
    apply(entry("renews"));
    CHECK(directory.expire(true, now).empty());
    // Since it was written after the return, its removal is one.
    CHECK(remove("renews").size() == 1);
    now += milliseconds(900);
    const auto removed = directory.expire(true, now);
    REQUIRE(removed.size() == 1);
    CHECK(removed[0].id == ServerId("gone"));
}

// Guards against requests to a server that has left, or is about to, and that the copy still lists
// as ready.
TEST_CASE_METHOD(OlderCopyFixture,
                 "server directory, older copy lists servers as before they left, stay out")
{
    const ServerEntry left = entryOf("left", 5, false);
    apply(left);
    remove("left");
    const ServerEntry leaving = entryOf("leaving", 5, true);
    apply(leaving);
    const ServerEntry restarted = entryOf("restarted", 9, false);
    apply(restarted);
    readCopy({left, entryOf("leaving", 5, false), entryOf("restarted", 5, true)});
    CHECK(directory.size() == 2);
    CHECK(isKnown(leaving));
    CHECK(isKnown(restarted));
    // Their next records don't come from the copy.
    apply(left);
    apply(entryOf("leaving", 6, false));
    CHECK(directory.size() == 3);
    CHECK(isKnown(entryOf("leaving", 6, false)));
}

// Guards against a server that stays out because an earlier run of it has left.
TEST_CASE_METHOD(OlderCopyFixture, "server directory, older copy lists a later run, is used")
{
    apply(entryOf("a", 5, false));
    remove("a");
    readCopy({entryOf("a", 6, false)});
    CHECK(directory.size() == 1);
    CHECK(isKnown(entryOf("a", 6, false)));
}

// Guards against a removal that is forgotten, or remembered for ever.
TEST_CASE_METHOD(OlderCopyFixture,
                 "server directory, full read long after the copy, counts as it is")
{
    const ServerEntry left = entryOf("left", 5, false);
    apply(left);
    remove("left");
    readCopy({left});
    CHECK(directory.size() == 0);
    now += milliseconds(2100);
    directory.applyAll({{left.id, left}}, now);
    CHECK(directory.size() == 1);
}
