#include "placing/FairShares.h"

#include "core/Log.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Totals may be this old; a few requests more or less don't change the order of the accounts.
constexpr milliseconds refreshInterval{50};
// A router without a report for this long has stopped or is unreachable.
constexpr milliseconds peerTimeout{2000};
// An account that got this part of its share or of its requests is not deprived. The fairness rule
// requires half; the rest is for the time until others are admitted less.
constexpr double dueShare = 0.75;
// An account that lacks less than one of the largest prompts is not deprived, so a single refused
// request does not shorten the queues.
constexpr double dueSlackTokens = 17020;
// With this factor the steady total is the rate times the window.
constexpr double windowsPerDecayTime =
        std::chrono::duration<double>(FairShares::window) / FairShares::decayTime;
// Smaller totals are those of accounts that have sent nothing for several times the decay time.
constexpr double minTokens = 1;

} // namespace

double maxMinShare(std::vector<double> requested, double admitted)
{
    std::sort(requested.begin(), requested.end());
    double remaining = admitted;
    for (std::size_t i = 0; i < requested.size(); ++i) {
        const double evenShare = remaining / static_cast<double>(requested.size() - i);
        if (requested[i] >= evenShare)
            return evenShare;
        remaining -= requested[i];
    }
    // Every account got all that it requested.
    return requested.empty() ? 0 : requested.back() + remaining;
}

AccountTokens FairShares::DecayingTokens::at(TimePoint now) const
{
    const double remaining = std::exp(-toMs(now - updated) / toMs(decayTime));
    return {tokens.requested * remaining, tokens.admitted * remaining};
}

/// Brings the account's totals up to the present and returns them.
AccountTokens &FairShares::localTokens(AccountHash account, TimePoint now)
{
    DecayingTokens &decaying =
            localTokens_.try_emplace(account, DecayingTokens{{}, now}).first->second;
    decaying = DecayingTokens{decaying.at(now), now};
    return decaying.tokens;
}

void FairShares::onRequested(AccountHash account, double tokens, TimePoint now)
{
    localTokens(account, now).requested += tokens * windowsPerDecayTime;
}

void FairShares::onAdmitted(AccountHash account, double tokens, TimePoint now)
{
    localTokens(account, now).admitted += tokens * windowsPerDecayTime;
}

std::vector<std::pair<AccountHash, AccountTokens>> FairShares::localTotals(TimePoint now) const
{
    std::vector<std::pair<AccountHash, AccountTokens>> result;
    for (const auto &[account, decaying] : localTokens_) {
        const AccountTokens tokens = decaying.at(now);
        if (tokens.requested >= minTokens || tokens.admitted >= minTokens)
            result.emplace_back(account, tokens);
    }
    return result;
}

std::vector<std::pair<AccountHash, AccountTokens>>
FairShares::groupTotals(const std::function<bool(const std::string &peer)> &isMember,
                        TimePoint now) const
{
    std::unordered_map<AccountHash, AccountTokens> sums;
    const auto add = [&sums](const auto &tokens) {
        for (const auto &[account, sum] : tokens) {
            sums[account].requested += sum.requested;
            sums[account].admitted += sum.admitted;
        }
    };
    add(localTotals(now));
    for (const auto &[peer, report] : peers_) {
        if (now - report.received < peerTimeout && isMember(peer))
            add(report.tokens);
    }
    return {sums.begin(), sums.end()};
}

void FairShares::setPeerTotals(const std::string &peer,
                               std::vector<std::pair<AccountHash, AccountTokens>> tokens,
                               TimePoint now)
{
    peers_[peer] = PeerReport{now, std::move(tokens)};
    // Routers are replaced by ones with other names.
    std::erase_if(peers_,
                  [now](const auto &entry) { return now - entry.second.received >= peerTimeout; });
}

void FairShares::refresh(TimePoint now) const
{
    if (refreshed_ != TimePoint() && now - refreshed_ < refreshInterval)
        return;
    refreshed_ = now;
    totals_.clear();
    const auto add = [this](const auto &tokens) {
        for (const auto &[account, sum] : tokens) {
            AccountTokens &total = totals_[account];
            total.requested += sum.requested;
            total.admitted += sum.admitted;
        }
    };
    add(localTotals(now));
    for (const auto &[peer, report] : peers_) {
        if (now - report.received < peerTimeout)
            add(report.tokens);
    }
    std::vector<double> requested;
    double admitted = 0;
    for (const auto &[account, total] : totals_) {
        requested.push_back(total.requested);
        admitted += total.admitted;
    }
    fairShare_ = maxMinShare(std::move(requested), admitted);
    deprivation_ = 0;
    for (const auto &[account, total] : totals_) {
        const double due = dueShare * std::min(total.requested, fairShare_) - dueSlackTokens;
        if (due > 0)
            deprivation_ = std::max(deprivation_, 1 - total.admitted / due);
    }
}

void FairShares::logState(TimePoint now) const
{
    refresh(now);
    AccountTokens sum;
    for (const auto &[account, total] : totals_) {
        sum.requested += total.requested;
        sum.admitted += total.admitted;
    }
    const auto reports = std::count_if(peers_.begin(), peers_.end(), [now](const auto &peer) {
        return now - peer.second.received < peerTimeout;
    });
    logInfo(LogPart::Fairness, "event=shares accounts=", totals_.size(), " reports=", reports,
            " requested_tokens=", sum.requested, " admitted_tokens=", sum.admitted,
            " share_tokens=", fairShare_, " deprivation=", deprivation_);
}

double FairShares::deprivation(TimePoint now) const
{
    refresh(now);
    return deprivation_;
}

double FairShares::fairShareRatio(AccountHash account, TimePoint now) const
{
    refresh(now);
    const auto found = totals_.find(account);
    if (found == totals_.end() || fairShare_ <= 0)
        return 0;
    return found->second.admitted / fairShare_;
}

} // namespace lovagecourse
