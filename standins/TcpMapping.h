#pragma once

#include "ProxyMapping.h"
#include "TcpRelay.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lovagecourse {

/// TCP mapping of the proxy: relays each accepted connection to the target.
class TcpMapping final : public ProxyMapping
{
public:
    TcpMapping(EventLoop &loop, const sockaddr_in &listen, const sockaddr_in &target,
               std::uint64_t seed);
    ~TcpMapping() override;
    TcpMapping(const TcpMapping &) = delete;
    TcpMapping &operator=(const TcpMapping &) = delete;

    bool start() override;
    void apply(const FaultRules &rules) override;

private:
    void acceptConnections();
    void stopListening();
    void removeFinished();

    EventLoop &loop_;
    sockaddr_in listen_;
    sockaddr_in target_;
    std::mt19937_64 random_;
    FaultRules rules_;
    int listener_ = -1;
    std::unique_ptr<IoWatcher> watcher_;
    std::map<std::uint64_t, std::unique_ptr<TcpRelay>> relays_;
    std::uint64_t nextRelay_ = 0;
    std::vector<std::uint64_t> finished_;
    Timer removeTimer_;
};

} // namespace lovagecourse
