#pragma once

#include "configuration/ConfigurationStateMachine.h"

#include <string>
#include <vector>

namespace lovagecourse {

/// One note record of the log and its verdict.
struct HistoryEntry
{
    LogOffset offset;
    WallTime time;
    /// Empty when the text can't be read or has none.
    std::string title;
    std::string toml;
    ApplyOutcome outcome;
};

/// All note records that the log still has, and the state after them.
struct NoteHistory
{
    ConfigurationStateMachine fold;
    std::vector<HistoryEntry> entries;
    /// False when expired records are covered by no snapshot, so that the state is not known.
    bool isComplete = false;
};

/// Folds all records of the log; starts from the oldest usable snapshot when older records
/// expired, so that as many notes as possible get their verdict.
NoteHistory foldHistory(const LogBatch &log);
/// Entry of an accepted note; null when the log does not hold it.
const HistoryEntry *findNote(const NoteHistory &history, NoteNumber number);
/// Outcome of the record at an offset; null when the log does not hold a note there.
const HistoryEntry *findOffset(const NoteHistory &history, LogOffset offset);

} // namespace lovagecourse
