#pragma once

#include "core/Clock.h"
#include "direct/FleetStore.h"

#include <optional>
#include <vector>

namespace lovagecourse {

/// A time in which a router got no answer from the store, as its next read shows it.
struct StoreAbsence
{
    /// From the start of the last read that was answered to the start of the next such read.
    std::chrono::nanoseconds unread{0};
    /// Renewals of registrations in the records of that time; empty when the read does not show
    /// them.
    std::optional<double> renewalsPerServer;
};

/// Returns whether registrations may have expired because servers could not renew them. A server
/// renews every renewalInterval; its registration expires when it has missed three renewals.
bool mayHaveExpired(const StoreAbsence &absence, milliseconds renewalInterval);

/// Returns how many of the records renew a registration, per server; without servers that the
/// records remove, because these renewed for a part of the time only. serverCount: known before the
/// records.
double renewalsPerServer(const std::vector<KeyedRecord> &records, std::size_t serverCount);

} // namespace lovagecourse
