#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Recent times from an accepted grant to the first byte of the answer, per service. Gives the
/// threshold after which a first byte is late and the request may be hedged.
class FirstByteTracker
{
public:
    void onFirstByte(const ServiceId &service, std::chrono::nanoseconds latency);
    /// 95th percentile of the last 400 times; empty while there are fewer than 40.
    std::optional<std::chrono::nanoseconds> lateThreshold(const ServiceId &service) const;

private:
    struct Samples
    {
        std::vector<std::chrono::nanoseconds> ring;
        std::size_t next = 0;
        std::size_t sinceUpdate = 0;
        std::optional<std::chrono::nanoseconds> threshold;
    };

    std::map<ServiceId, Samples> services_;
};

} // namespace lovagecourse
