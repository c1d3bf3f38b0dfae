#include "UdpMapping.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <vector>

namespace lovagecourse {

namespace {

constexpr std::size_t maxDatagramBytes = 64U << 10;
constexpr std::chrono::milliseconds expiryCheckInterval{100};
// A reordered datagram is sent after this time even if no later one overtakes it.
constexpr std::chrono::seconds maxReorderDelay{1};
constexpr std::chrono::seconds sessionIdleTimeout{60};

int openSocket()
{
    return socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

UdpMapping::UdpMapping(EventLoop &loop, const sockaddr_in &listen, const sockaddr_in &target,
                       std::uint64_t seed)
    : loop_(loop)
    , listen_(listen)
    , target_(target)
    , random_(seed)
    , sendTimer_(loop, [this] { sendDue(); })
    , expiryTimer_(loop, [this] { releaseExpired(); })
{}

UdpMapping::~UdpMapping()
{
    watcher_.reset();
    for (auto &[id, session] : sessions_) {
        session.watcher.reset();
        close(session.upstream);
    }
    if (socket_ >= 0)
        close(socket_);
}

bool UdpMapping::start()
{
    socket_ = openSocket();
    if (bind(socket_, reinterpret_cast<const sockaddr *>(&listen_), sizeof(listen_)) != 0)
        return false;
    watcher_ = std::make_unique<IoWatcher>(loop_, socket_, [this](int) { onSenderReady(); });
    watcher_->watch(EV_READ);
    expiryTimer_.startRepeating(expiryCheckInterval);
    return true;
}

void UdpMapping::apply(const FaultRules &rules)
{
    rules_ = rules;
    if (rules.cut) {
        datagrams_.clear();
        for (auto &[id, session] : sessions_)
            session.reordered = {};
    }
    watchAll();
    scheduleNext();
}

void UdpMapping::watchAll()
{
    const int events = rules_.freeze ? 0 : EV_READ;
    watcher_->watch(events);
    for (auto &[id, session] : sessions_)
        session.watcher->watch(events);
}

void UdpMapping::onSenderReady()
{
    std::string buffer(maxDatagramBytes, '\0');
    while (true) {
        sockaddr_in sender{};
        socklen_t size = sizeof(sender);
        const ssize_t count = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                       reinterpret_cast<sockaddr *>(&sender), &size);
        if (count < 0)
            return;
        const auto length = static_cast<std::size_t>(count);
        receive(findOrCreateSession(sender), Direction::ToTarget, buffer.substr(0, length));
    }
}

void UdpMapping::onTargetReady(std::uint64_t id)
{
    std::string buffer(maxDatagramBytes, '\0');
    const int upstream = sessions_.at(id).upstream;
    while (true) {
        const ssize_t count = recv(upstream, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        receive(id, Direction::ToSender, buffer.substr(0, static_cast<std::size_t>(count)));
    }
}

std::uint64_t UdpMapping::findOrCreateSession(const sockaddr_in &sender)
{
    const auto key = std::make_pair(sender.sin_addr.s_addr, sender.sin_port);
    const auto found = sessionIds_.find(key);
    if (found != sessionIds_.end())
        return found->second;
    const std::uint64_t id = nextSession_++;
    sessionIds_[key] = id;
    Session &session = sessions_[id];
    session.sender = sender;
    session.upstream = openSocket();
    const auto *target = reinterpret_cast<const sockaddr *>(&target_);
    if (connect(session.upstream, target, sizeof(target_)) != 0)
        std::cerr << "proxy cannot connect a socket to its UDP target\n";
    session.watcher = std::make_unique<IoWatcher>(loop_, session.upstream,
                                                  [this, id](int) { onTargetReady(id); });
    session.watcher->watch(EV_READ);
    return id;
}

void UdpMapping::receive(std::uint64_t id, Direction direction, std::string bytes)
{
    const TimePoint now = std::chrono::steady_clock::now();
    Session &session = sessions_.at(id);
    session.lastUsed = now;
    if (rules_.cut || drawBernoulli(rules_.drop, random_))
        return;
    auto &reordered = session.reordered[static_cast<std::size_t>(direction)];
    if (!reordered && drawBernoulli(rules_.reorder, random_)) {
        reordered = ReorderedDatagram{now, std::move(bytes)};
        return;
    }
    const TimePoint due = now + drawDelay(rules_, random_);
    if (drawBernoulli(rules_.duplicate, random_))
        schedule(now + drawDelay(rules_, random_), {id, direction, bytes});
    schedule(due, {id, direction, std::move(bytes)});
    // The multimap keeps the order of equal due times, so the reordered datagram is sent after the
    // one that overtakes it.
    if (reordered)
        schedule(due, {id, direction, std::move(reordered->bytes)});
    reordered.reset();
    sendDue();
}

void UdpMapping::schedule(TimePoint due, Datagram datagram)
{
    datagrams_.emplace(due, std::move(datagram));
}

void UdpMapping::sendDue()
{
    const TimePoint now = std::chrono::steady_clock::now();
    while (!rules_.freeze && !datagrams_.empty() && datagrams_.begin()->first <= now) {
        const auto first = datagrams_.extract(datagrams_.begin());
        sendNow(first.mapped());
    }
    scheduleNext();
}

void UdpMapping::sendNow(const Datagram &datagram)
{
    const auto found = sessions_.find(datagram.session);
    if (found == sessions_.end())
        return;
    const Session &session = found->second;
    const std::string &bytes = datagram.bytes;
    if (datagram.direction == Direction::ToTarget) {
        ::send(session.upstream, bytes.data(), bytes.size(), 0);
        return;
    }
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr *>(&session.sender), sizeof(session.sender));
}

void UdpMapping::scheduleNext()
{
    sendTimer_.stop();
    if (rules_.freeze || datagrams_.empty())
        return;
    const auto wait = datagrams_.begin()->first - std::chrono::steady_clock::now();
    sendTimer_.startOnce(std::max(std::chrono::nanoseconds(wait), std::chrono::nanoseconds(0)));
}

void UdpMapping::releaseExpired()
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> idle;
    for (auto &[id, session] : sessions_) {
        for (const Direction direction : {Direction::ToTarget, Direction::ToSender}) {
            auto &reordered = session.reordered[static_cast<std::size_t>(direction)];
            if (!reordered || now - reordered->since < maxReorderDelay)
                continue;
            schedule(now, {id, direction, std::move(reordered->bytes)});
            reordered.reset();
        }
        if (now - session.lastUsed > sessionIdleTimeout)
            idle.push_back(id);
    }
    for (const std::uint64_t id : idle) {
        Session &session = sessions_.at(id);
        session.watcher.reset();
        close(session.upstream);
        sessionIds_.erase({session.sender.sin_addr.s_addr, session.sender.sin_port});
        sessions_.erase(id);
    }
    sendDue();
}

} // namespace lovagecourse
