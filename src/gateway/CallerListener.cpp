#include "core/Log.h"
#include "gateway/DescriptorReserve.h"
#include "gateway/GatewayImpl.h"
#include "gateway/ReceivedBytes.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace lovagecourse {

namespace {

constexpr int listenBacklog = 4096;
// Limit on unsent bytes in the kernel per connection (TCP_NOTSENT_LOWAT). Without it, the send
// buffer grows to megabytes and hides a slow caller from flow control.
constexpr int unsentLowWaterBytes = 128 << 10;
// Limit per iteration of the event loop. If fewer connections are accepted than arrive, the backlog
// grows until every caller in it times out before its connection is accepted.
constexpr int maxAcceptsPerWakeUp = 2048;
// When more connections are rejected in one iteration, the kernel refuses further ones for
// listenPause.
constexpr std::size_t maxRejectionsAtOnce = 16;
constexpr milliseconds listenPause{50};
// Closed when there is no descriptor for a new connection.
constexpr std::size_t idleConnectionsPerFailure = 16;
// Reason for closing a connection of which the process has no time to handle the request.
constexpr const char *lateReason = "late";

} // namespace

bool hasPeerClosed(int descriptor)
{
    pollfd state{descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::variant<int, SocketFailure> openListenSocket(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return SocketFailure{errno};
    // Allows an immediate restart; a second listener on the same address still fails.
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Accepted sockets inherit both options.
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsentLowWaterBytes,
               sizeof(unsentLowWaterBytes));
    const sockaddr_in address = toSocketAddress(endpoint);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, listenBacklog) != 0) {
        const int error = errno;
        close(descriptor);
        return SocketFailure{error};
    }
    return descriptor;
}

void HttpGateway::Impl::watchListener(int listenSocket)
{
    listener = listenSocket;
    acceptWatcher =
            std::make_unique<IoWatcher>(loop, listener, [this](int) { acceptConnections(); });
    acceptWatcher->watch(EV_READ);
}

/// Lets the kernel refuse new connections for a short time. Under heavy overload, accepting and
/// closing them would take most of the processor time.
void HttpGateway::Impl::pauseListening()
{
    metrics.count("lovagecourse_listening_paused_total");
    stopListening();
    listenTimer.startOnce(listenPause);
}

void HttpGateway::Impl::resumeListening()
{
    if (listener >= 0)
        return acceptWatcher->watch(EV_READ);
    const auto socket = openListenSocket(endpoint);
    if (const auto *failure = std::get_if<SocketFailure>(&socket)) {
        logError(LogPart::Gateway, "event=listening-failed address=", toString(endpoint),
                 " error=", std::strerror(failure->error));
        listenTimer.startOnce(listenPause);
        return;
    }
    watchListener(std::get<int>(socket));
}

void HttpGateway::Impl::stopListening()
{
    listenTimer.stop();
    acceptWatcher.reset();
    if (listener >= 0)
        close(listener);
    listener = -1;
}

void HttpGateway::Impl::onConnection(void *self, MHD_Connection *connection, void **,
                                     MHD_ConnectionNotificationCode code)
{
    auto &impl = *static_cast<Impl *>(self);
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        impl.quietConnections.addUnused(connection, std::chrono::steady_clock::now());
        if (info)
            impl.streams.insert_or_assign(info->connect_fd, RequestStream());
        return;
    }
    impl.quietConnections.remove(connection);
    if (info)
        impl.streams.erase(info->connect_fd);
}

/// Closes connections on which no request is being served, see QuietConnections. Most clients of
/// idle ones open a new connection for the next request.
void HttpGateway::Impl::closeQuietConnections(std::size_t count)
{
    std::size_t unused = 0;
    std::size_t idle = 0;
    const TimePoint now = std::chrono::steady_clock::now();
    quietConnections.visit([&](const QuietConnection &quiet) {
        if (unused + idle >= count)
            return false;
        const MHD_ConnectionInfo *info =
                MHD_get_connection_info(quiet.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (quiet.isUnused
            && !mayCloseUnused(now - quiet.since, hasReceivedBytes(info->connect_fd)))
            return true;
        pollfd state{info->connect_fd, POLLIN, 0};
        // A further request may have arrived.
        if (poll(&state, 1, 0) != 0)
            return true;
        quietConnections.remove(quiet.connection);
        // libmicrohttpd then closes the connection.
        shutdown(info->connect_fd, SHUT_RDWR);
        ++(quiet.isUnused ? unused : idle);
        return true;
    });
    if (unused + idle == 0)
        return;
    metrics.count("lovagecourse_unused_connections_closed_total", {}, static_cast<double>(unused));
    metrics.count("lovagecourse_idle_connections_closed_total", {}, static_cast<double>(idle));
    logInfo(LogPart::Gateway, "event=idle-connections-closed count=", idle, " unused=", unused,
            " connections=", connectionCount());
    scheduleRun();
}

/// Returns the reason for closing a new connection unread, or null to accept it.
const char *HttpGateway::Impl::dropReason(int descriptor, std::size_t acceptedAtOnce) const
{
    if ((acceptAllowance && *acceptAllowance == 0) || acceptedAtOnce >= maxAcceptsAtOnce)
        return lateReason;
    if (connectionCount() >= limits.maxConnections)
        return "full";
    return limits.dropHalfClosed && hasPeerClosed(descriptor) ? "left" : nullptr;
}

/// Accepts waiting connections, up to maxAcceptsPerWakeUp. libmicrohttpd itself accepts at most ten
/// per run, so that under load caller after caller in the backlog would time out before its turn.
void HttpGateway::Impl::acceptConnections()
{
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    for (int calls = 0; calls < maxAcceptsPerWakeUp; ++calls) {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        const int descriptor = accept4(listener, reinterpret_cast<sockaddr *>(&address), &size,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK)
                break;
            metrics.count("lovagecourse_accept_failures_total");
            if (errno == ECONNABORTED || errno == EINTR)
                continue;
            // Without descriptors, the listener stays readable and would keep the loop busy.
            closeQuietConnections(idleConnectionsPerFailure);
            logWarning(LogPart::Gateway, "event=accept-failed error=", std::strerror(errno),
                       " connections=", connectionCount());
            acceptWatcher->watch(0);
            listenTimer.startOnce(listenPause);
            break;
        }
        if (const char *reason = dropReason(descriptor, accepted)) {
            metrics.count("lovagecourse_connections_dropped_total", reason);
            close(descriptor);
            if (reason != lateReason)
                continue;
            ++rejectedConnections;
            if (++rejected < maxRejectionsAtOnce)
                continue;
            pauseListening();
            break;
        }
        ++accepted;
        if (acceptAllowance)
            --*acceptAllowance;
        metrics.count("lovagecourse_connections_accepted_total");
        // MHD_add_connection() takes ownership of the descriptor, even if it fails.
        if (MHD_add_connection(libraries.back().daemon, descriptor,
                               reinterpret_cast<const sockaddr *>(&address), size)
            != MHD_YES)
            metrics.count("lovagecourse_connections_dropped_total", "library");
    }
    closeQuietConnections(idleConnectionsToClose(connectionCount(), limits.maxConnections));
    scheduleRun();
}

} // namespace lovagecourse
