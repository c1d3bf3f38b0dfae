#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagecourse {

/// Outcome of a request of the load tool; Failed means that no HTTP status arrived.
enum class LoadOutcome { Ok, Wrong, Truncated, Refused, Failed, Unfinished };

/// Result of one request.
struct LoadResult
{
    LoadOutcome outcome = LoadOutcome::Failed;
    int status = 0;
    /// Reason, problem type or code from the body of a refusal; empty if there is none.
    std::string reason;
    std::string account;
    std::uint64_t tokens = 0;
    /// Since the planned arrival, so that a delay of the load tool itself counts (no coordinated
    /// omission).
    double latencySeconds = 0;
    /// Since the planned arrival; 0 if no token arrived.
    double firstTokenSeconds = 0;
};

/// Counters, timelines and latency percentiles of a load run.
class LoadStatistics
{
public:
    void countSent(const std::string &account);
    /// Counts received tokens; only those within the sending time enter the rates.
    void countTokens(const std::string &account, std::uint64_t tokens, bool withinSendingTime);
    /// Counts server-sent events that arrived within the sending time.
    void countEvents(std::uint64_t events) { eventsWithinSendingTime_ += events; }
    /// Adds tokens to the account's timeline; second is the time since the start of the run.
    void addToTimeline(const std::string &account, std::uint64_t tokens, double second);
    /// Records the cost of a sent request, in tokens.
    void recordCost(std::uint64_t tokens) { largestCost_ = std::max(largestCost_, tokens); }
    void add(const LoadResult &result);

    /// Report of the run; seconds is the sending time, by which the rates are divided.
    nlohmann::json report(double seconds) const;

private:
    /// Counters of one account.
    struct AccountCounts
    {
        std::uint64_t sent = 0;
        std::uint64_t ok = 0;
        std::uint64_t refused = 0;
        std::uint64_t tokens = 0;
        std::uint64_t tokensWithinSendingTime = 0;
    };

    std::uint64_t sent_ = 0;
    std::map<LoadOutcome, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> refusedByStatus_;
    std::map<std::string, std::uint64_t> refusedByReason_;
    std::map<std::string, AccountCounts> accounts_;
    std::uint64_t tokens_ = 0;
    std::uint64_t tokensWithinSendingTime_ = 0;
    std::uint64_t eventsWithinSendingTime_ = 0;
    std::uint64_t largestCost_ = 0;
    /// Tokens in each 100 ms of the run, by account.
    std::map<std::string, std::vector<std::uint64_t>> timeline_;
    std::vector<double> latencies_;
    std::vector<double> firstTokens_;
};

/// Nearest-rank percentile in milliseconds of sorted seconds; 0 without values.
double percentileMs(const std::vector<double> &sortedSeconds, double share);

} // namespace lovagecourse
