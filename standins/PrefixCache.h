#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lovagecourse {

/// Bounded set of prompt prefixes with LRU eviction.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity)
        : capacity_(capacity)
    {}

    /// Looks up the prefix of a prompt's first message and marks it as most recently used; inserts
    /// it if it is absent. Returns true for a hit.
    bool touch(std::string_view firstMessage)
    {
        const std::string prefix(firstMessage.substr(0, prefixBytes));
        const auto found = entries_.find(prefix);
        if (found != entries_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            return true;
        }
        order_.push_front(prefix);
        entries_[prefix] = order_.begin();
        if (entries_.size() > capacity_) {
            entries_.erase(order_.back());
            order_.pop_back();
        }
        return false;
    }

    void clear()
    {
        entries_.clear();
        order_.clear();
    }

private:
    static constexpr std::size_t prefixBytes = 256;

    std::size_t capacity_;
    std::list<std::string> order_;
    std::unordered_map<std::string, std::list<std::string>::iterator> entries_;
};

} // namespace lovagecourse
