#pragma once

#include "configuration/ConfigurationState.h"
#include "configuration/ReleaseNote.h"

#include <variant>
#include <vector>

namespace lovagecourse {

/// Copies the fields that are set in the change.
void applyChange(const AccountChange &change, ClientAccount &account);
void applyChange(const ServiceChange &change, Service &service);
void applyChange(const ServerChange &change, BackendServer &server);

/// Returns the state after all changes of the note, or every conflict of the note with the state.
/// Offset and note number are left unchanged; the note's orders get the fencing number.
std::variant<ConfigurationState, std::vector<NoteFault>>
applyReleaseNote(const ReleaseNote &note, const ConfigurationState &state, FencingNumber fencing);

} // namespace lovagecourse
