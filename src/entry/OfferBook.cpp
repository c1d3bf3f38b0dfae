#include "entry/OfferBook.h"

namespace lovagecourse {

OfferId OfferBook::add(const Entry &entry)
{
    const OfferId offer(++lastOffer_);
    offers_.emplace(offer, entry);
    ++counts_[{entry.account, entry.server}];
    return offer;
}

std::optional<OfferBook::Entry> OfferBook::remove(OfferId offer)
{
    const auto found = offers_.find(offer);
    if (found == offers_.end())
        return std::nullopt;
    const Entry entry = found->second;
    offers_.erase(found);
    const auto counted = counts_.find({entry.account, entry.server});
    if (--counted->second == 0)
        counts_.erase(counted);
    return entry;
}

std::size_t OfferBook::count(const AccountId &account, const ServerId &server) const
{
    const auto found = counts_.find({account, server});
    return found == counts_.end() ? 0 : found->second;
}

std::vector<OfferId> OfferBook::at(const ServerId &server) const
{
    std::vector<OfferId> result;
    for (const auto &[offer, entry] : offers_) {
        if (entry.server == server)
            result.push_back(offer);
    }
    return result;
}

} // namespace lovagecourse
