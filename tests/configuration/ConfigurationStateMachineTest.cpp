#include "configuration/ConfigurationStateMachine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace lovagecourse;

namespace {

/// A log, and the outcome and state after each record for a reader that misses none.
struct ConfigurationStateMachineFixture
{
    std::mt19937 random;
    std::vector<LogRecord> log;
    ConfigurationStateMachine reference;
    std::vector<ApplyOutcome> outcomes;
    /// JSON form of the state at each offset.
    std::map<std::uint64_t, std::string> states{{0, stateToJson(ConfigurationState())}};

    std::uint64_t randomBelow(std::uint64_t below) { return random() % below; }

    void append(const std::string &body)
    {
        const LogOffset offset(log.size());
        log.push_back(
                {offset, "r" + std::to_string(log.size()), WallTime(seconds(log.size())), body});
        outcomes.push_back(reference.apply(log.back()));
        states[offset.value + 1] = stateToJson(reference.state());
    }

    std::string randomAccountNote(std::uint64_t follows)
    {
        const std::string name = "a" + std::to_string(randomBelow(4));
        const std::string head = "follows = " + std::to_string(follows) + "\n";
        const std::string share = "\nshare = " + std::to_string(1 + randomBelow(5)) + "\n";
        switch (randomBelow(3)) {
        case 0:
            return head + "[[added.accounts]]\nname = \"" + name + "\"\nkeys = []" + share;
        case 1:
            return head + "[[changed.accounts]]\nname = \"" + name + "\"" + share;
        default:
            return head + "[withdrawn]\naccounts = [\"" + name + "\"]\n";
        }
    }

    /// Appends a note, a snapshot of an earlier state, or a malformed record.
    void appendRandomRecord()
    {
        const std::uint64_t newest = reference.state().note.value;
        const std::uint64_t kind = randomBelow(10);
        if (kind == 0) {
            append(randomBelow(2) == 0 ? "{\"type\":" : "{\"type\":\"note\",\"toml\":7}");
        } else if (kind <= 2) {
            const auto base = std::next(states.begin(),
                                        static_cast<std::ptrdiff_t>(randomBelow(states.size())));
            append(snapshotRecordBody(std::get<ConfigurationState>(stateFromJson(base->second))));
        } else {
            // Some notes follow an older note than the newest, as from concurrent writers.
            append(noteRecordBody(
                    randomAccountNote(newest - std::min(newest, randomBelow(3) / 2))));
        }
    }

    void generateHistory(unsigned seed)
    {
        random.seed(seed);
        log.clear();
        outcomes.clear();
        states = {{0, stateToJson(ConfigurationState())}};
        reference = ConfigurationStateMachine();
        const std::uint64_t size = 5 + randomBelow(20);
        while (log.size() < size)
            appendRandomRecord();
    }
};

} // namespace

// Guards against readers with different states at the same offset, and against a state whose offset
// decreases. Readers may start late, miss or repeat records and adopt snapshots or peers' states.
TEST_CASE_METHOD(ConfigurationStateMachineFixture,
                 "configuration state machine, random histories and readers, agree at every offset")
{
    std::size_t adoptedSnapshots = 0;
    std::size_t bufferedRecords = 0;
    std::size_t adoptedPeerStates = 0;
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        generateHistory(seed);
        ConfigurationStateMachine reader;
        std::uint64_t offset = 0;
        // The reader misses records, reads some again and adopts states from peers.
        for (std::uint64_t next = randomBelow(3) == 0 ? randomBelow(log.size()) : 0;
             next < log.size(); ++next) {
            if (randomBelow(12) == 0)
                next = std::min<std::uint64_t>(next + randomBelow(4), log.size() - 1);
            else if (randomBelow(12) == 0)
                next -= std::min(next, randomBelow(4));
            const ApplyOutcome outcome = reader.apply(log[next]);
            if (randomBelow(15) == 0) {
                const auto &state = states.at(randomBelow(states.size()));
                adoptedPeerStates +=
                        reader.adopt(std::get<ConfigurationState>(stateFromJson(state)));
            }
            const auto *snapshot = std::get_if<SnapshotRead>(&outcome);
            adoptedSnapshots += snapshot != nullptr && snapshot->adopted;
            bufferedRecords += std::holds_alternative<RecordBuffered>(outcome);
            REQUIRE(reader.state().offset.value >= offset);
            offset = reader.state().offset.value;
            REQUIRE(stateToJson(reader.state()) == states.at(offset));
            REQUIRE((reader.hasGap() || offset > next));
        }
        reader.adopt(reference.state());
        REQUIRE(stateToJson(reader.state()) == stateToJson(reference.state()));
        REQUIRE_FALSE(reader.hasGap());
    }
    CAPTURE(adoptedSnapshots, bufferedRecords, adoptedPeerStates);
    CHECK(adoptedSnapshots > 100);
    CHECK(bufferedRecords > 100);
    CHECK(adoptedPeerStates > 100);
}

// Guards against two accepted notes, or none, when several writers submit valid notes with the same
// predecessor.
TEST_CASE_METHOD(
        ConfigurationStateMachineFixture,
        "configuration state machine, concurrent notes, exactly one per predecessor is accepted")
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        random.seed(seed);
        log.clear();
        outcomes.clear();
        reference = ConfigurationStateMachine();
        for (std::uint64_t follows = 0; follows < 5; ++follows) {
            const std::uint64_t writers = 1 + randomBelow(4);
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

// Guards against a note that is applied although its predecessor is unknown, because the log's
// oldest records expired.
TEST_CASE_METHOD(ConfigurationStateMachineFixture,
                 "configuration state machine, records expired, waits for a snapshot and applies "
                 "buffered records")
{
    append(noteRecordBody("follows = 0"));
    const ConfigurationState base = reference.state();
    append(noteRecordBody("follows = 1"));
    append("not JSON");
    append(snapshotRecordBody(base));
    append(noteRecordBody("follows = 2"));

    ConfigurationStateMachine late;
    CHECK(std::holds_alternative<RecordBuffered>(late.apply(log[1])));
    CHECK(std::holds_alternative<RecordBuffered>(late.apply(log[2])));
    CHECK(late.state().offset == LogOffset(0));
    CHECK(late.hasGap());
    CHECK(std::get<SnapshotRead>(late.apply(log[3])).adopted);
    CHECK_FALSE(late.hasGap());
    CHECK(late.state().offset == LogOffset(4));
    CHECK(late.state().note == NoteNumber(2));
    CHECK(late.notesSinceSnapshot() == 0);
    CHECK(late.lastSnapshotTime() == log[3].time);
    CHECK(std::get<NoteAccepted>(late.apply(log[4])).number == NoteNumber(3));
    CHECK(std::holds_alternative<RecordAlreadyApplied>(late.apply(log[4])));
}

// Guards against a malformed record, or a snapshot with an offset beyond its own record, that stops
// the state machine or replaces the state.
TEST_CASE_METHOD(
        ConfigurationStateMachineFixture,
        "configuration state machine, malformed records, are skipped and counted in the offset")
{
    append(noteRecordBody("follows = 0"));
    const std::string snapshot = snapshotRecordBody(reference.state());
    for (std::size_t length = 0; length < snapshot.size(); ++length)
        append(snapshot.substr(0, length));
    ConfigurationState future = reference.state();
    future.offset = LogOffset(1000);
    append(snapshotRecordBody(future));
    CHECK(reference.state().offset == LogOffset(log.size()));
    CHECK(reference.state().note == NoteNumber(1));
    for (std::size_t i = 1; i < outcomes.size(); ++i)
        REQUIRE(std::holds_alternative<RecordMalformed>(outcomes[i]));
}
