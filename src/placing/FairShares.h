#pragma once

#include "core/Clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Account in a report between daemons: a hash of its id, which is the same everywhere.
using AccountHash = std::uint32_t;

/// Tokens of one account within the window.
struct AccountTokens
{
    double asked = 0;
    double served = 0;
};

/// Tokens that accounts asked for and got in the last seconds, fleet-wide, and their max-min fair
/// share. Answers the pattern of one account at many times its usual load, or of all above it:
/// accounts that asked for less than the share are served first.
class FairShares
{
public:
    /// Window over which service is compared.
    static constexpr seconds window{4};

    void onAsked(AccountHash account, double tokens, TimePoint now);
    void onServed(AccountHash account, double tokens, TimePoint now);
    /// This daemon's own tokens within the window, for its report to the others.
    std::vector<std::pair<AccountHash, AccountTokens>> own(TimePoint now) const;
    /// Replaces what a peer reported before; empty when the peer is gone.
    void setPeer(const std::string &peer, std::vector<std::pair<AccountHash, AccountTokens>> tokens,
                 TimePoint now);
    /// Service of the account divided by its fair share.
    double standing(AccountHash account, TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 8;

    struct Bucket
    {
        std::int64_t number = -1;
        AccountTokens tokens;
    };

    struct PeerReport
    {
        TimePoint received;
        std::vector<std::pair<AccountHash, AccountTokens>> tokens;
    };

    Bucket &bucketOf(AccountHash account, TimePoint now);
    void refresh(TimePoint now) const;

    std::unordered_map<AccountHash, std::array<Bucket, bucketCount>> own_;
    std::unordered_map<std::string, PeerReport> peers_;
    mutable std::unordered_map<AccountHash, AccountTokens> totals_;
    mutable double fairShare_ = 0;
    mutable TimePoint refreshed_;
};

/// Largest share such that accounts, each with the lesser of it and what it asked for, got the
/// sum that was served.
double maxMinShare(std::vector<double> asked, double served);

} // namespace lovagecourse
