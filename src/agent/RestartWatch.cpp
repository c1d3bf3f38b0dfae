#include "agent/RestartWatch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lovagecourse {

namespace {

// Servers may close connections without a request at once; more frequent attempts would be load. A
// connection that lasted for this time is replaced at once, so that a second crash is noticed, too.
constexpr milliseconds maxRetryDelay{500};
constexpr milliseconds minRetryDelay{10};
// A decision uses ends of the last seconds: a probe takes at most 1 s, or 2 s when it waits for one
// that is running.
constexpr std::size_t maxEnds = 16;
// The kernel's times of packets have the resolution of its timer interrupt, at most 10 ms. The end
// counts as that much later, so that a request that crashes its server at once ran before it.
constexpr milliseconds kernelResolution{10};

/// Returns how long ago the connection's end arrived: the last packet, which has an
/// acknowledgement.
milliseconds timeSinceLastPacket(int descriptor)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return milliseconds(0);
    return milliseconds(info.tcpi_last_ack_recv);
}

} // namespace

RestartWatch::RestartWatch(EventLoop &loop, const Clock &clock,
                           std::function<milliseconds()> connectDelay)
    : loop_(loop)
    , clock_(clock)
    , connectDelay_(std::move(connectDelay))
    , retryTimer_(loop, [this] { startAttempt(); })
{}

RestartWatch::~RestartWatch()
{
    disconnect();
}

void RestartWatch::watch(const Endpoint &address)
{
    if (address_ == address && descriptor_ >= 0)
        return;
    address_ = address;
    disconnect();
    startAttempt();
}

std::optional<TimePoint> RestartWatch::openSince() const
{
    if (!isConnected_)
        return std::nullopt;
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isOpen = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isOpen ? std::optional(establishedAt_) : std::nullopt;
}

std::optional<TimePoint> RestartWatch::startedAt() const
{
    return descriptor_ >= 0 ? std::optional(startedAt_) : std::nullopt;
}

void RestartWatch::startAttempt()
{
    const milliseconds delay = connectDelay_();
    if (delay > milliseconds(0))
        return retryTimer_.startOnce(delay);
    connect();
}

void RestartWatch::connect()
{
    retryTimer_.startOnce(maxRetryDelay);
    startedAt_ = clock_.now();
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0)
        return;
    const sockaddr_in target = toSocketAddress(*address_);
    const int result =
            ::connect(descriptor_, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno != EINPROGRESS)
        return disconnect();
    retryTimer_.stop();
    watcher_ = std::make_unique<IoWatcher>(loop_, descriptor_,
                                           [this](int events) { onEvents(events); });
    watcher_->watch(EV_WRITE);
}

void RestartWatch::disconnect()
{
    isConnected_ = false;
    watcher_.reset();
    if (descriptor_ >= 0)
        close(descriptor_);
    descriptor_ = -1;
}

void RestartWatch::onEvents(int events)
{
    if (!isConnected_ && (events & EV_WRITE)) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            disconnect();
            return retryLater();
        }
        isConnected_ = true;
        establishedAt_ = clock_.now();
        return watcher_->watch(EV_READ);
    }
    // Nothing was requested, so bytes before the end have no meaning.
    std::array<char, 1024> ignored{};
    const ssize_t count = recv(descriptor_, ignored.data(), ignored.size(), 0);
    if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR)))
        return;
    const TimePoint noticedAt = clock_.now();
    // A reset has no acknowledgement, so its time is not known.
    const auto age = count == 0 ? timeSinceLastPacket(descriptor_) : milliseconds(0);
    const TimePoint endedAt =
            std::clamp(noticedAt - age + kernelResolution, establishedAt_, noticedAt);
    if (ends_.size() == maxEnds)
        ends_.erase(ends_.begin());
    ends_.push_back(IdleEnd{establishedAt_, endedAt, noticedAt});
    disconnect();
    if (endedAt - establishedAt_ >= maxRetryDelay)
        retryDelay_ = milliseconds(0);
    retryLater();
}

void RestartWatch::retryLater()
{
    retryTimer_.startOnce(retryDelay_);
    retryDelay_ = std::clamp(2 * retryDelay_, minRetryDelay, maxRetryDelay);
}

} // namespace lovagecourse
