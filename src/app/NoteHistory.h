#pragma once

#include "configuration/ConfigurationStateMachine.h"

#include <string>
#include <vector>

namespace lovagecourse {

/// Release note in the log and its outcome.
struct HistoryEntry
{
    LogOffset offset;
    WallTime time;
    /// Empty if the note cannot be parsed or has no title.
    std::string title;
    std::string toml;
    ApplyOutcome outcome;
};

/// All release notes that the log still has, and the configuration state after its last record.
struct NoteHistory
{
    ConfigurationStateMachine stateMachine;
    std::vector<HistoryEntry> entries;
    /// False if records have expired that no snapshot covers, so that the newest state is unknown.
    bool isComplete = false;
};

/// Applies all records of the log. If older records have expired, it starts from the oldest usable
/// snapshot, so that the outcome of as many notes as possible is known.
NoteHistory buildHistory(const LogBatch &log);
/// Returns the entry of an accepted note; null if the log does not have it.
const HistoryEntry *findNote(const NoteHistory &history, NoteNumber number);
/// Returns the entry at an offset; null if the log has no note there.
const HistoryEntry *findOffset(const NoteHistory &history, LogOffset offset);

} // namespace lovagecourse
