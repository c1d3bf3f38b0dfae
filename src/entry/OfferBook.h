#pragma once

#include "core/Ids.h"
#include "gateway/HttpGateway.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Offers of this entry that agents hold, and how many each account has at each server.
class OfferBook
{
public:
    struct Entry
    {
        CallerId caller;
        ServerId server;
        AccountId account;
        /// The offer says that the request is a crash suspect.
        bool suspect = false;
    };

    OfferId add(const Entry &entry);
    /// Removes an offer and returns what it was for; empty when it is not known.
    std::optional<Entry> remove(OfferId offer);
    /// Offers of an account at a server.
    std::size_t count(const AccountId &account, const ServerId &server) const;
    /// All offers at a server.
    std::vector<OfferId> at(const ServerId &server) const;

private:
    std::map<OfferId, Entry> offers_;
    std::map<std::pair<AccountId, ServerId>, std::size_t> counts_;
    std::uint64_t lastOffer_ = 0;
};

} // namespace lovagecourse
