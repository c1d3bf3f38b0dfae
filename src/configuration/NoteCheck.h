#pragma once

#include "configuration/ConfigurationState.h"
#include "configuration/ReleaseNote.h"

#include <variant>
#include <vector>

namespace lovagecourse {

/// Sets the fields that the change names.
void applyChange(const AccountChange &change, ClientAccount &account);
void applyChange(const ServiceChange &change, Service &service);
void applyChange(const ServerChange &change, BackendServer &server);

/// State with the whole note in it, or every fault of the note against the state. Offset and
/// note number stay as they are; orders get the fencing number.
std::variant<ConfigurationState, std::vector<NoteFault>>
applyReleaseNote(const ReleaseNote &note, const ConfigurationState &state, FencingNumber fencing);

} // namespace lovagecourse
