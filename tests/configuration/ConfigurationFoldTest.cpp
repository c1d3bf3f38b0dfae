#include "configuration/ConfigurationFold.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace lovagecourse;

namespace {

/// One log and the outcome of each of its records for a reader of all of them.
struct ConfigurationFoldFixture
{
    std::mt19937 random;
    std::vector<LogRecord> log;
    ConfigurationFold full;
    std::vector<FoldOutcome> outcomes;
    /// State in JSON after each offset.
    std::map<std::uint64_t, std::string> states{{0, stateToJson(ConfigurationState())}};

    std::uint64_t pick(std::uint64_t below) { return random() % below; }

    void append(const std::string &body)
    {
        const LogOffset offset(log.size());
        log.push_back(
                {offset, "r" + std::to_string(log.size()), WallTime(seconds(log.size())), body});
        outcomes.push_back(full.apply(log.back()));
        states[offset.value + 1] = stateToJson(full.state());
    }

    std::string accountNote(std::uint64_t follows)
    {
        const std::string name = "a" + std::to_string(pick(4));
        const std::string head = "follows = " + std::to_string(follows) + "\n";
        const std::string share = "\nshare = " + std::to_string(1 + pick(5)) + "\n";
        switch (pick(3)) {
        case 0:
            return head + "[[added.accounts]]\nname = \"" + name + "\"\nkeys = []" + share;
        case 1:
            return head + "[[changed.accounts]]\nname = \"" + name + "\"" + share;
        default:
            return head + "[withdrawn]\naccounts = [\"" + name + "\"]\n";
        }
    }

    /// Note, snapshot of an earlier state, or a record that can't be read.
    void appendAnything()
    {
        const std::uint64_t newest = full.state().note.value;
        const std::uint64_t kind = pick(10);
        if (kind == 0) {
            append(pick(2) == 0 ? "{\"type\":" : "{\"type\":\"note\",\"toml\":7}");
        } else if (kind <= 2) {
            const auto base =
                    std::next(states.begin(), static_cast<std::ptrdiff_t>(pick(states.size())));
            append(snapshotRecordBody(std::get<ConfigurationState>(stateFromJson(base->second))));
        } else {
            // Several writers follow the same note; some are late.
            append(noteRecordBody(accountNote(newest - std::min(newest, pick(3) / 2))));
        }
    }

    void makeHistory(unsigned seed)
    {
        random.seed(seed);
        log.clear();
        outcomes.clear();
        states = {{0, stateToJson(ConfigurationState())}};
        full = ConfigurationFold();
        const std::uint64_t size = 5 + pick(20);
        while (log.size() < size)
            appendAnything();
    }
};

} // namespace

// Guards against readers that differ after the same offset, whatever part of the log they read,
// and against a state that steps back.
TEST_CASE_METHOD(ConfigurationFoldFixture,
                 "configuration fold, random histories and readers, agree at every offset")
{
    std::size_t taken = 0;
    std::size_t held = 0;
    std::size_t adopted = 0;
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        makeHistory(seed);
        ConfigurationFold reader;
        std::uint64_t offset = 0;
        // The reader misses records, reads some again and takes states from peers.
        for (std::uint64_t next = pick(3) == 0 ? pick(log.size()) : 0; next < log.size(); ++next) {
            if (pick(12) == 0)
                next = std::min<std::uint64_t>(next + pick(4), log.size() - 1);
            else if (pick(12) == 0)
                next -= std::min(next, pick(4));
            const FoldOutcome outcome = reader.apply(log[next]);
            if (pick(15) == 0) {
                const auto &state = states.at(pick(states.size()));
                adopted += reader.adopt(std::get<ConfigurationState>(stateFromJson(state)));
            }
            const auto *snapshot = std::get_if<SnapshotSeen>(&outcome);
            taken += snapshot != nullptr && snapshot->taken;
            held += std::holds_alternative<RecordHeldBack>(outcome);
            REQUIRE(reader.state().offset.value >= offset);
            offset = reader.state().offset.value;
            REQUIRE(stateToJson(reader.state()) == states.at(offset));
            REQUIRE((reader.hasGap() || offset > next));
        }
        reader.adopt(full.state());
        REQUIRE(stateToJson(reader.state()) == stateToJson(full.state()));
        REQUIRE_FALSE(reader.hasGap());
    }
    CAPTURE(taken, held, adopted);
    CHECK(taken > 100);
    CHECK(held > 100);
    CHECK(adopted > 100);
}

// Guards against two winners, or none, among racing notes that are valid.
TEST_CASE_METHOD(ConfigurationFoldFixture,
                 "configuration fold, racing notes, exactly one per predecessor wins")
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        random.seed(seed);
        log.clear();
        outcomes.clear();
        full = ConfigurationFold();
        for (std::uint64_t follows = 0; follows < 5; ++follows) {
            const std::uint64_t writers = 1 + pick(4);
            std::size_t winners = 0;
            for (std::uint64_t writer = 0; writer < writers; ++writer) {
                append(noteRecordBody("follows = " + std::to_string(follows)));
                const auto *accepted = std::get_if<NoteAccepted>(&outcomes.back());
                winners += accepted != nullptr;
                if (accepted != nullptr)
                    CHECK(accepted->number == NoteNumber(follows + 1));
                else
                    CHECK(std::get<NoteOutdated>(outcomes.back()).newest
                          == NoteNumber(follows + 1));
            }
            REQUIRE(winners == 1);
        }
    }
}

// Guards against a note in force whose predecessor was lost with expired records.
TEST_CASE_METHOD(ConfigurationFoldFixture,
                 "configuration fold, records expired, waits for a snapshot and folds what it held")
{
    append(noteRecordBody("follows = 0"));
    const ConfigurationState base = full.state();
    append(noteRecordBody("follows = 1"));
    append("not JSON");
    append(snapshotRecordBody(base));
    append(noteRecordBody("follows = 2"));

    ConfigurationFold late;
    CHECK(std::holds_alternative<RecordHeldBack>(late.apply(log[1])));
    CHECK(std::holds_alternative<RecordHeldBack>(late.apply(log[2])));
    CHECK(late.state().offset == LogOffset(0));
    CHECK(late.hasGap());
    CHECK(std::get<SnapshotSeen>(late.apply(log[3])).taken);
    CHECK_FALSE(late.hasGap());
    CHECK(late.state().offset == LogOffset(4));
    CHECK(late.state().note == NoteNumber(2));
    CHECK(late.notesSinceSnapshot() == 0);
    CHECK(late.lastSnapshotTime() == log[3].time);
    CHECK(std::get<NoteAccepted>(late.apply(log[4])).number == NoteNumber(3));
    CHECK(std::holds_alternative<RecordAlreadyFolded>(late.apply(log[4])));
}

// Guards against a damaged or foreign record that stops the fold or becomes the state.
TEST_CASE_METHOD(ConfigurationFoldFixture,
                 "configuration fold, damaged records, are skipped and counted in the offset")
{
    append(noteRecordBody("follows = 0"));
    const std::string snapshot = snapshotRecordBody(full.state());
    for (std::size_t length = 0; length < snapshot.size(); ++length)
        append(snapshot.substr(0, length));
    ConfigurationState future = full.state();
    future.offset = LogOffset(1000);
    append(snapshotRecordBody(future));
    CHECK(full.state().offset == LogOffset(log.size()));
    CHECK(full.state().note == NoteNumber(1));
    for (std::size_t i = 1; i < outcomes.size(); ++i)
        REQUIRE(std::holds_alternative<RecordMalformed>(outcomes[i]));
}
