#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Hash of the id of a client's attempt.
using AttemptHash = StrongId<struct AttemptHashTag, std::uint64_t>;
/// Hash of a service and a version of its servers' software.
using VersionHash = StrongId<struct VersionHashTag, std::uint32_t>;

AttemptHash attemptHash(std::string_view attemptId);
VersionHash versionHash(const ServiceId &service, const SoftwareVersion &version);

/// Which software version began the stream of a client's attempt.
struct StreamOrigin
{
    AttemptHash attempt;
    VersionHash version;

    bool operator==(const StreamOrigin &) const = default;
};

/// Longest time between the first event of a stream and a client's attempt that takes it up: twice
/// the longest timeout of routes in use.
constexpr seconds streamMemory{20};

/// Origins of the streams that began within streamMemory, as far as this router has begun them or
/// read of them.
class StreamOrigins
{
public:
    /// More than the streams that the largest fleet begins in this time; the oldest are dropped.
    static constexpr std::size_t maxOrigins = 100000;

    void add(const StreamOrigin &origin, TimePoint now);
    std::optional<VersionHash> find(AttemptHash attempt, TimePoint now) const;
    /// Origins in the order in which they were added.
    std::vector<StreamOrigin> all(TimePoint now) const;

private:
    struct Known
    {
        VersionHash version;
        TimePoint addedAt;
    };

    std::unordered_map<AttemptHash, Known> known_;
    std::deque<std::pair<AttemptHash, TimePoint>> order_;
};

} // namespace lovagecourse
