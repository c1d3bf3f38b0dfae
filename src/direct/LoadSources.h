#pragma once

#include "core/Clock.h"
#include "placing/PeerLoads.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Numbers the senders of load reports, so that per-server tables of their reports are vectors. The
/// number of a sender that has been silent for retention is given to a new one.
class LoadSources
{
public:
    static constexpr seconds retention{10};

    struct Numbered
    {
        LoadSource source = 0;
        /// The number was not this sender's before; earlier reports under it must be dropped.
        bool isNew = false;
    };

    /// Returns the sender's number. isMember: its load is part of this data centre's sum.
    Numbered onReport(const std::string &name, bool isMember, TimePoint now);
    /// For each number whether its sender is a member.
    const std::vector<bool> &members() const { return members_; }

private:
    struct Source
    {
        std::string name;
        TimePoint lastReport;
    };

    std::vector<Source> sources_;
    std::vector<bool> members_;
    std::unordered_map<std::string, LoadSource> numbers_;
};

} // namespace lovagecourse
