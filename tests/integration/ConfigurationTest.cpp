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

/// Time in which an accepted note is in force in every live process (G8).
constexpr std::chrono::seconds inForceLimit{5};
const nlohmann::json cut{{"cut", true}};
const nlohmann::json healthy = nlohmann::json::object();

/// Samples all daemons. Keeps a fault when a note number falls within one incarnation, or when a
/// ready daemon shows a note older than one that was in force everywhere.
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

    void setInForce(std::uint64_t note) { inForce_ = note; }

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
        // Read before the page, which may be older than a note that comes into force meanwhile.
        const std::uint64_t inForce = inForce_;
        const nlohmann::json page = fleet_.status(daemon);
        if (!page.is_object())
            return;
        const auto note = page["note"].get<std::uint64_t>();
        std::uint64_t &last = newest_[daemon + '/' + page["incarnation"].dump()];
        const bool isStale = page["ready"] == true && note < inForce;
        if (note < last || isStale) {
            const std::lock_guard lock(mutex_);
            faults_.push_back(daemon + (isStale ? " is ready with note " : " fell to note ")
                              + std::to_string(note) + " from "
                              + std::to_string(isStale ? inForce : last));
        }
        last = std::max(last, note);
    }

    const Fleet &fleet_;
    std::atomic<std::uint64_t> inForce_{1};
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

    static std::string noteAfter(std::uint64_t predecessor, const std::string &account)
    {
        return "follows = " + std::to_string(predecessor)
               + "\ntitle = \"note\"\n[[added.accounts]]\nname = \"" + account
               + "\"\nshare = 1.0\nkeys = [\"" + std::string(64, 'a') + "\"]\n";
    }

    /// A note whose content does not pile up: it changes a share.
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

    bool waitInForce(std::uint64_t note, std::vector<std::string> daemons = {})
    {
        const bool isEverywhere = daemons.empty();
        if (isEverywhere)
            daemons = fleet.daemons();
        const bool done = waitUntil(inForceLimit, [&] {
            return std::all_of(daemons.begin(), daemons.end(),
                               [&](const auto &daemon) { return noteOf(daemon) >= note; });
        });
        if (isEverywhere && done)
            watcher.setInForce(note);
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

    /// Offset of the newest snapshot's record; 0 when there is none.
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

// Guards against a note that stays where it was read when the platform goes down.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, outage right after one daemon read a note, peers spread it")
{
    setPlatformFault("entry-1", cut);
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitInForce(2, {"entry-1"}));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    CHECK(waitInForce(2));
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));
    REQUIRE(fleet.setFault("*", healthy));
    REQUIRE(submit(2).exitCode == 0);
    CHECK(waitInForce(3));
}

// Guards against waiting for a read that hangs on a path to the platform that passes no bytes.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, silent path to the platform, note comes from peers")
{
    setPlatformFault("entry-1", {{"freeze", true}});
    REQUIRE(submit(1).exitCode == 0);
    CHECK(waitInForce(2));
}

// Guards against a note that is taken twice or lost when the answer to its append is lost.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, lost append answers, note is taken once")
{
    REQUIRE(fleet.control("platform", {{"mode", "lose-answers"}, {"count", 2}}));
    const CommandResult submitted = submit(1);
    INFO(submitted.output);
    REQUIRE(submitted.exitCode == 0);
    CHECK(waitInForce(2));
    CHECK(records()["next"] == 2);
}

// Guards against a daemon that starts empty and takes traffic with the state of an older peer, or
// without any state, while the platform is down.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, restart empty in an outage, is ready only with the newest state")
{
    // entry-1 alone has note 2; the others can't hear it.
    setPlatformFault("entry-1", cut);
    REQUIRE(fleet.setFaults("entry-1>", cut));
    for (const std::string &daemon : fleet.daemons()) {
        if (daemon != "entry-1")
            REQUIRE(fleet.setFaults(daemon + ">entry-1", cut));
    }
    REQUIRE(fleet.setFault("entry-1>platform", healthy));
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitInForce(2, {"entry-1"}));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    CHECK(noteOf("entry-2") == 1);
    // entry-3 starts empty where it hears entry-1 only a second later than entry-2, which has the
    // older state.
    fleet.restart("entry-3");
    REQUIRE(waitUntil(inForceLimit, [&] { return noteOf("entry-3") == 1; }));
    REQUIRE(fleet.setFaults("entry-1>entry-3", healthy));
    REQUIRE(fleet.setFaults("entry-3>entry-1", healthy));
    REQUIRE(waitUntil(20s, [&] { return isReady("entry-3"); }));
    CHECK(noteOf("entry-3") == 2);
    // It may now take traffic with what it has.
    CHECK(call("GET", fleet.entryUrl(3) + "/readyz", {}, "").status == 200);
}

// Guards against a daemon that becomes ready with nothing while neither log nor peers answer.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, restart with no log and no peer, not ready")
{
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    REQUIRE(fleet.setFaults("entry-3>", cut));
    REQUIRE(fleet.setFaults("entry-1>entry-3", cut));
    REQUIRE(fleet.setFaults("entry-2>entry-3", cut));
    REQUIRE(fleet.setFaults("agent-engine-1>entry-3", cut));
    REQUIRE(fleet.setFaults("agent-desk-1>entry-3", cut));
    fleet.restart("entry-3");
    REQUIRE(waitUntil(inForceLimit, [&] { return fleet.status("entry-3").is_object(); }));
    CHECK_FALSE(waitUntil(6s, [&] { return isReady("entry-3"); }));
    CHECK(fleet.chat(3, "a", "hello", 3, false).ran() == "no");
    REQUIRE(fleet.setFault("*", healthy));
    CHECK(waitUntil(15s, [&] { return isReady("entry-3") && noteOf("entry-3") == 1; }));
}

// Guards against a state that is lost with expired records: a daemon that starts empty takes the
// snapshot, and the note command still works.
TEST_CASE_METHOD(ShortWindowFixture, "configuration, records expired, snapshot carries the state")
{
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitInForce(2));
    // Half of the window and the longest random delay of 5 s.
    REQUIRE(waitUntil(10s, [&] { return snapshotOffset() >= 2; }));
    expireBefore(snapshotOffset());
    fleet.restart("entry-3");
    fleet.restart("agent-engine-1");
    CHECK(waitInForce(2));
    CHECK(waitUntil(15s, [&] { return isReady("entry-3") && isReady("agent-engine-1"); }));
    CHECK(submit(2).exitCode == 0);
    CHECK(waitInForce(3));
}

// Guards against a daemon that starts beside expired records that no snapshot covers and either
// becomes ready without them or never does.
TEST_CASE_METHOD(ConfigurationFixture,
                 "configuration, expired records without snapshot, state comes from peers")
{
    REQUIRE(submit(1).exitCode == 0);
    REQUIRE(waitInForce(2));
    expireBefore(2);
    fleet.restart("entry-3");
    CHECK(waitInForce(2));
    CHECK(waitUntil(inForceLimit, [&] { return isReady("entry-3"); }));
    CHECK(noteOf("entry-3") == 2);
}

// Guards against a log that grows without a snapshot until its records expire.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, 64 notes, are followed by a snapshot")
{
    for (std::uint64_t note = 1; note <= 64; ++note)
        REQUIRE(submit(note).exitCode == 0);
    CHECK(waitInForce(65));
    CHECK(waitUntil(10s, [&] { return snapshotOffset() > 0; }));
}

// Guards against two winners, or a loser that is told nothing, when operators race.
TEST_CASE_METHOD(ConfigurationFixture, "configuration, ten operators race, one wins everywhere")
{
    constexpr int operators = 10;
    std::vector<std::string> files;
    for (int i = 0; i < operators; ++i) {
        files.push_back(fleet.folder() + "/race-" + std::to_string(i) + ".toml");
        std::ofstream(files.back()) << noteAfter(1, "racer-" + std::to_string(i));
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
    // Several notes were stored, so that the order in the log decided.
    CHECK(records()["next"] > 2);
    CHECK(waitInForce(2));
    std::set<std::string> offsets;
    REQUIRE(waitUntil(inForceLimit, [&] {
        offsets.clear();
        for (const std::string &daemon : fleet.daemons())
            offsets.insert(fleet.status(daemon)["configuration_offset"].dump());
        return offsets.size() == 1;
    }));
    for (const std::string &daemon : fleet.daemons())
        CHECK(noteOf(daemon) == 2);
}
