#include "placing/ServerWords.h"

namespace lovagecourse {

Withheld withheldReason(bool isDraining, const ServerWords &words, unsigned running, TimePoint now)
{
    if (isDraining)
        return Withheld::Draining;
    if (words.leavingSince)
        return Withheld::Leaving;
    if (words.pausedAt && now < words.pausedUntil)
        return Withheld::Paused;
    if (words.pausedAt && running >= maxProbesAfterPause)
        return Withheld::Probing;
    return hasRoom(words.limit, now) ? Withheld::No : Withheld::Limited;
}

void onPauseHeard(ServerWords &words, milliseconds pause, TimePoint now)
{
    words.pausedAt = now;
    words.pausedUntil = now + pause;
}

bool onAnswerHeard(ServerWords &words, TimePoint sentAt)
{
    if (!words.pausedAt || sentAt < words.pausedUntil)
        return false;
    words.pausedAt.reset();
    return true;
}

} // namespace lovagecourse
