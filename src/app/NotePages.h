#pragma once

#include "app/NoteHistory.h"

#include <string>

namespace lovagecourse {

/// One line: number, time, title and verdict.
std::string historyLine(const HistoryEntry &entry);
/// JSON list of the entries; only accepted ones when asked for.
std::string historyJson(const NoteHistory &history, bool onlyAccepted);
/// Number, time, title and text of one accepted note as JSON.
std::string noteJson(const HistoryEntry &entry);
/// Readable page of the whole state.
std::string statePage(const ConfigurationState &state);

} // namespace lovagecourse
