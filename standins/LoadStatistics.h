#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagecourse {

/// How a request of the load tool ended.
enum class LoadOutcome { Ok, Wrong, Truncated, Refused, Failed, Unfinished };

/// One ended request.
struct LoadResult
{
    LoadOutcome outcome = LoadOutcome::Failed;
    int status = 0;
    /// Problem type or code in the body of a refusal.
    std::string reason;
    std::string account;
    std::uint64_t tokens = 0;
    /// Counted from the planned arrival, so that a late start of the tool is not hidden.
    double latencySeconds = 0;
    double firstTokenSeconds = 0;
};

/// Counts and percentiles of a load run.
class LoadStatistics
{
public:
    void countSent(const std::string &account);
    /// Counts tokens as they arrive; only those within the sending time count for the rates.
    void countTokens(const std::string &account, std::uint64_t tokens, bool withinSendingTime);
    /// Counts server-sent events that arrive within the sending time.
    void countEvents(std::uint64_t events) { eventsWithinSendingTime_ += events; }
    /// Adds tokens to the account's timeline; second counts from the start of the run.
    void countAt(const std::string &account, std::uint64_t tokens, double second);
    /// Notes the cost of a sent request.
    void countCost(std::uint64_t tokens) { largestCost_ = std::max(largestCost_, tokens); }
    void add(const LoadResult &result);

    /// The report; seconds is the sending time.
    nlohmann::json report(double seconds) const;

private:
    /// Work of one account.
    struct AccountWork
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
    std::map<std::string, AccountWork> accounts_;
    std::uint64_t tokens_ = 0;
    std::uint64_t tokensWithinSendingTime_ = 0;
    std::uint64_t eventsWithinSendingTime_ = 0;
    std::uint64_t largestCost_ = 0;
    /// Tokens per 100 ms of the run, per account.
    std::map<std::string, std::vector<std::uint64_t>> timeline_;
    std::vector<double> latencies_;
    std::vector<double> firstTokens_;
};

/// Nearest-rank percentile in milliseconds of sorted seconds; 0 without values.
double percentileMs(const std::vector<double> &sortedSeconds, double share);

} // namespace lovagecourse
