#include "entry/OfferTable.h"

namespace lovagecourse {

OfferId OfferTable::add(const OutstandingOffer &outstanding)
{
    const OfferId offer(++lastOffer_);
    offers_.emplace(offer, outstanding);
    ++counts_[{outstanding.account, outstanding.server}];
    return offer;
}

std::optional<OfferTable::OutstandingOffer> OfferTable::remove(OfferId offer)
{
    const auto found = offers_.find(offer);
    if (found == offers_.end())
        return std::nullopt;
    const OutstandingOffer outstanding = found->second;
    offers_.erase(found);
    const auto counted = counts_.find({outstanding.account, outstanding.server});
    if (--counted->second == 0)
        counts_.erase(counted);
    return outstanding;
}

std::size_t OfferTable::count(const AccountId &account, const ServerId &server) const
{
    const auto found = counts_.find({account, server});
    return found == counts_.end() ? 0 : found->second;
}

std::vector<OfferId> OfferTable::at(const ServerId &server) const
{
    std::vector<OfferId> result;
    for (const auto &[offer, outstanding] : offers_) {
        if (outstanding.server == server)
            result.push_back(offer);
    }
    return result;
}

} // namespace lovagecourse
