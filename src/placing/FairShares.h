#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Hash of a client account's id, equal in all routers; identifies the account in their reports.
using AccountHash = std::uint32_t;

/// Estimated cost of one account's requests within FairShares::window, in tokens.
struct AccountTokens
{
    /// All requests.
    double requested = 0;
    /// Admitted requests.
    double admitted = 0;
};

/// Estimates the requested and admitted tokens of each account over all routers, and computes the
/// max-min fair share. With it, accounts that request less than the share are admitted first when
/// one account sends many times its usual load, or all send more than usual.
///
/// Tokens are forgotten exponentially. In a sliding window, all that an account got at one moment
/// would cease to count at one moment, so that accounts above their share would be served by turns.
class FairShares
{
public:
    /// Time for which the totals are estimated: tokens at the rate of the last moments.
    static constexpr seconds window{4};
    /// Time constant with which tokens are forgotten. Longer, and an account that was over-served
    /// when its load began is refused for the whole window of the fairness rule; shorter, and
    /// reports that are 0.4 s old no longer tell its rate.
    static constexpr milliseconds decayTime{1500};

    void onRequested(AccountHash account, double tokens, TimePoint now);
    void onAdmitted(AccountHash account, double tokens, TimePoint now);
    /// Totals of this router's requests, for its reports to the other routers.
    std::vector<std::pair<AccountHash, AccountTokens>> localTotals(TimePoint now) const;
    /// The same together with the last reports of the peers for which isMember returns true.
    std::vector<std::pair<AccountHash, AccountTokens>>
    groupTotals(const std::function<bool(const std::string &peer)> &isMember, TimePoint now) const;
    /// Replaces the totals that another router or data centre reported before. They expire after
    /// 2 s.
    void setPeerTotals(const std::string &peer,
                       std::vector<std::pair<AccountHash, AccountTokens>> tokens, TimePoint now);
    /// Tokens admitted for the account divided by the fair share; 0 if unknown.
    double fairShareRatio(AccountHash account, TimePoint now) const;
    /// Logs the fair share and what it is computed from.
    void logState(TimePoint now) const;
    /// How much the most deprived account lacks of most of its fair share, or of what it requested
    /// if that is less: from 0 (nothing) to 1 (all). Load: accounts above their share keep the
    /// queues at a wait that leaves no time for another account's long prompts.
    double deprivation(TimePoint now) const;

private:
    struct DecayingTokens
    {
        AccountTokens at(TimePoint now) const;

        AccountTokens tokens;
        TimePoint updated;
    };

    struct PeerReport
    {
        TimePoint received;
        std::vector<std::pair<AccountHash, AccountTokens>> tokens;
    };

    AccountTokens &localTokens(AccountHash account, TimePoint now);
    void refresh(TimePoint now) const;

    std::unordered_map<AccountHash, DecayingTokens> localTokens_;
    std::unordered_map<std::string, PeerReport> peers_;
    mutable std::unordered_map<AccountHash, AccountTokens> totals_;
    mutable double fairShare_ = 0;
    mutable double deprivation_ = 0;
    mutable TimePoint refreshed_;
};

/// Max-min fair share: the share for which the sum over all accounts of the lesser of the share and
/// the requested tokens equals admitted. If admitted exceeds the sum of all requested tokens, the
/// largest of them plus the excess; 0 without accounts.
double maxMinShare(std::vector<double> requested, double admitted);

} // namespace lovagecourse
