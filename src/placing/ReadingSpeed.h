#pragma once

#include <array>

namespace lovagecourse {

/// Prompt as one engine has to read it.
struct PromptWork
{
    double unreadTokens = 0;
    /// Tokens before them that the engine keeps.
    double keptTokens = 0;
};

/// How long the servers of one service take at their usual speed, learned from the answers of all
/// of them. Each token costs reading time and attention to all tokens before it, so a prompt of
/// ten times the length takes more than ten times as long.
class ReadingSpeed
{
public:
    /// fleetTokensPerMs: first guess, tokens that one server reads in a ms; 0 when unknown.
    explicit ReadingSpeed(double fleetTokensPerMs);

    /// Time to the first byte of an answer without prompt and wait, in ms.
    double baseMs() const;
    /// Time to read a prompt, in ms.
    double readMs(const PromptWork &work) const;
    /// Time per token and per pair of tokens, in ms, for logs and metrics.
    double msPerToken() const;
    double msPerPair() const;
    /// An answer's first byte took this long, in ms, without the wait before it and at the usual
    /// speed.
    void learn(const PromptWork &work, double tookMs);

private:
    static constexpr std::size_t featureCount = 3;
    using Features = std::array<double, featureCount>;

    static Features featuresOf(const PromptWork &work);
    double estimate(const Features &features) const;

    Features weights_{};
    /// Inverse of the samples' weighted covariance, as in recursive least squares.
    std::array<Features, featureCount> uncertainty_{};
};

} // namespace lovagecourse
