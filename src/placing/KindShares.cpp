#include "placing/KindShares.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Time constant; the same as the window of FairShares.
constexpr seconds window{4};
// Kinds with fewer recent requests are dropped.
constexpr double minCount = 0.01;
// With fewer recent requests of the kind the factor is 1. At twenty, an admitted fraction of one
// half has a standard deviation of 0.11.
constexpr double minRequests = 20;
// Recent refusals of all kinds, as a part of the requests, below which the factor is 1.
constexpr double minRefusedPart = 0.005;
// Ratio of the mean prompt tokens above which one kind's prompts are clearly longer.
constexpr double minPromptRatio = 1.25;
// The number of tokens is the client's word; one request counts as at most this many.
constexpr double maxPromptTokens = 1e6;
// Exponent of the ratio of the admitted fractions. In the replay of KindSharesTest at four times
// the capacity, 1 raises the value served in time by 18%, 1.5 by 36%, 2 by 48%, 3 by 58%. A larger
// one amplifies the random deviations of routers with few requests.
constexpr double gain = 2;

} // namespace

void KindShares::decay(TimePoint now)
{
    if (decayedAt_ != TimePoint() && now > decayedAt_) {
        const double part = std::exp(-toMs(now - decayedAt_) / toMs(window));
        for (auto &[priority, kinds] : kinds_) {
            for (auto &[kind, counts] : kinds) {
                counts.requested *= part;
                counts.refused *= part;
                counts.promptTokens *= part;
            }
            std::erase_if(kinds,
                          [](const auto &entry) { return !(entry.second.requested >= minCount); });
        }
        std::erase_if(kinds_, [](const auto &entry) { return entry.second.empty(); });
    }
    decayedAt_ = std::max(decayedAt_, now);
}

bool KindShares::areCompared(const Counts &left, const Counts &right)
{
    if (left.objectiveMs == right.objectiveMs)
        return false;
    const Counts &tight = left.objectiveMs < right.objectiveMs ? left : right;
    const Counts &loose = left.objectiveMs < right.objectiveMs ? right : left;
    return tight.meanPromptTokens() > minPromptRatio * loose.meanPromptTokens();
}

double KindShares::factor(const KindRequest &request, TimePoint now)
{
    decay(now);
    const auto group = kinds_.find(request.priority);
    if (group == kinds_.end())
        return 1;
    const auto found = group->second.find(request.kind);
    if (found == group->second.end() || found->second.requested < minRequests)
        return 1;
    const Counts &own = found->second;
    double requested = 0;
    double refused = 0;
    bool hasOthers = false;
    for (const auto &[kind, counts] : group->second) {
        const bool isOwn = &counts == &own;
        if (!isOwn && (counts.requested < minRequests || !areCompared(own, counts)))
            continue;
        requested += counts.requested;
        refused += counts.refused;
        hasOthers = hasOthers || !isOwn;
    }
    if (!hasOthers || refused < minRefusedPart * requested)
        return 1;
    const double ownAdmitted = std::max(1., own.requested - own.refused) / own.requested;
    const double factor = std::pow((requested - refused) / requested / ownAdmitted, gain);
    return std::isfinite(factor) ? std::clamp(factor, minFactor, maxFactor) : 1;
}

void KindShares::onDecision(const KindRequest &request, bool isAdmitted, TimePoint now)
{
    const bool isUsable = std::isfinite(request.objectiveMs) && request.objectiveMs > 0
                          && std::isfinite(request.promptTokens) && request.promptTokens > 0;
    if (!isUsable)
        return;
    decay(now);
    Counts &counts = kinds_[request.priority][request.kind];
    counts.requested += 1;
    counts.refused += isAdmitted ? 0 : 1;
    counts.promptTokens += std::min(request.promptTokens, maxPromptTokens);
    counts.objectiveMs = request.objectiveMs;
}

} // namespace lovagecourse
