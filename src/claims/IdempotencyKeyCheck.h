#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Refusal.h"

#include <optional>
#include <string_view>

namespace lovagecourse {

/// Returns the timestamp of a UUID version 7, limited to WallTime::max(); empty if the text is not
/// one.
std::optional<WallTime> uuidVersion7Time(std::string_view text);

/// Returns the reason to refuse the key; empty if the key may be used. The key must be a UUID
/// version 7 whose timestamp is at most `window` old, and at most 60 s in the future, since hosts'
/// clocks differ.
std::optional<RefusalReason> checkIdempotencyKey(const IdempotencyKey &key, WallTime now,
                                                 seconds window);

} // namespace lovagecourse
