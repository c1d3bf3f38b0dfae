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

/// Properties of a model engine stand-in.
struct EngineOptions
{
    sockaddr_in listen{};
    /// Time between two tokens of a stream while the batch is at most the knee.
    std::chrono::duration<double, std::milli> baseGap{20};
    /// Batch size above which the token gap grows in proportion to the batch.
    double knee = 8;
    std::size_t maxBatch = 64;
    /// Time before the first token when the prompt prefix is not cached.
    std::chrono::duration<double, std::milli> prefillTime{100};
    std::size_t cachedPrefixes = 64;
    std::chrono::milliseconds loadLag{1000};
    std::chrono::milliseconds restartTime{300};
    bool checksFencing = false;
};

/// Model engine with continuous batching: one step yields one token for each running stream.
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

    /// One request from its arrival to its last token.
    struct Sequence
    {
        HttpExchangePtr exchange;
        std::string prompt;
        std::string firstMessage;
        std::string model;
        std::uint64_t digest = 0;
        std::uint64_t nextToken = 0;
        std::uint64_t tokenCount = 0;
        bool streams = false;
        std::string text;
        TimePoint readyAt;
    };
    using SequencePtr = std::shared_ptr<Sequence>;

    void handle(const HttpExchangePtr &exchange);
    void dispatch(const HttpExchangePtr &exchange);
    void acceptCompletion(const HttpExchangePtr &exchange);
    void takeOrder(const HttpExchangePtr &exchange);
    void control(const HttpExchangePtr &exchange);
    nlohmann::json journal() const;
    nlohmann::json load() const;

    void admitWaiting();
    void run(const SequencePtr &sequence);
    void cancel(const Sequence *sequence);
    void crash();
    void setFrozen(bool frozen);

    void scheduleStep(TimePoint from);
    void step();
    void emitToken(Sequence &sequence);
    void finish(Sequence &sequence);
    void sampleLoad();
    std::chrono::nanoseconds gap() const;

    EngineOptions options_;
    CrashableServer server_;
    Timer stepTimer_;
    Timer sampleTimer_;
    PrefixCache cache_;
    LoadHistory history_;

    std::deque<SequencePtr> waiting_;
    std::vector<SequencePtr> running_;
    std::vector<HttpExchangePtr> heldWhileFrozen_;
    TimePoint stepStart_;
    TimePoint nextStep_;
    double slowFactor_ = 1;
    bool frozen_ = false;

    std::uint64_t highestFencing_ = 0;
    nlohmann::json orders_ = nlohmann::json::array();

    std::uint64_t tokens_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t cancelled_ = 0;
    std::size_t maxRunning_ = 0;
    std::map<std::string, std::uint64_t> requests_;
};

/// Runs the sub-command `engine`; returns the exit status.
int runEngine(int argc, char **argv);

} // namespace lovagecourse
