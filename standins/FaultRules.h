#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>

namespace lovagecourse {

/// Faults of one proxied address.
struct FaultRules
{
    std::chrono::duration<double, std::milli> delay{0};
    /// Upper bound of the random time that is added to the delay.
    std::chrono::duration<double, std::milli> jitter{0};
    /// Shares of datagrams, 0 to 1.
    double drop = 0;
    double reorder = 0;
    double duplicate = 0;
    /// Closes and refuses connections, drops all datagrams.
    bool cut = false;
    /// Keeps connections but passes no byte.
    bool freeze = false;
};

/// Reads rules; what the object does not name has no fault.
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
inline bool happens(double share, std::mt19937_64 &random)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
}

/// Delay plus a random part of the jitter.
inline std::chrono::nanoseconds drawDelay(const FaultRules &rules, std::mt19937_64 &random)
{
    const double part = std::uniform_real_distribution<double>(0, 1)(random);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(rules.delay + rules.jitter * part);
}

} // namespace lovagecourse
