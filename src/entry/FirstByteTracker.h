#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Recent times from a grant to the first byte per service, to tell when one is late.
class FirstByteTracker
{
public:
    void onFirstByte(const ServiceId &service, std::chrono::nanoseconds latency);
    /// 95th percentile of the recent times; empty before there are enough of them.
    std::optional<std::chrono::nanoseconds> lateAfter(const ServiceId &service) const;

private:
    struct Samples
    {
        std::vector<std::chrono::nanoseconds> ring;
        std::size_t next = 0;
        std::size_t sinceUpdate = 0;
        std::optional<std::chrono::nanoseconds> late;
    };

    std::map<ServiceId, Samples> services_;
};

} // namespace lovagecourse
