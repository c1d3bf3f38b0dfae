#include "fairness/ReplyPacer.h"

namespace lovagecourse {

namespace {

// Sizes on the wire with usual names.
constexpr double entryBytes = 50;
constexpr double datagramBytes = 110;
constexpr seconds reporterLifetime{3};
constexpr milliseconds updateInterval{250};
// With the usual report interval of 250 ms, well below the 3 s after which a home is given up.
constexpr seconds briefInterval{2};

} // namespace

ReplyKind ReplyPacer::takeTurn(const DaemonId &agent, std::size_t flows, TimePoint now)
{
    Agent &reporter = agents_[agent];
    reporter.heard = now;
    reporter.bytes = datagramBytes + entryBytes * static_cast<double>(flows);
    if (now - roundUpdated_ >= updateInterval) {
        roundUpdated_ = now;
        std::erase_if(agents_, [now](const auto &item) {
            return now - item.second.heard > reporterLifetime;
        });
        double bytes = 0;
        for (const auto &[name, other] : agents_)
            bytes += other.bytes;
        round_ = std::chrono::duration<double>(bytes / bytesPerSecond_);
    }
    const bool isFirst = reporter.answeredFull == TimePoint();
    if (isFirst || now - reporter.answeredFull >= round_) {
        reporter.answeredFull = now;
        reporter.answered = now;
        return ReplyKind::Full;
    }
    if (now - reporter.answered < briefInterval)
        return ReplyKind::None;
    reporter.answered = now;
    return ReplyKind::Brief;
}

} // namespace lovagecourse
