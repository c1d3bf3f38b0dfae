#pragma once

#include "CrashableServer.h"
#include "LoadHistory.h"
#include "PrefixCache.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagecourse {

/// Options of the stand-in for a model engine (sub-command `engine`).
struct EngineOptions
{
    sockaddr_in listen{};
    /// Inter-token latency up to the knee.
    std::chrono::duration<double, std::milli> baseInterTokenLatency{20};
    /// The knee: batch size above which the inter-token latency grows in proportion to the batch.
    double kneeBatchSize = 8;
    /// Maximum number of sequences in the batch; further requests wait in a queue.
    std::size_t maxBatch = 64;
    /// Prefill time of a prompt whose prefix is not cached; a cached prefix takes none.
    std::chrono::duration<double, std::milli> prefillTime{100};
    /// Capacity of the prefix cache.
    std::size_t cachedPrefixes = 64;
    /// Age of the load in load reports.
    std::chrono::milliseconds loadLag{1000};
    /// Time from a crash until the server listens again.
    std::chrono::milliseconds restartTime{300};
    /// Rejects orders whose fencing number is lower than the highest one so far.
    bool checksFencing = false;
};

/// Stand-in for a model engine with continuous batching: each decoding step yields one token for
/// every sequence in the batch that has completed its prefill. Simulates crashes, freezes and
/// slowness on command.
class Engine
{
public:
    Engine(EventLoop &loop, const EngineOptions &options);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// False when the address cannot be bound.
    bool start();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// One request from its arrival until its last token.
    struct Sequence
    {
        HttpExchangePtr exchange;
        std::string prompt;
        std::string firstMessage;
        std::string model;
        std::uint64_t digest = 0;
        std::uint64_t nextToken = 0;
        std::uint64_t tokenCount = 0;
        bool isStreaming = false;
        std::string text;
        /// End of the prefill.
        TimePoint readyAt;
    };
    using SequencePtr = std::shared_ptr<Sequence>;

    void handle(const HttpExchangePtr &exchange);
    void dispatch(const HttpExchangePtr &exchange);
    void acceptCompletion(const HttpExchangePtr &exchange);
    void handleOrder(const HttpExchangePtr &exchange);
    void control(const HttpExchangePtr &exchange);
    nlohmann::json journal() const;
    nlohmann::json load() const;

    void admitWaiting();
    void startSequence(const SequencePtr &sequence);
    void cancel(const Sequence *sequence);
    void crash();
    /// Stops or resumes decoding and the dispatch of requests; /control and /journal stay
    /// reachable.
    void setFrozen(bool frozen);

    void scheduleStep(TimePoint from);
    void step();
    void emitToken(Sequence &sequence);
    void finish(Sequence &sequence);
    void sampleLoad();
    std::chrono::nanoseconds interTokenLatency() const;

    EngineOptions options_;
    CrashableServer server_;
    Timer stepTimer_;
    Timer sampleTimer_;
    PrefixCache cache_;
    LoadHistory history_;

    std::deque<SequencePtr> waiting_;
    std::vector<SequencePtr> running_;
    /// Requests that arrived during a freeze; they are dispatched at its end.
    std::vector<HttpExchangePtr> requestsWhileFrozen_;
    TimePoint stepStart_;
    TimePoint nextStep_;
    /// Multiplies the prefill time and the inter-token latency.
    double slowFactor_ = 1;
    bool frozen_ = false;

    std::uint64_t highestFencing_ = 0;
    nlohmann::json orders_ = nlohmann::json::array();

    std::uint64_t tokens_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t cancelled_ = 0;
    std::size_t maxRunning_ = 0;
    /// Number of requests by request ID, or by prompt if there is no ID.
    std::map<std::string, std::uint64_t> requests_;
};

/// Runs the sub-command `engine`; returns the exit status.
int runEngine(int argc, char **argv);

} // namespace lovagecourse
