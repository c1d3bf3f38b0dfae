#pragma once

#include "ProxyMapping.h"
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

/// UDP mapping of the proxy. Each sender has a session with its own socket towards the target, so
/// that replies are returned to that sender.
class UdpMapping final : public ProxyMapping
{
public:
    UdpMapping(EventLoop &loop, const sockaddr_in &listen, const sockaddr_in &target,
               std::uint64_t seed);
    ~UdpMapping() override;
    UdpMapping(const UdpMapping &) = delete;
    UdpMapping &operator=(const UdpMapping &) = delete;

    bool start() override;
    void apply(const FaultRules &rules) override;

private:
    enum class Direction { ToTarget, ToSender };

    /// Datagram that is held until the next one of its direction has overtaken it.
    struct ReorderedDatagram
    {
        TimePoint since;
        std::string bytes;
    };

    /// State of one sender, closed after an idle timeout.
    struct Session
    {
        sockaddr_in sender{};
        int upstream = -1;
        std::unique_ptr<IoWatcher> watcher;
        /// By direction.
        std::array<std::optional<ReorderedDatagram>, 2> reordered;
        TimePoint lastUsed;
    };

    /// Datagram that is scheduled to be sent.
    struct Datagram
    {
        std::uint64_t session;
        Direction direction;
        std::string bytes;
    };

    void onSenderReady();
    void onTargetReady(std::uint64_t id);
    std::uint64_t findOrCreateSession(const sockaddr_in &sender);
    void receive(std::uint64_t id, Direction direction, std::string bytes);
    void schedule(TimePoint due, Datagram datagram);
    void sendDue();
    void sendNow(const Datagram &datagram);
    void scheduleNext();
    /// Schedules datagrams that nothing has overtaken in time and closes idle sessions.
    void releaseExpired();
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
    /// Scheduled datagrams by due time.
    std::multimap<TimePoint, Datagram> datagrams_;
    Timer sendTimer_;
    Timer expiryTimer_;
};

} // namespace lovagecourse
