#pragma once

#include "direct/DirectConfiguration.h"

#include <string>
#include <vector>

namespace lovagecourse {

/// Service as its document lists it.
struct ListedService
{
    ServiceId id;
    ServiceInfo info;
};

/// Client account as its document lists it.
struct ListedAccount
{
    AccountId id;
    int priority = 0;
    std::vector<std::string> keys;
};

/// A configuration with all its entries in the order of the document, also those that another
/// entry replaces when DirectConfiguration is made of it.
struct ListedConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ListedService> services;
    std::vector<ListedAccount> accounts;
    /// False when the platform defines no accounts; then no request needs a key.
    bool hasAccounts = false;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    milliseconds idleTimeout{0};
    double fleetTokensPerSecond = 0;
};

} // namespace lovagecourse
