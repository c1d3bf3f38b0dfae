#include "app/NoteHistory.h"
#include "app/NoteFormatting.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct NoteHistoryFixture
{
    LogBatch log;

    void append(const std::string &body)
    {
        log.records.push_back({log.next, "r", WallTime(seconds(60)), body});
        log.next = LogOffset(log.next.value + 1);
    }
    void appendNote(const std::string &follows, const std::string &title)
    {
        append(noteRecordBody("follows = " + follows + "\ntitle = \"" + title + "\""));
    }
    /// Removes the oldest records.
    void expire(std::size_t count)
    {
        log.records.erase(log.records.begin(),
                          log.records.begin() + static_cast<std::ptrdiff_t>(count));
        log.oldest = LogOffset(count);
    }
};

} // namespace

// Guards against a wrong outcome in the history when several notes follow the same note: only the
// first is accepted.
TEST_CASE_METHOD(NoteHistoryFixture, "note history, racing and invalid notes, shows each outcome")
{
    appendNote("0", "first");
    appendNote("0", "late");
    append(noteRecordBody("follows = 1\nextra = 2"));
    const NoteHistory history = buildHistory(log);
    CHECK(history.isComplete);
    REQUIRE(history.entries.size() == 3);
    CHECK(formatHistoryEntry(history.entries[0]) == "1  1970-01-01T00:01:00Z  first  accepted");
    CHECK(formatHistoryEntry(history.entries[1])
          == "-  1970-01-01T00:01:00Z  late  outdated: the newest note was 1");
    CHECK(formatHistoryEntry(history.entries[2])
          == "-  1970-01-01T00:01:00Z  (no title)  invalid; 2:1: extra: expected only known names "
             "here");
    CHECK(findNote(history, NoteNumber(1)) == &history.entries[0]);
    CHECK(findNote(history, NoteNumber(2)) == nullptr);
    CHECK(findOffset(history, LogOffset(2)) == &history.entries[2]);
}

// Guards against a state that is shown as the newest although earlier records have expired and no
// snapshot covers them.
TEST_CASE_METHOD(NoteHistoryFixture, "note history, records expired, starts from a snapshot")
{
    appendNote("0", "first");
    appendNote("1", "second");
    const ConfigurationState base = buildHistory(log).stateMachine.state();
    appendNote("2", "third");
    append(snapshotRecordBody(base));
    appendNote("3", "fourth");
    expire(2);
    const NoteHistory history = buildHistory(log);
    CHECK(history.isComplete);
    CHECK(history.stateMachine.state().note == NoteNumber(4));
    CHECK(findNote(history, NoteNumber(3))->title == "third");

    expire(1);
    log.oldest = LogOffset(3);
    CHECK_FALSE(buildHistory(log).isComplete);
    CHECK(formatHistoryEntry(buildHistory(log).entries.at(0))
                  .ends_with("records before it expired"));
}
