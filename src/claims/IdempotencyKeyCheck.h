#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Refusal.h"

#include <optional>
#include <string_view>

namespace lovagecourse {

/// Time in a UUID version 7; empty when the text is not one.
std::optional<WallTime> uuidVersion7Time(std::string_view text);

/// Empty when the key may be used now; else the reason of the refusal. A key may be at most 60 s
/// in the future, since hosts' clocks differ.
std::optional<RefusalReason> checkIdempotencyKey(const IdempotencyKey &key, WallTime now,
                                                 seconds window);

} // namespace lovagecourse
