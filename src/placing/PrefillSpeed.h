#pragma once

#include <array>

namespace lovagecourse {

/// Prefill work of a prompt at one server.
struct PrefillWork
{
    /// Tokens that need prefill.
    double uncachedTokens = 0;
    /// Tokens before them that the server has cached.
    double cachedTokens = 0;
};

/// Predicts the time to first byte of an idle server of one service at the usual speed, learned
/// from the answers of all its servers. Each token costs prefill time, and attention to all tokens
/// before it, so a prompt of ten times the length takes more than ten times as long.
class PrefillSpeed
{
public:
    /// initialTokensPerMs: estimated prefill rate of one server; 0 when unknown.
    explicit PrefillSpeed(double initialTokensPerMs);

    /// Time to first byte without prefill and wait, in ms.
    double baseMs() const;
    /// Prefill time, in ms.
    double prefillMs(const PrefillWork &work) const;
    /// Time per token, and per pair of tokens for attention, in ms, for the log.
    double msPerToken() const;
    double msPerPair() const;
    /// Updates the weights with a measured time to first byte, in ms, without the wait before the
    /// prefill and scaled to the usual speed.
    void train(const PrefillWork &work, double tookMs);

private:
    static constexpr std::size_t featureCount = 3;
    using Features = std::array<double, featureCount>;

    static Features featuresOf(const PrefillWork &work);
    double estimate(const Features &features) const;

    /// Base time, time per 1,000 tokens and time per 1e8 pairs, in ms.
    Features weights_{};
    /// Inverse of the samples' weighted correlation matrix, as in recursive least squares.
    std::array<Features, featureCount> inverseCorrelation_{};
};

} // namespace lovagecourse
