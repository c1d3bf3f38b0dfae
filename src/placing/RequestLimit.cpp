#include "placing/RequestLimit.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Tokens that a router keeps while it sends nothing. Together with the rate they stay below the
// part of a limit that servers tolerate within a few seconds.
constexpr double maxKeptSeconds = 0.5;
constexpr double minKeptTokens = 1;

double toSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double tokensAt(const RequestLimit &limit, TimePoint now)
{
    const double kept = std::max(minKeptTokens, limit.ownPerSecond * maxKeptSeconds);
    const double elapsed = std::max(0., toSeconds(now - limit.filledAt));
    return std::min(kept, limit.tokens + elapsed * limit.ownPerSecond);
}

void fill(RequestLimit &limit, TimePoint now)
{
    limit.tokens = tokensAt(limit, now);
    limit.filledAt = now;
}

/// Notes a limit above the one in force, or none; the lowest that is named meanwhile comes next.
void rise(RequestLimit &limit, std::optional<double> perSecond, TimePoint heardAt)
{
    if (!limit.risingSince) {
        limit.risingSince = heardAt;
        limit.rising = perSecond;
    } else if (perSecond && (!limit.rising || *perSecond < *limit.rising)) {
        limit.rising = perSecond;
    }
}

} // namespace

bool onLimitNamed(RequestLimit &limit, double perSecond, double part, TimePoint heardAt,
                  TimePoint now)
{
    if (heardAt < limit.heardAt)
        return false;
    limit.heardAt = heardAt;
    const double counted = std::max(perSecond, minRequestLimit);
    const bool isChanged = limit.named != counted;
    if (isChanged)
        limit.changedAt = heardAt;
    limit.named = counted;
    if (!limit.perSecond) {
        // Requests that were sent before the limit was heard still arrive.
        limit.tokens = 0;
        limit.filledAt = now;
        limit.ownPerSecond = 0;
        limit.perSecond = counted;
    } else if (counted <= *limit.perSecond) {
        limit.perSecond = counted;
        limit.risingSince.reset();
    } else {
        rise(limit, counted, heardAt);
    }
    updateLimit(limit, part, now);
    return isChanged;
}

bool onLimitAbsent(RequestLimit &limit, TimePoint sentAt, TimePoint heardAt)
{
    if (!limit.named || sentAt <= limit.heardAt)
        return false;
    limit.named.reset();
    limit.heardAt = heardAt;
    limit.changedAt = heardAt;
    rise(limit, std::nullopt, heardAt);
    return true;
}

void updateLimit(RequestLimit &limit, double part, TimePoint now)
{
    if (limit.risingSince && now - *limit.risingSince >= limitWindow) {
        limit.perSecond = limit.rising;
        limit.risingSince.reset();
    }
    if (!limit.perSecond)
        return;
    fill(limit, now);
    limit.ownPerSecond = *limit.perSecond * std::clamp(part, 0., 1.);
}

bool hasRoom(const RequestLimit &limit, TimePoint now)
{
    return !limit.perSecond || tokensAt(limit, now) >= 1;
}

std::chrono::nanoseconds timeToRoom(const RequestLimit &limit, TimePoint now)
{
    constexpr double maxSeconds = 60;
    if (hasRoom(limit, now))
        return std::chrono::nanoseconds(0);
    const double missing = 1 - tokensAt(limit, now);
    const double wait = limit.ownPerSecond > 0 ? std::min(missing / limit.ownPerSecond, maxSeconds)
                                               : maxSeconds;
    return std::chrono::ceil<std::chrono::nanoseconds>(std::chrono::duration<double>(wait));
}

void takeRoom(RequestLimit &limit, TimePoint now)
{
    if (!limit.perSecond)
        return;
    fill(limit, now);
    // A request that was chosen just before may have taken the last token.
    limit.tokens -= 1;
}

} // namespace lovagecourse
