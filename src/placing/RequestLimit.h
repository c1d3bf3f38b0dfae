#pragma once

#include "core/Clock.h"

#include <optional>

namespace lovagecourse {

/// What one run of a server has said about the requests that it takes from all routers together,
/// and this router's part of them. A token bucket: each request takes a token, and tokens come at
/// the rate of this router's part.
struct RequestLimit
{
    /// Requests a second from all routers, as last named; empty when the server names no limit.
    std::optional<double> named;
    /// When an answer last named the limit or showed that there is none, at any router.
    TimePoint heardAt;
    /// When what is named has last changed.
    TimePoint changedAt;
    /// The limit in force: the lowest of those named within limitWindow. Empty when there is none.
    std::optional<double> perSecond;
    /// A higher limit, or none, has been named since this time; it is not in force yet.
    std::optional<TimePoint> risingSince;
    std::optional<double> rising;
    /// Requests a second from this router.
    double ownPerSecond = 0;
    double tokens = 0;
    TimePoint filledAt;
};

/// Time over which servers count what they get. A limit that was named within this time holds, so
/// that a server that has just recovered is not flooded.
constexpr std::chrono::seconds limitWindow{4};
/// Lower bound of a limit, in requests a second: the answers to these few requests show that a
/// limit has changed.
constexpr double minRequestLimit = 0.25;

/// An answer that came at heardAt names a limit. part: share of it that this router may use, from 0
/// to 1. Older news than what is known is ignored. Returns whether what the server names has
/// changed.
bool onLimitNamed(RequestLimit &limit, double perSecond, double part, TimePoint heardAt,
                  TimePoint now);
/// An answer to a request that was sent at sentAt came at heardAt without a limit. Ends the limit
/// if it was named before the request was sent; returns whether what the server names has changed.
bool onLimitAbsent(RequestLimit &limit, TimePoint sentAt, TimePoint heardAt);
/// Changes this router's part, and puts a higher limit in force at its time.
void updateLimit(RequestLimit &limit, double part, TimePoint now);
/// True when a request may be sent now.
bool hasRoom(const RequestLimit &limit, TimePoint now);
/// Time until hasRoom() is true.
std::chrono::nanoseconds timeToRoom(const RequestLimit &limit, TimePoint now);
/// A request is sent.
void takeRoom(RequestLimit &limit, TimePoint now);

} // namespace lovagecourse
