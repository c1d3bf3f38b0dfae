#pragma once

#include "app/NoteHistory.h"

#include <string>

namespace lovagecourse {

/// Formats an entry as one line: number, time, title and outcome.
std::string formatHistoryEntry(const HistoryEntry &entry);
/// Formats the entries as a JSON array; if onlyAccepted, only the accepted notes.
std::string historyToJson(const NoteHistory &history, bool onlyAccepted);
/// Formats a note as a JSON object with its offset, time, title, outcome, number and TOML text.
std::string noteToJson(const HistoryEntry &entry);
/// Formats the whole configuration state as text for operators.
std::string formatState(const ConfigurationState &state);

} // namespace lovagecourse
