#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>

namespace lovagecourse {

/// Faults that the proxy injects at one mapping.
struct FaultRules
{
    std::chrono::duration<double, std::milli> delay{0};
    /// Upper bound of the uniformly distributed time that is added to the delay.
    std::chrono::duration<double, std::milli> jitter{0};
    /// Probability that a datagram is dropped.
    double drop = 0;
    /// Probability that a datagram is sent after the next one of its direction.
    double reorder = 0;
    /// Probability that a datagram is sent twice.
    double duplicate = 0;
    /// Closes all connections, refuses new ones and drops all datagrams.
    bool cut = false;
    /// Keeps connections open but forwards no data.
    bool freeze = false;
};

/// Reads rules from JSON; a missing or malformed value means no such fault.
inline FaultRules readFaultRules(const nlohmann::json &object)
{
    const auto number = [&object](const char *name) {
        const bool given = object.contains(name) && object[name].is_number();
        return given ? std::max(0., object[name].get<double>()) : 0.;
    };
    const auto flag = [&object](const char *name) {
        return object.contains(name) && object[name] == true;
    };
    FaultRules rules;
    rules.delay = decltype(rules.delay)(number("delay_ms"));
    rules.jitter = decltype(rules.jitter)(number("jitter_ms"));
    rules.drop = number("drop");
    rules.reorder = number("reorder");
    rules.duplicate = number("duplicate");
    rules.cut = flag("cut");
    rules.freeze = flag("freeze");
    return rules;
}

/// True with the given probability.
inline bool drawBernoulli(double probability, std::mt19937_64 &random)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

/// The delay plus a uniformly distributed part of the jitter.
inline std::chrono::nanoseconds drawDelay(const FaultRules &rules, std::mt19937_64 &random)
{
    const double part = std::uniform_real_distribution<double>(0, 1)(random);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(rules.delay + rules.jitter * part);
}

} // namespace lovagecourse
