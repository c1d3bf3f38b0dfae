#include "placing/PeerLoads.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// More than is sent to one server between two reports; a larger difference means that the counter
// was reset.
constexpr std::uint32_t maxTokensBetweenReports = 1U << 24;

} // namespace

std::uint32_t PeerLoads::apply(LoadSource source, const ReportedServerLoad &reported, TimePoint now)
{
    if (source >= reports_.size())
        reports_.resize(source + 1);
    Report &last = reports_[source];
    const bool isSameCounter = last.isValid && last.reported.counter == reported.counter;
    const std::uint32_t sent = reported.sentTokens - last.reported.sentTokens;
    last = Report{now, reported, true};
    isSumValid_ = false;
    return isSameCounter && sent < maxTokensBetweenReports ? sent : 0;
}

void PeerLoads::forget(LoadSource source)
{
    if (source >= reports_.size())
        return;
    reports_[source] = Report{};
    isSumValid_ = false;
}

template <class IsIncluded>
PeerLoads::Sum PeerLoads::addUp(TimePoint now, IsIncluded isIncluded) const
{
    Sum sum;
    sum.expires = TimePoint::max();
    double weightedAgeSum = 0;
    for (LoadSource source = 0; source < reports_.size(); ++source) {
        const Report &report = reports_[source];
        if (!report.isValid || now - report.received > reportTimeout || !isIncluded(source))
            continue;
        const PeerLoad &load = report.reported.load;
        sum.load.backlogMs += load.backlogMs;
        weightedAgeSum += load.backlogMs * toMs(now - report.received);
        sum.load.overdueMs = std::max(sum.load.overdueMs, load.overdueMs);
        sum.load.running += load.running;
        sum.expires = std::min(sum.expires, report.received + reportTimeout);
    }
    const double meanAgeMs = sum.load.backlogMs > 0 ? weightedAgeSum / sum.load.backlogMs : 0;
    sum.receivedMean = now
                       - std::chrono::duration_cast<TimePoint::duration>(
                               std::chrono::duration<double, std::milli>(meanAgeMs));
    return sum;
}

PeerLoad PeerLoads::Sum::at(TimePoint now) const
{
    PeerLoad current = load;
    current.backlogMs = std::max(0., load.backlogMs - toMs(now - receivedMean));
    return current;
}

PeerLoad PeerLoads::sum(TimePoint now) const
{
    if (!isSumValid_ || now > sum_.expires) {
        sum_ = addUp(now, [](LoadSource) { return true; });
        isSumValid_ = true;
    }
    return sum_.at(now);
}

PeerLoad PeerLoads::sumOf(const std::vector<bool> &members, TimePoint now) const
{
    return addUp(now, [&](LoadSource source) { return source < members.size() && members[source]; })
            .at(now);
}

} // namespace lovagecourse
