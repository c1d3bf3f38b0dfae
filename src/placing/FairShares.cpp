#include "placing/FairShares.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Totals are computed anew after this time; a few requests more or less don't change the order.
constexpr milliseconds refreshInterval{50};
// A peer that was not heard of for this long has died or is cut off.
constexpr milliseconds peerTimeout{2000};

} // namespace

double maxMinShare(std::vector<double> asked, double served)
{
    std::sort(asked.begin(), asked.end());
    double left = served;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= even)
            return even;
        left -= asked[i];
    }
    // Everybody got all that it asked for.
    return asked.empty() ? 0 : asked.back() + left;
}

FairShares::Bucket &FairShares::bucketOf(AccountHash account, TimePoint now)
{
    const auto length = std::chrono::nanoseconds(window) / bucketCount;
    const std::int64_t number = now.time_since_epoch() / length;
    Bucket &bucket = own_[account][static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket{number, {}};
    return bucket;
}

void FairShares::onAsked(AccountHash account, double tokens, TimePoint now)
{
    bucketOf(account, now).tokens.asked += tokens;
}

void FairShares::onServed(AccountHash account, double tokens, TimePoint now)
{
    bucketOf(account, now).tokens.served += tokens;
}

std::vector<std::pair<AccountHash, AccountTokens>> FairShares::own(TimePoint now) const
{
    const auto length = std::chrono::nanoseconds(window) / bucketCount;
    const std::int64_t oldest =
            now.time_since_epoch() / length - static_cast<std::int64_t>(bucketCount) + 1;
    std::vector<std::pair<AccountHash, AccountTokens>> result;
    for (const auto &[account, buckets] : own_) {
        AccountTokens sum;
        for (const Bucket &bucket : buckets) {
            if (bucket.number < oldest)
                continue;
            sum.asked += bucket.tokens.asked;
            sum.served += bucket.tokens.served;
        }
        if (sum.asked > 0 || sum.served > 0)
            result.emplace_back(account, sum);
    }
    return result;
}

void FairShares::setPeer(const std::string &peer,
                         std::vector<std::pair<AccountHash, AccountTokens>> tokens, TimePoint now)
{
    peers_[peer] = PeerReport{now, std::move(tokens)};
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
            total.asked += sum.asked;
            total.served += sum.served;
        }
    };
    add(own(now));
    for (const auto &[peer, report] : peers_) {
        if (now - report.received < peerTimeout)
            add(report.tokens);
    }
    std::vector<double> asked;
    double served = 0;
    for (const auto &[account, total] : totals_) {
        asked.push_back(total.asked);
        served += total.served;
    }
    fairShare_ = maxMinShare(std::move(asked), served);
}

double FairShares::standing(AccountHash account, TimePoint now) const
{
    refresh(now);
    const auto found = totals_.find(account);
    if (found == totals_.end() || fairShare_ <= 0)
        return 0;
    return found->second.served / fairShare_;
}

} // namespace lovagecourse
