#pragma once

#include "core/Ids.h"
#include "gateway/HttpGateway.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Offers of this entry that agents have neither granted nor refused, with their number per account
/// and server.
class OfferTable
{
public:
    struct OutstandingOffer
    {
        CallerId caller;
        ServerId server;
        AccountId account;
        /// The offer was sent with the request marked as a crash suspect.
        bool suspect = false;
    };

    /// Adds an offer under a new id.
    OfferId add(const OutstandingOffer &outstanding);
    /// Removes and returns an offer; empty when there is none with this id.
    std::optional<OutstandingOffer> remove(OfferId offer);
    /// Number of the account's offers at a server.
    std::size_t count(const AccountId &account, const ServerId &server) const;
    /// All offers at a server.
    std::vector<OfferId> at(const ServerId &server) const;

private:
    std::map<OfferId, OutstandingOffer> offers_;
    std::map<std::pair<AccountId, ServerId>, std::size_t> counts_;
    std::uint64_t lastOffer_ = 0;
};

} // namespace lovagecourse
