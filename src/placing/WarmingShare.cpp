#include "placing/WarmingShare.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Routers report several times a second, also when a busy process is late.
constexpr seconds heardTimeout{3};
// Time after which routers that are not heard count as gone although no majority is heard.
constexpr seconds cutOffTimeout{60};
// Registered routers count as live for so long after the start although they have not been heard.
constexpr seconds startTime{10};
// A process that was not scheduled for longer has missed what the others did meanwhile.
constexpr seconds suspensionTime{1};
constexpr std::chrono::nanoseconds rampTime = seconds(1);

std::uint64_t selectionHash(RouterHash router, std::uint64_t run)
{
    return XXH64(&router, sizeof(router), run);
}

bool isMajority(std::size_t part, std::size_t whole)
{
    return 2 * part > whole;
}

} // namespace

double warmingShare(const WarmingView &view, const DataCentreId &dataCentre, std::uint64_t run)
{
    if (!view.isKnown)
        return 0;
    std::size_t count = 0;
    std::size_t before = 0;
    bool isIncluded = false;
    const std::uint64_t own = selectionHash(view.self, run);
    const auto add = [&](const std::vector<RouterHash> &routers) {
        count += routers.size();
        for (const RouterHash router : routers) {
            isIncluded = isIncluded || router == view.self;
            before += selectionHash(router, run) < own ? 1 : 0;
        }
    };
    const auto local = view.routers.find(dataCentre);
    if (local != view.routers.end() && !local->second.empty()) {
        add(local->second);
    } else {
        for (const auto &[other, routers] : view.routers)
            add(routers);
    }
    const std::size_t selected = std::min(count, routersPerWarmingServer);
    return isIncluded && before < selected ? 1. / static_cast<double>(selected) : 0;
}

std::chrono::nanoseconds warmingRamp(RouterHash self, std::uint64_t run)
{
    constexpr double hashRange = 18446744073709551616.;
    // Another hash than that of the selection, which would favour the routers that are limited.
    const double part =
            static_cast<double>(selectionHash(static_cast<RouterHash>(~self), run)) / hashRange;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(part * rampTime);
}

void LiveRouters::update(const std::vector<RouterSighting> &members, bool areRegisteredKnown,
                         TimePoint now)
{
    if (updatedAt_ == TimePoint() || now - updatedAt_ > suspensionTime) {
        startedAt_ = now;
        isKnown_ = false;
    }
    updatedAt_ = now;
    std::vector<RouterHash> heard;
    std::vector<RouterHash> pending;
    std::vector<RouterHash> kept;
    std::size_t heardSinceStart = 0;
    for (const RouterSighting &member : members) {
        const bool isHeardSinceStart = member.lastHeard >= startedAt_;
        heardSinceStart += isHeardSinceStart ? 1 : 0;
        if (member.lastHeard != TimePoint() && now - member.lastHeard < heardTimeout)
            heard.push_back(member.router);
        else if (!isHeardSinceStart && now - startedAt_ < startTime)
            pending.push_back(member.router);
        else if (now - std::max(member.lastHeard, startedAt_) < cutOffTimeout
                 && std::binary_search(live_.begin(), live_.end(), member.router))
            kept.push_back(member.router);
    }
    const bool isCutOff = !isMajority(heard.size() + 1, live_.size() + 1);
    live_ = std::move(heard);
    live_.insert(live_.end(), pending.begin(), pending.end());
    if (isCutOff)
        live_.insert(live_.end(), kept.begin(), kept.end());
    std::sort(live_.begin(), live_.end());
    if (areRegisteredKnown && isMajority(heardSinceStart + 1, members.size() + 1))
        isKnown_ = true;
    if (areRegisteredKnown && now - startedAt_ >= cutOffTimeout)
        isKnown_ = true;
}

} // namespace lovagecourse
