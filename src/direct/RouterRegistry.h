#pragma once

#include "core/EventLoop.h"
#include "core/Ids.h"
#include "direct/RouterRecord.h"
#include "store/FleetStore.h"

#include <functional>
#include <memory>

namespace lovagecourse {

/// Writes this router's own record to the store, by which other routers find it, and then reads the
/// records of the others: of two routers that start together, the one whose record was written
/// later finds the other. Calls that fail are repeated until they succeed; while only the write
/// fails, the records are read nevertheless.
class RouterRegistry
{
public:
    struct Handlers
    {
        std::function<void(const DaemonId &router, const RouterRecord &record)> onRouter;
        /// All records have been read; called again when they are read again after a failed write.
        std::function<void()> onRead;
    };

    RouterRegistry(EventLoop &loop, DaemonId self, RouterRecord record, Handlers handlers);
    ~RouterRegistry();

    void start(FleetStore &store);
    /// The store has come back from an older copy, which may lack records of routers: writes the
    /// own record again after the delay, and reads the others', since a router that has started
    /// meanwhile may have found none.
    void onOlderCopy(milliseconds delay);
    /// Uses another store from now on, when a call is repeated.
    void setStore(FleetStore &store);

private:
    struct Impl;

    /// Shared with the callbacks of calls, which may outlive this object.
    std::shared_ptr<Impl> impl_;
};

} // namespace lovagecourse
