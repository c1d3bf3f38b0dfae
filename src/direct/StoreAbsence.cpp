#include "direct/StoreAbsence.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace lovagecourse {

bool mayHaveExpired(const StoreAbsence &absence, milliseconds renewalInterval)
{
    // Of the three intervals until the expiry, one may lie before the outage, since the last
    // renewal, and one after it, until the next.
    constexpr int minMissedIntervals = 1;
    // An outage costs a server one renewal at least, of which its return makes up for a part.
    constexpr double maxMissingRenewals = 0.5;
    if (absence.unread < minMissedIntervals * renewalInterval)
        return false;
    if (!absence.renewalsPerServer)
        return true;
    const double expected =
            absence.unread / std::chrono::duration<double, std::nano>(renewalInterval);
    return *absence.renewalsPerServer < expected - maxMissingRenewals;
}

double renewalsPerServer(const std::vector<KeyedRecord> &records, std::size_t serverCount)
{
    std::set<std::string_view> removed;
    for (const KeyedRecord &record : records) {
        if (!record.value)
            removed.insert(record.key);
    }
    const auto renewals =
            std::count_if(records.begin(), records.end(), [&](const KeyedRecord &record) {
                return record.value && !removed.contains(record.key);
            });
    if (serverCount <= removed.size())
        return 0;
    return static_cast<double>(renewals) / static_cast<double>(serverCount - removed.size());
}

} // namespace lovagecourse
