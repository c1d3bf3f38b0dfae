#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovagecourse {

/// One client account that the load tool sends requests for.
struct LoadAccount
{
    std::string name;
    std::string key;
    /// Share of the requests, relative to the other accounts' weights.
    double weight = 1;
};

/// Rate and distribution of the requests of a load run.
struct LoadProfile
{
    std::vector<LoadAccount> accounts;
    std::size_t targetCount = 1;
    /// Mean requests per second outside bursts.
    double rate = 10;
    /// Tokens per answer.
    std::uint64_t tokens = 32;
    /// Share of long requests, 0 to 1.
    double longShare = 0;
    std::uint64_t longTokens = 0;
    /// Share of requests that ask for 20 times the tokens, 0 to 1.
    double stragglerShare = 0;
    /// Quadruples the rate for 2 s in every 10 s.
    bool hasBursts = false;
    /// Number of prompt prefixes that the requests share; 0 gives prompts without a shared prefix.
    std::uint64_t prefixes = 0;
    std::uint64_t seed = 1;
};

/// One request of the plan; account and target are indices.
struct PlannedRequest
{
    std::uint64_t number = 0;
    std::size_t account = 0;
    std::size_t target = 0;
    std::uint64_t tokens = 0;
    std::string prompt;
};

/// Draws random requests and arrival times; a seed always gives the same sequence.
class LoadPlan
{
public:
    explicit LoadPlan(const LoadProfile &profile)
        : profile_(profile)
        , requestRandom_(profile.seed)
        , arrivalRandom_(profile.seed + 1)
    {
        std::vector<double> weights;
        for (const LoadAccount &account : profile.accounts)
            weights.push_back(account.weight);
        accounts_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    PlannedRequest nextRequest()
    {
        PlannedRequest request;
        request.number = count_++;
        request.account = accounts_(requestRandom_);
        request.target = requestRandom_() % profile_.targetCount;
        // Both numbers are drawn for every request, so that a share does not shift later draws.
        const bool isLong = drawShare() < profile_.longShare;
        const bool isStraggler = drawShare() < profile_.stragglerShare;
        request.tokens = (isLong ? profile_.longTokens : profile_.tokens) * (isStraggler ? 20 : 1);
        request.prompt = prompt(request.number, requestRandom_());
        return request;
    }

    /// Time of the next arrival of a Poisson process, since the start of the run.
    std::chrono::nanoseconds nextArrival()
    {
        const double rate = profile_.rate * burstFactor(lastArrivalSeconds_);
        lastArrivalSeconds_ += std::exponential_distribution<double>(rate)(arrivalRandom_);
        return std::chrono::nanoseconds(static_cast<std::int64_t>(lastArrivalSeconds_ * 1e9));
    }

    /// Factor on the rate: 4 for 2 s in every 10 s, else 1. The first burst starts at 4 s, after
    /// the warm-up.
    double burstFactor(double second) const
    {
        const double phase = std::fmod(second, 10.);
        return profile_.hasBursts && phase >= 4 && phase < 6 ? 4 : 1;
    }

private:
    double drawShare() { return std::uniform_real_distribution<double>(0, 1)(requestRandom_); }

    std::string prompt(std::uint64_t number, std::uint64_t draw) const
    {
        std::string unique =
                "request " + std::to_string(number) + " of seed " + std::to_string(profile_.seed);
        if (profile_.prefixes == 0)
            return unique;
        std::string prefix = "prefix " + std::to_string(draw % profile_.prefixes) + " ";
        // Engine stand-ins key their prefix cache by the first 256 bytes.
        prefix.resize(256, '.');
        return prefix + unique;
    }

    LoadProfile profile_;
    std::mt19937_64 requestRandom_;
    std::mt19937_64 arrivalRandom_;
    std::discrete_distribution<std::size_t> accounts_;
    std::uint64_t count_ = 0;
    double lastArrivalSeconds_ = 0;
};

} // namespace lovagecourse
