#include "LoadStatistics.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

using nlohmann::json;

namespace {

// The report's key timeline_100ms names this bucket size.
constexpr double timelineBucketsPerSecond = 10;

json percentiles(std::vector<double> seconds)
{
    std::sort(seconds.begin(), seconds.end());
    return {{"p50", percentileMs(seconds, 0.5)},
            {"p95", percentileMs(seconds, 0.95)},
            {"p99", percentileMs(seconds, 0.99)},
            {"max", percentileMs(seconds, 1)}};
}

} // namespace

double percentileMs(const std::vector<double> &sortedSeconds, double share)
{
    if (sortedSeconds.empty())
        return 0;
    const double rank = std::ceil(share * static_cast<double>(sortedSeconds.size()));
    const auto index = static_cast<std::size_t>(std::max(1., rank)) - 1;
    return sortedSeconds[std::min(index, sortedSeconds.size() - 1)] * 1000;
}

void LoadStatistics::countSent(const std::string &account)
{
    ++sent_;
    ++accounts_[account].sent;
}

void LoadStatistics::countTokens(const std::string &account, std::uint64_t tokens,
                                 bool withinSendingTime)
{
    AccountCounts &counts = accounts_[account];
    tokens_ += tokens;
    counts.tokens += tokens;
    if (!withinSendingTime)
        return;
    tokensWithinSendingTime_ += tokens;
    counts.tokensWithinSendingTime += tokens;
}

void LoadStatistics::addToTimeline(const std::string &account, std::uint64_t tokens, double second)
{
    const auto bucket = static_cast<std::size_t>(std::max(0., second) * timelineBucketsPerSecond);
    std::vector<std::uint64_t> &buckets = timeline_[account];
    if (buckets.size() <= bucket)
        buckets.resize(bucket + 1);
    buckets[bucket] += tokens;
}

void LoadStatistics::add(const LoadResult &result)
{
    ++outcomes_[result.outcome];
    AccountCounts &counts = accounts_[result.account];
    if (result.outcome == LoadOutcome::Refused) {
        ++refusedByStatus_[std::to_string(result.status)];
        ++refusedByReason_[result.reason];
        ++counts.refused;
    }
    if (result.outcome != LoadOutcome::Ok)
        return;
    ++counts.ok;
    latencies_.push_back(result.latencySeconds);
    if (result.firstTokenSeconds > 0)
        firstTokens_.push_back(result.firstTokenSeconds);
}

json LoadStatistics::report(double seconds) const
{
    const auto count = [this](LoadOutcome outcome) {
        const auto found = outcomes_.find(outcome);
        return found == outcomes_.end() ? std::uint64_t{0} : found->second;
    };
    const auto perSecond = [seconds](std::uint64_t value) {
        return seconds > 0 ? static_cast<double>(value) / seconds : 0;
    };
    json accounts = json::object();
    for (const auto &[name, counts] : accounts_) {
        accounts[name] = {{"sent", counts.sent},
                          {"ok", counts.ok},
                          {"refused", counts.refused},
                          {"tokens", counts.tokens},
                          {"tokens_per_second", perSecond(counts.tokensWithinSendingTime)}};
    }
    return {{"sent", sent_},
            {"ok", count(LoadOutcome::Ok)},
            {"wrong", count(LoadOutcome::Wrong)},
            {"truncated", count(LoadOutcome::Truncated)},
            {"failed", count(LoadOutcome::Failed)},
            {"unfinished", count(LoadOutcome::Unfinished)},
            {"refused", refusedByStatus_},
            {"refused_by_reason", refusedByReason_},
            {"seconds", seconds},
            {"ok_per_second", perSecond(count(LoadOutcome::Ok))},
            {"tokens", tokens_},
            {"tokens_per_second", perSecond(tokensWithinSendingTime_)},
            {"events_per_second", perSecond(eventsWithinSendingTime_)},
            {"largest_cost", largestCost_},
            {"timeline_100ms", timeline_},
            {"latency_ms", percentiles(latencies_)},
            {"first_token_ms", percentiles(firstTokens_)},
            {"accounts", accounts}};
}

} // namespace lovagecourse
