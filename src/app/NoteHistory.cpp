#include "app/NoteHistory.h"

#include <algorithm>

namespace lovagecourse {

namespace {

/// Title of a note; empty if it cannot be parsed.
std::string titleOf(const std::string &toml)
{
    const auto parsed = parseReleaseNote(toml);
    const auto *note = std::get_if<ReleaseNote>(&parsed);
    return note == nullptr ? std::string() : note->title;
}

/// Adopts the first snapshot after which no record is missing.
void startFromSnapshot(const LogBatch &log, ConfigurationStateMachine &stateMachine)
{
    for (const LogRecord &record : log.records) {
        const auto parsed = parseConfigurationRecord(record.body);
        const auto *state = std::get_if<ConfigurationState>(&parsed);
        if (state == nullptr || state->offset < log.oldest || state->offset > record.offset)
            continue;
        stateMachine.adopt(*state);
        return;
    }
}

} // namespace

NoteHistory buildHistory(const LogBatch &log)
{
    NoteHistory history;
    if (log.oldest > LogOffset(0))
        startFromSnapshot(log, history.stateMachine);
    for (const LogRecord &record : log.records) {
        const ApplyOutcome outcome = history.stateMachine.apply(record);
        const auto parsed = parseConfigurationRecord(record.body);
        if (const auto *note = std::get_if<NoteRecord>(&parsed))
            history.entries.push_back(
                    {record.offset, record.time, titleOf(note->toml), note->toml, outcome});
    }
    history.isComplete = history.stateMachine.state().offset == log.next;
    return history;
}

const HistoryEntry *findNote(const NoteHistory &history, NoteNumber number)
{
    const auto &entries = history.entries;
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &entry) {
        const auto *accepted = std::get_if<NoteAccepted>(&entry.outcome);
        return accepted != nullptr && accepted->number == number;
    });
    return found == entries.end() ? nullptr : &*found;
}

const HistoryEntry *findOffset(const NoteHistory &history, LogOffset offset)
{
    const auto &entries = history.entries;
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const auto &entry) { return entry.offset == offset; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace lovagecourse
