#include "fairness/ReplyPacer.h"

namespace lovagecourse {

namespace {

// Approximate sizes of FairTotals on the wire with names of typical length.
constexpr double entryBytes = 50;
constexpr double datagramBytes = 110;
/// Agents without reports for this long are left out of the reply cycle.
constexpr seconds agentTimeout{3};
constexpr milliseconds cycleUpdateInterval{250};
/// Plus one report interval (250 ms), this stays well below the 3 s after which agents consider a
/// home unresponsive.
constexpr seconds keepAliveInterval{2};

} // namespace

ReplyKind ReplyPacer::nextReply(const DaemonId &agent, std::size_t flows, TimePoint now)
{
    Agent &state = agents_[agent];
    state.lastReport = now;
    state.bytes = datagramBytes + entryBytes * static_cast<double>(flows);
    if (now - cycleUpdatedAt_ >= cycleUpdateInterval) {
        cycleUpdatedAt_ = now;
        std::erase_if(agents_, [now](const auto &item) {
            return now - item.second.lastReport > agentTimeout;
        });
        double bytes = 0;
        for (const auto &[name, other] : agents_)
            bytes += other.bytes;
        cycle_ = std::chrono::duration<double>(bytes / bytesPerSecond_);
    }
    const bool isFirst = state.lastFullReply == TimePoint();
    if (isFirst || now - state.lastFullReply >= cycle_) {
        state.lastFullReply = now;
        state.lastReply = now;
        return ReplyKind::Full;
    }
    if (now - state.lastReply < keepAliveInterval)
        return ReplyKind::None;
    state.lastReply = now;
    return ReplyKind::KeepAlive;
}

} // namespace lovagecourse
