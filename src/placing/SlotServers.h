#pragma once

#include "core/Ids.h"

#include <cstdint>

namespace lovagecourse {

/// Load of a server without an engine, whose slots each work on one request at a time.
struct SlotLoad
{
    /// Time of one request, in ms.
    double workMs = 0;
    /// Requests that have not ended.
    unsigned running = 0;
    /// 0 for no limit.
    unsigned slots = 0;
};

/// Time until a slot is free for a further request, in ms: the slots end one request after the
/// other, slots times as fast as one slot.
double slotWaitMs(const SlotLoad &load);

/// Cost of a further request at a server of a service with short work, besides its wait, in ms. It
/// grows with this router's own requests there and has a random part. Other routers' reports are
/// older than the requests they count: a cost that grows with them makes all routers choose the
/// same server until the next report. draw differs between requests.
double slotSpreadCostMs(const SlotLoad &load, const ServerId &server, std::uint64_t draw);

} // namespace lovagecourse
