#pragma once

#include "placing/ServerModel.h"

#include <unordered_map>

namespace lovagecourse {

/// Moving average of the tokens of this router's requests to one service. Other routers report
/// only how many of their requests run.
class MeanRequestTokens
{
public:
    void add(double tokens);
    double value() const { return mean_; }

private:
    double mean_ = 0;
    bool isEmpty_ = true;
};

/// Estimates the tokens that the running requests of one engine hold in its memory. Running
/// requests and cached prefixes share the memory; when running requests fill it, the engine
/// preempts the newest one and prefills it again.
class EngineMemory
{
public:
    /// tokens: from requestTokens().
    void onSent(SendNumber number, double tokens);
    void onEnded(SendNumber number);
    /// The engine restarted with an empty memory.
    void clear();
    /// Tokens of all running requests; meanTokens is the size that is assumed for each of the
    /// peerRunning requests of the other routers. Requests beyond the slots wait and hold no
    /// memory; as it is not known which ones wait, all count in proportion. slots: 0 for no limit.
    double runningTokens(unsigned peerRunning, double meanTokens, unsigned slots) const;

private:
    std::unordered_map<SendNumber, double> sends_;
    double ownTokens_ = 0;
};

/// Output tokens expected of a request: the client's estimate, which is right at the median, with
/// an allowance for its error; maxOutput without an estimate.
double expectedOutputTokens(double lengthHint, double maxOutput);

/// Tokens that one request adds to the engine's memory until it ends. Cached tokens of its prompt
/// are in memory already, once for all requests that share them.
double requestTokens(double uncachedTokens, double outputTokens, double capacityTokens);

/// Tokens that the running requests leave for cached prefixes. capacityTokens of 0 stands for no
/// known capacity.
double prefixCacheRoom(double capacityTokens, double runningTokens);

/// The same for an idle engine: the most that cached prefixes can take.
double maxPrefixCacheRoom(double capacityTokens);

/// True if a further request would fill the engine's memory, so that a running request is
/// preempted. promptTokens includes the cached part, which stays in memory while the request runs.
bool exceedsMemory(double capacityTokens, double runningTokens, double promptTokens,
                   double outputTokens);

} // namespace lovagecourse
