#pragma once

#include "ProxyMap.h"
#include "core/EventLoop.h"

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lovagecourse {

/// Proxied UDP address; each sender gets its own socket towards the target, for the way back.
class UdpMap final : public ProxyMap
{
public:
    UdpMap(EventLoop &loop, const sockaddr_in &listen, const sockaddr_in &target,
           std::uint64_t seed);
    ~UdpMap() override;
    UdpMap(const UdpMap &) = delete;
    UdpMap &operator=(const UdpMap &) = delete;

    bool start() override;
    void apply(const FaultRules &rules) override;

private:
    enum class Direction { ToTarget, ToSender };

    /// Datagram that waits until a later one has overtaken it.
    struct HeldDatagram
    {
        TimePoint since;
        std::string bytes;
    };

    /// One sender.
    struct Session
    {
        sockaddr_in sender{};
        int upstream = -1;
        std::unique_ptr<IoWatcher> watcher;
        std::array<std::optional<HeldDatagram>, 2> held;
        TimePoint lastUsed;
    };

    /// Datagram on its way.
    struct Datagram
    {
        std::uint64_t session;
        Direction direction;
        std::string bytes;
    };

    void onSenderReady();
    void onTargetReady(std::uint64_t id);
    std::uint64_t sessionOf(const sockaddr_in &sender);
    void receive(std::uint64_t id, Direction direction, std::string bytes);
    void schedule(TimePoint due, Datagram datagram);
    void sendDue();
    void sendNow(const Datagram &datagram);
    void scheduleNext();
    void sweep();
    void watchAll();

    EventLoop &loop_;
    sockaddr_in listen_;
    sockaddr_in target_;
    std::mt19937_64 random_;
    FaultRules rules_;
    int socket_ = -1;
    std::unique_ptr<IoWatcher> watcher_;
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::uint64_t> sessionIds_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t nextSession_ = 0;
    std::multimap<TimePoint, Datagram> datagrams_;
    Timer sendTimer_;
    Timer sweepTimer_;
};

} // namespace lovagecourse
