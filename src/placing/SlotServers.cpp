#include "placing/SlotServers.h"

#include <xxhash.h>

namespace lovagecourse {

namespace {

// Range of the random part. It is the cost of another data centre in choosePlacement(), so it alone
// never sends a request there.
constexpr double spreadMs = 12;

} // namespace

double slotWaitMs(const SlotLoad &load)
{
    if (load.slots == 0 || load.running < load.slots)
        return 0;
    return load.workMs * (load.running - load.slots + 1) / load.slots;
}

double slotSpreadCostMs(const SlotLoad &load, const ServerId &server, std::uint64_t draw)
{
    if (load.slots == 0)
        return 0;
    constexpr double range = 4294967296.;
    const std::uint64_t hash = XXH64(server.value.data(), server.value.size(), draw);
    return load.workMs * load.running / load.slots
           + spreadMs * static_cast<double>(hash >> 32) / range;
}

} // namespace lovagecourse
