#pragma once

#include "core/Clock.h"
#include "placing/ServerModel.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagecourse {

/// Index of a sender of load reports, from LoadSources.
using LoadSource = std::size_t;

/// Load at one server in a report of a router or of a data centre.
struct ReportedServerLoad
{
    PeerLoad load;
    /// Uncached prompt tokens that the sender sent there, modulo 2^32.
    std::uint32_t sentTokens = 0;
    /// Identifies the counter of sentTokens; another value means that it started anew.
    std::uint32_t counter = 0;
};

/// The load at one server in the recent reports of all senders, and its sum. The sum is kept
/// between reports, because each placement needs the sums of all servers.
class PeerLoads
{
public:
    /// Older reports are ignored: they no longer describe the current load.
    static constexpr milliseconds reportTimeout{1000};

    /// Replaces the sender's last report. Returns the tokens that it sent since then.
    std::uint32_t apply(LoadSource source, const ReportedServerLoad &reported, TimePoint now);
    /// Drops the sender's reports.
    void forget(LoadSource source);
    /// Sum over all senders. Servers prefill one prompt after the other, so each backlog has fallen
    /// by the age of its report.
    PeerLoad sum(TimePoint now) const;
    /// Sum over the senders whose element in members is true.
    PeerLoad sumOf(const std::vector<bool> &members, TimePoint now) const;

private:
    struct Report
    {
        TimePoint received;
        ReportedServerLoad reported;
        bool isValid = false;
    };

    /// Sum of reports, from which the load at a later time follows.
    struct Sum
    {
        PeerLoad load;
        /// Mean time of receipt, weighted by backlog.
        TimePoint receivedMean;
        /// When the first of the reports expires.
        TimePoint expires;

        PeerLoad at(TimePoint now) const;
    };

    template <class IsIncluded>
    Sum addUp(TimePoint now, IsIncluded isIncluded) const;

    std::vector<Report> reports_;
    mutable Sum sum_;
    mutable bool isSumValid_ = false;
};

} // namespace lovagecourse
