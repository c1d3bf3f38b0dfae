#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovagecourse {

/// One account of the load tool.
struct LoadAccount
{
    std::string name;
    std::string key;
    double weight = 1;
};

/// What the load tool asks for.
struct LoadMix
{
    std::vector<LoadAccount> accounts;
    std::size_t targetCount = 1;
    /// Requests per second.
    double rate = 10;
    std::uint64_t tokens = 32;
    double longShare = 0;
    std::uint64_t longTokens = 0;
    double stragglerShare = 0;
    bool swings = false;
    /// Number of common prompt prefixes; 0 gives each prompt its own.
    std::uint64_t prefixes = 0;
    std::uint64_t seed = 1;
};

/// One planned request.
struct PlannedRequest
{
    std::uint64_t number = 0;
    std::size_t account = 0;
    std::size_t target = 0;
    std::uint64_t tokens = 0;
    std::string prompt;
};

/// Draws requests and arrival times; the same seed gives the same sequence.
class LoadPlan
{
public:
    explicit LoadPlan(const LoadMix &mix)
        : mix_(mix)
        , bodies_(mix.seed)
        , arrivals_(mix.seed + 1)
    {
        std::vector<double> weights;
        for (const LoadAccount &account : mix.accounts)
            weights.push_back(account.weight);
        accounts_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    PlannedRequest nextRequest()
    {
        PlannedRequest request;
        request.number = count_++;
        request.account = accounts_(bodies_);
        request.target = bodies_() % mix_.targetCount;
        // Each draw happens for every request, so that a share does not shift later draws.
        const bool isLong = drawShare() < mix_.longShare;
        const bool isStraggler = drawShare() < mix_.stragglerShare;
        request.tokens = (isLong ? mix_.longTokens : mix_.tokens) * (isStraggler ? 20 : 1);
        request.prompt = prompt(request.number, bodies_());
        return request;
    }

    /// Time of the next arrival of a Poisson process, counted from the start.
    std::chrono::nanoseconds nextArrival()
    {
        const double rate = mix_.rate * swingFactor(arrival_);
        arrival_ += std::exponential_distribution<double>(rate)(arrivals_);
        return std::chrono::nanoseconds(static_cast<std::int64_t>(arrival_ * 1e9));
    }

    /// 4 for 2 s in every 10 s, else 1; the peak starts after 4 s, when a system has warmed up.
    double swingFactor(double second) const
    {
        const double phase = std::fmod(second, 10.);
        return mix_.swings && phase >= 4 && phase < 6 ? 4 : 1;
    }

private:
    double drawShare() { return std::uniform_real_distribution<double>(0, 1)(bodies_); }

    std::string prompt(std::uint64_t number, std::uint64_t draw) const
    {
        std::string unique =
                "request " + std::to_string(number) + " of seed " + std::to_string(mix_.seed);
        if (mix_.prefixes == 0)
            return unique;
        std::string prefix = "prefix " + std::to_string(draw % mix_.prefixes) + " ";
        // Engines cache the first 256 bytes.
        prefix.resize(256, '.');
        return prefix + unique;
    }

    LoadMix mix_;
    std::mt19937_64 bodies_;
    std::mt19937_64 arrivals_;
    std::discrete_distribution<std::size_t> accounts_;
    std::uint64_t count_ = 0;
    double arrival_ = 0;
};

} // namespace lovagecourse
