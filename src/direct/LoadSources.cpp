#include "direct/LoadSources.h"

#include <algorithm>

namespace lovagecourse {

LoadSources::Numbered LoadSources::onReport(const std::string &name, bool isMember, TimePoint now)
{
    const auto known = numbers_.find(name);
    if (known != numbers_.end()) {
        sources_[known->second].lastReport = now;
        members_[known->second] = isMember;
        return Numbered{known->second, false};
    }
    const auto silent = std::find_if(sources_.begin(), sources_.end(), [now](const Source &source) {
        return now - source.lastReport > retention;
    });
    const auto number = static_cast<LoadSource>(silent - sources_.begin());
    if (silent == sources_.end()) {
        sources_.emplace_back();
        members_.push_back(false);
    } else {
        numbers_.erase(silent->name);
    }
    sources_[number] = Source{name, now};
    members_[number] = isMember;
    numbers_[name] = number;
    return Numbered{number, true};
}

} // namespace lovagecourse
