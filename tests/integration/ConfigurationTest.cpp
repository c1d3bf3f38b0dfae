#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

/// An accepted note is applied in every live process within this time (guarantee G8).
constexpr std::chrono::seconds maxConfigurationDelay{5};
const nlohmann::json cut{{"cut", true}};
const nlohmann::json healthy = nlohmann::json::object();

/// Samples the note numbers of all daemons. Records a fault if a number decreases within an
/// incarnation, or if a ready daemon reports a note older than one that all daemons had applied.
class NoteWatcher
{
public:
    explicit NoteWatcher(const Fleet &fleet)
        : fleet_(fleet)
        , thread_([this] { run(); })
    {}

    ~NoteWatcher()
    {
        stopping_ = true;
        thread_.join();
    }

    void setAppliedNote(std::uint64_t note) { appliedNote_ = note; }

    std::vector<std::string> faults()
    {
        const std::lock_guard lock(mutex_);
        return faults_;
    }

private:
    void run()
    {
        while (!stopping_) {
            for (const std::string &daemon : fleet_.daemons())
                sample(daemon);
            std::this_thread::sleep_for(20ms);
        }
    }

    void sample(const std::string &daemon)
    {
        // Read before the page: the page may be older than a note that is applied meanwhile.
        const std::uint64_t appliedNote = appliedNote_;
        const nlohmann::json page = fleet_.status(daemon);
        if (!page.is_object())
            return;
        const auto note = page["note"].get<std::uint64_t>();
        std::uint64_t &last = newest_[daemon + '/' + page["incarnation"].dump()];
        const bool isStale = page["ready"] == true && note < appliedNote;
        if (note < last || isStale) {
            const std::lock_guard lock(mutex_);
            faults_.push_back(daemon + (isStale ? " is ready with note " : " went back to note ")
                              + std::to_string(note) + " after note "
                              + std::to_string(isStale ? appliedNote : last));
        }
        last = std::max(last, note);
    }

    const Fleet &fleet_;
    std::atomic<std::uint64_t> appliedNote_{1};
    std::atomic<bool> stopping_{false};
    std::map<std::string, std::uint64_t> newest_;
    std::mutex mutex_;
    std::vector<std::string> faults_;
    std::thread thread_;
};

struct ConfigurationFixture
{
    explicit ConfigurationFixture(std::string settings = {})
        : fleet(options(std::move(settings)))
        , watcher(fleet)
    {}

    ~ConfigurationFixture() { CHECK(watcher.faults().empty()); }

    static FleetOptions options(std::string settings)
    {
        FleetOptions options;
        options.entries = 3;
        options.engines = 1;
        options.proxied = true;
        options.settings = std::move(settings);
        return options;
    }

    static std::string noteFollowing(std::uint64_t predecessor, const std::string &account)
    {
        return "follows = " + std::to_string(predecessor)
               + "\ntitle = \"note\"\n[[added.accounts]]\nname = \"" + account
               + "\"\nshare = 1.0\nkeys = [\"" + std::string(64, 'a') + "\"]\n";
    }

    /// Submits a note that only changes a share, so that the configuration does not grow.
    CommandResult submit(std::uint64_t predecessor)
    {
        return fleet.submitNote(
                "follows = " + std::to_string(predecessor)
                + "\ntitle = \"share\"\n[[changed.accounts]]\nname = \"a\"\nshare = "
                + std::to_string(2 + predecessor % 3) + ".0\n");
    }

    std::uint64_t noteOf(const std::string &daemon)
    {
        const nlohmann::json page = fleet.status(daemon);
        return page.is_object() ? page["note"].get<std::uint64_t>() : 0;
    }

    bool isReady(const std::string &daemon)
    {
        const nlohmann::json page = fleet.status(daemon);
        return page.is_object() && page["ready"] == true;
    }

    bool waitUntilApplied(std::uint64_t note, std::vector<std::string> daemons = {})
    {
        const bool onAllDaemons = daemons.empty();
        if (onAllDaemons)
            daemons = fleet.daemons();
        const bool done = waitUntil(maxConfigurationDelay, [&] {
            return std::all_of(daemons.begin(), daemons.end(),
                               [&](const auto &daemon) { return noteOf(daemon) >= note; });
        });
        if (onAllDaemons && done)
            watcher.setAppliedNote(note);
        return done;
    }

    /// Sets a fault between the platform and all daemons but one.
    void setPlatformFault(const std::string &exception, const nlohmann::json &rules)
    {
        for (const std::string &daemon : fleet.daemons()) {
            if (daemon != exception)
                REQUIRE(fleet.setFault(daemon + ">platform", rules));
        }
    }

    void expireBefore(std::uint64_t offset)
    {
        REQUIRE(postJson(fleet.platformUrl() + "/control/expire",
                         {{"stream", "configuration"}, {"before", offset}}));
    }

    nlohmann::json records()
    {
        return getJson(fleet.platformUrl() + "/streams/configuration/records?from=0");
    }

    /// Offset of the newest snapshot record; 0 if there is none.
    std::uint64_t snapshotOffset()
    {
        std::uint64_t offset = 0;
        const nlohmann::json page = records();
        for (const nlohmann::json &record : page["records"]) {
            if (record["id"].get<std::string>().starts_with("snapshot-"))
                offset = record["offset"];
        }
        return offset;
    }

    Fleet fleet;
    NoteWatcher watcher;
};

struct ShortWindowFixture : ConfigurationFixture
{
    ShortWindowFixture()
        : ConfigurationFixture("[limits]\nkey_window_s = 2\n")
    {}
};

} // namespace

// Guards against a note that only one daemon has when the platform fails.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, outage right after one daemon read a note, peers propagate it")
{
    setPlatformFault("entry-1", cut);
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitUntilApplied(2, {"entry-1"}));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    CHECK(waitUntilApplied(2));
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));
    REQUIRE(fleet.setFault("*", healthy));
    REQUIRE(submit(2).exitCode == 0);
    CHECK(waitUntilApplied(3));
}

// Guards against waiting for a read from the platform that hangs on an open connection.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, unresponsive path to the platform, note comes from peers")
{
    setPlatformFault("entry-1", {{"freeze", true}});
    REQUIRE(submit(1).exitCode == 0);
    CHECK(waitUntilApplied(2));
}

// Guards against a note that is accepted twice or lost when the answer to its append is lost.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, lost append answers, note is accepted once")
{
    REQUIRE(fleet.control("platform", {{"mode", "lose-answers"}, {"count", 2}}));
    const CommandResult submitted = submit(1);
    INFO(submitted.output);
    REQUIRE(submitted.exitCode == 0);
    CHECK(waitUntilApplied(2));
    CHECK(records()["next"] == 2);
}

// Guards against a daemon that restarts while the platform is down and accepts traffic with the
// outdated state of a peer or without any state.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, restart empty in an outage, is ready only with the newest state")
{
    // Only entry-1 has note 2; the other daemons can't reach it.
    setPlatformFault("entry-1", cut);
    REQUIRE(fleet.setFaults("entry-1>", cut));
    for (const std::string &daemon : fleet.daemons()) {
        if (daemon != "entry-1")
            REQUIRE(fleet.setFaults(daemon + ">entry-1", cut));
    }
    REQUIRE(fleet.setFault("entry-1>platform", healthy));
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitUntilApplied(2, {"entry-1"}));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    CHECK(noteOf("entry-2") == 1);
    // entry-3 starts without state and reaches entry-1 only after it has adopted the older state of
    // another peer.
    fleet.restart("entry-3");
    REQUIRE(waitUntil(maxConfigurationDelay, [&] { return noteOf("entry-3") == 1; }));
    REQUIRE(fleet.setFaults("entry-1>entry-3", healthy));
    REQUIRE(fleet.setFaults("entry-3>entry-1", healthy));
    REQUIRE(waitUntil(20s, [&] { return isReady("entry-3"); }));
    CHECK(noteOf("entry-3") == 2);
    // entry-3 has the newest state and accepts traffic.
    CHECK(call("GET", fleet.entryUrl(3) + "/readyz", {}, "").status == 200);
}

// Guards against a daemon that becomes ready without a configuration while neither log nor peers
// answer.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, restart with no log and no peer, not ready")
{
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    REQUIRE(fleet.setFaults("entry-3>", cut));
    REQUIRE(fleet.setFaults("entry-1>entry-3", cut));
    REQUIRE(fleet.setFaults("entry-2>entry-3", cut));
    REQUIRE(fleet.setFaults("agent-engine-1>entry-3", cut));
    REQUIRE(fleet.setFaults("agent-desk-1>entry-3", cut));
    fleet.restart("entry-3");
    REQUIRE(waitUntil(maxConfigurationDelay, [&] { return fleet.status("entry-3").is_object(); }));
    CHECK_FALSE(waitUntil(6s, [&] { return isReady("entry-3"); }));
    CHECK(fleet.chat(3, "a", "hello", 3, false).ran() == "no");
    REQUIRE(fleet.setFault("*", healthy));
    CHECK(waitUntil(15s, [&] { return isReady("entry-3") && noteOf("entry-3") == 1; }));
}

// Guards against a state that is lost when records expire: a restarted daemon adopts the snapshot,
// and the note command still works.
TEST_CASE_METHOD(ShortWindowFixture, "configuration, records expired, snapshot carries the state")
{
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitUntilApplied(2));
    // The snapshot follows after half of the 2 s window and a random delay of at most 5 s.
    REQUIRE(waitUntil(10s, [&] { return snapshotOffset() >= 2; }));
    expireBefore(snapshotOffset());
    fleet.restart("entry-3");
    fleet.restart("agent-engine-1");
    CHECK(waitUntilApplied(2));
    CHECK(waitUntil(15s, [&] { return isReady("entry-3") && isReady("agent-engine-1"); }));
    CHECK(submit(2).exitCode == 0);
    CHECK(waitUntilApplied(3));
}

// Guards against a restarted daemon that, after records expired that no snapshot covers, becomes
// ready without them or never becomes ready.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, expired records without snapshot, state comes from peers")
{
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitUntilApplied(2));
    expireBefore(2);
    fleet.restart("entry-3");
    CHECK(waitUntilApplied(2));
    CHECK(waitUntil(maxConfigurationDelay, [&] { return isReady("entry-3"); }));
    CHECK(noteOf("entry-3") == 2);
}

// Guards against a log that grows without a snapshot until its records expire.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, 64 notes, are followed by a snapshot")
{
    for (std::uint64_t note = 1; note <= 64; ++note)
        REQUIRE(submit(note).exitCode == 0);
    CHECK(waitUntilApplied(65));
    CHECK(waitUntil(10s, [&] { return snapshotOffset() > 0; }));
}

// Guards against two accepted notes, or a rejection without a message, when operators submit notes
// with the same predecessor concurrently.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, ten operators race, one wins everywhere")
{
    constexpr int operators = 10;
    std::vector<std::string> files;
    for (int i = 0; i < operators; ++i) {
        files.push_back(fleet.folder() + "/race-" + std::to_string(i) + ".toml");
        std::ofstream(files.back()) << noteFollowing(1, "racer-" + std::to_string(i));
    }
    // Slow answers let all operators read the newest note before any of them appends.
    REQUIRE(fleet.control("platform", {{"mode", "slow"}, {"delay_ms", 300}}));
    std::vector<std::future<CommandResult>> runs;
    for (int i = 0; i < operators; ++i) {
        const std::string file = files[i];
        const std::string out = fleet.folder() + "/race-" + std::to_string(i) + ".out";
        runs.push_back(std::async(std::launch::async, [this, file, out] {
            return runCommand({LOVAGECOURSE_BINARY, "note", "submit", file, "--platform",
                               fleet.platformUrl()},
                              out);
        }));
    }
    int winners = 0;
    for (auto &run : runs) {
        const CommandResult result = run.get();
        INFO(result.output);
        winners += result.exitCode == 0 ? 1 : 0;
        if (result.exitCode == 0)
            continue;
        CHECK(result.exitCode == 3);
        CHECK(result.output.find("note 2 won the race to follow note 1") != std::string::npos);
    }
    CHECK(winners == 1);
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));
    // Several notes were stored, so their order in the log decided.
    CHECK(records()["next"] > 2);
    CHECK(waitUntilApplied(2));
    std::set<std::string> offsets;
    REQUIRE(waitUntil(maxConfigurationDelay, [&] {
        offsets.clear();
        for (const std::string &daemon : fleet.daemons())
            offsets.insert(fleet.status(daemon)["configuration_offset"].dump());
        return offsets.size() == 1;
    }));
    for (const std::string &daemon : fleet.daemons())
        CHECK(noteOf(daemon) == 2);
}
