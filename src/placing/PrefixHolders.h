#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// For each first part of a prompt, the servers that it was sent to. A placement looks a prompt up
/// here once, instead of in the cache model of each server.
template <class Server>
class PrefixHolders
{
public:
    void add(std::uint64_t prefix, Server *server)
    {
        std::vector<Server *> &holders = holders_[prefix];
        if (std::find(holders.begin(), holders.end(), server) == holders.end())
            holders.push_back(server);
    }

    /// Returns the servers that may hold the prefix.
    const std::vector<Server *> &of(std::uint64_t prefix) const
    {
        const auto found = holders_.find(prefix);
        return found == holders_.end() ? none_ : found->second;
    }

    /// Removes a server that was removed from the fleet.
    void remove(const Server *server)
    {
        for (auto &[prefix, holders] : holders_)
            std::erase(holders, server);
    }

    /// Removes the servers for which holds(server, prefix) is false, when the number of prefixes
    /// has doubled since the last removal.
    template <class Holds>
    void removeExpired(Holds holds)
    {
        if (holders_.size() < nextSweepSize_)
            return;
        for (auto &[prefix, holders] : holders_) {
            const std::uint64_t hash = prefix;
            std::erase_if(holders, [&](const Server *server) { return !holds(*server, hash); });
        }
        std::erase_if(holders_, [](const auto &entry) { return entry.second.empty(); });
        nextSweepSize_ = std::max(minSweepSize, 2 * holders_.size());
    }

    std::size_t size() const { return holders_.size(); }

private:
    static constexpr std::size_t minSweepSize = 4096;

    std::unordered_map<std::uint64_t, std::vector<Server *>> holders_;
    std::vector<Server *> none_;
    std::size_t nextSweepSize_ = minSweepSize;
};

} // namespace lovagecourse
