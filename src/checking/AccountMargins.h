#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lovagecourse {

/// A streamed request of a client account, as its router logged it at its end.
struct AccountRequest
{
    AccountId account;
    /// When the router received it.
    WallTime arrived;
    double tokens = 0;
    /// It was sent to a backend server.
    bool isSent = false;
    /// It was refused, failed, or began after its latency objective.
    bool isDisappointed = false;
};

/// What an account obtained in the window of marginWindow in which it came closest to less than its
/// due, or fell furthest below it.
struct AccountMargin
{
    AccountId account;
    WallTime begin;
    double requestedTokens = 0;
    double obtainedTokens = 0;
    /// Sum over the window's seconds of half of the lesser of what the account requested and what
    /// the best served account obtained, less three of the account's largest requests.
    double dueTokens = 0;
    unsigned requests = 0;
    unsigned refused = 0;

    /// Below 1, the account was treated unfairly.
    double ratio() const { return obtainedTokens / dueTokens; }
};

constexpr seconds marginWindow{6};

/// Parses the log line of a request's end; empty for other lines and for requests without tokens.
std::optional<AccountRequest> parseRequestLine(std::string_view line);

/// Lowest margin of each account, in ascending order of ratio(). Only windows count in which the
/// account has a disappointed request in each second and its due is positive.
std::vector<AccountMargin> lowestMargins(std::span<const AccountRequest> requests);

} // namespace lovagecourse
