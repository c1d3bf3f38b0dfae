#include "placing/WarmingState.h"

#include "placing/WarmingShare.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr double maxTokens = 1;
// Used until the service's time is known.
constexpr std::chrono::minutes longestWarming{10};
// Broken connections count for so long when neither the store nor the server shows the run.
constexpr seconds longestDoubt{30};

double tokensAt(const WarmingState &state, TimePoint now)
{
    const double elapsed =
            std::max(0., std::chrono::duration<double>(now - state.filledAt).count());
    return std::min(maxTokens, state.tokens + elapsed * state.ownPerSecond);
}

bool hasLimits(const WarmingLimits &limits)
{
    return limits.time.count() > 0 && limits.perSecond > 0;
}

bool isInDoubt(const WarmingState &state, TimePoint now)
{
    if (!state.brokenAt)
        return false;
    return state.answeredAt ? now - *state.answeredAt < state.limits.time
                            : now - *state.brokenAt < longestDoubt;
}

void begin(WarmingState &state, TimePoint now)
{
    if (isWarming(state, now))
        return;
    state.since = now;
    state.until.reset();
    state.tokens = 0;
    state.filledAt = now;
}

} // namespace

void setWarmingLimits(WarmingState &state, const WarmingLimits &limits, TimePoint now)
{
    if (state.limits == limits)
        return;
    state.limits = limits;
    state.tokens = 0;
    state.filledAt = now;
    if (state.until)
        state.until = std::min(*state.until, state.since + limits.time);
}

void setWarmingShare(WarmingState &state, double share, std::chrono::nanoseconds ramp,
                     TimePoint now)
{
    state.tokens = tokensAt(state, now);
    state.filledAt = now;
    state.ownPerSecond = state.limits.perSecond * usedWarmingRate * share;
    state.ramp = ramp;
}

void onWarmingReported(WarmingState &state, milliseconds left, TimePoint now)
{
    if (left.count() <= 0) {
        // Without a ramp, a server that was never limited would be limited afterwards.
        if (state.until)
            state.until = std::min(*state.until, now);
        return;
    }
    begin(state, now);
    const milliseconds longest = hasLimits(state.limits) ? state.limits.time : longestWarming;
    state.until = now + std::min(left, longest);
}

void onMayBeCold(WarmingState &state, TimePoint now)
{
    if (!hasLimits(state.limits))
        return;
    begin(state, now);
    state.until = std::max(state.until.value_or(now), now + state.limits.time);
}

void onConnectionBroken(WarmingState &state, TimePoint now)
{
    if (!hasLimits(state.limits))
        return;
    begin(state, now);
    state.brokenAt = now;
    state.answeredAt.reset();
}

void onRunShown(WarmingState &state, TimePoint writtenAfter)
{
    if (state.brokenAt && *state.brokenAt <= writtenAfter)
        state.brokenAt.reset();
}

void onListRead(WarmingState &state, TimePoint asOf)
{
    if (state.brokenAt && *state.brokenAt + state.limits.time <= asOf)
        state.brokenAt.reset();
}

void onAnswered(WarmingState &state, TimePoint sentAt, TimePoint now)
{
    if (state.brokenAt && !state.answeredAt && sentAt >= *state.brokenAt)
        state.answeredAt = now;
}

bool isWarming(const WarmingState &state, TimePoint now)
{
    if (!hasLimits(state.limits))
        return false;
    return isInDoubt(state, now) || (state.until && now < *state.until + state.ramp);
}

bool hasWarmingToken(const WarmingState &state, TimePoint now)
{
    return !isWarming(state, now) || tokensAt(state, now) >= 1;
}

void takeWarmingToken(WarmingState &state, TimePoint now)
{
    if (!isWarming(state, now))
        return;
    state.tokens = tokensAt(state, now) - 1;
    state.filledAt = now;
}

std::chrono::nanoseconds warmingLeft(const WarmingState &state, TimePoint now)
{
    std::chrono::nanoseconds left{0};
    if (!isWarming(state, now))
        return left;
    if (isInDoubt(state, now))
        left = state.limits.time;
    if (state.until)
        left = std::max<std::chrono::nanoseconds>(left, *state.until + state.ramp - now);
    return left;
}

} // namespace lovagecourse
