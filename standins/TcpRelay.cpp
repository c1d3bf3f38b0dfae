#include "TcpRelay.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace lovagecourse {

namespace {

// The bound passes the backpressure of a slow receiver on to the sender, as without a proxy.
constexpr std::size_t maxQueuedBytes = 1U << 20;
constexpr std::size_t readSize = 64U << 10;

/// Makes close() reset the connection, so that the peer sees an error instead of an orderly end.
void resetOnClose(int descriptor)
{
    const linger option{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

/// True if the last socket call would block or was interrupted.
bool isTransientError()
{
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

TcpRelay::TcpRelay(EventLoop &loop, int client, const sockaddr_in &target, const FaultRules &rules,
                   std::mt19937_64 &random, std::function<void()> onFinished)
    : rules_(rules)
    , random_(random)
    , onFinished_(std::move(onFinished))
    , sockets_{client, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)}
    , timer_(loop, [this] { update(); })
{
    const int on = 1;
    for (const int end : sockets_)
        setsockopt(end, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (std::size_t end = 0; end < sockets_.size(); ++end) {
        watchers_[end] = std::make_unique<IoWatcher>(
                loop, sockets_[end], [this, end](int events) { onReady(end, events); });
    }
    const auto *address = reinterpret_cast<const sockaddr *>(&target);
    const int result = connect(sockets_[1], address, sizeof(target));
    if (result != 0 && errno != EINPROGRESS) {
        finish();
        return;
    }
    connecting_ = result != 0;
    update();
}

TcpRelay::~TcpRelay()
{
    for (auto &watcher : watchers_)
        watcher.reset();
    const bool closedCleanly = pipes_[0].sentEof && pipes_[1].sentEof;
    for (const int end : sockets_) {
        if (!closedCleanly)
            resetOnClose(end);
        close(end);
    }
}

void TcpRelay::onRulesChanged()
{
    update();
}

void TcpRelay::onReady(std::size_t end, int events)
{
    if (finished_)
        return;
    if (end == 1 && connecting_ && !finishConnect())
        return;
    if ((events & EV_WRITE) != 0)
        pipes_[1 - end].writeBlocked = false;
    if ((events & EV_READ) != 0)
        readFrom(end);
    update();
}

bool TcpRelay::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(sockets_[1], SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        finish();
        return false;
    }
    connecting_ = false;
    return true;
}

void TcpRelay::readFrom(std::size_t direction)
{
    Pipe &pipe = pipes_[direction];
    std::string bytes(readSize, '\0');
    const ssize_t size = recv(sockets_[direction], bytes.data(), bytes.size(), 0);
    if (size < 0) {
        if (!isTransientError())
            finish();
        return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    bytes.shrink_to_fit();
    pipe.receivedEof = size == 0;
    enqueue(pipe, std::move(bytes));
}

void TcpRelay::enqueue(Pipe &pipe, std::string bytes)
{
    // Jitter must not reorder the byte stream, so no chunk is due before its predecessor.
    const TimePoint due = std::chrono::steady_clock::now() + drawDelay(rules_, random_);
    pipe.lastDue = std::max(pipe.lastDue, due);
    pipe.queuedBytes += bytes.size();
    pipe.chunks.push_back({pipe.lastDue, std::move(bytes)});
}

void TcpRelay::writeDue(std::size_t direction)
{
    Pipe &pipe = pipes_[direction];
    const TimePoint now = std::chrono::steady_clock::now();
    while (!finished_ && !pipe.writeBlocked && !pipe.chunks.empty()
           && pipe.chunks.front().due <= now) {
        if (!writeFront(direction))
            return;
    }
}

bool TcpRelay::writeFront(std::size_t direction)
{
    Pipe &pipe = pipes_[direction];
    std::string &bytes = pipe.chunks.front().bytes;
    const int target = sockets_[1 - direction];
    if (bytes.empty()) {
        shutdown(target, SHUT_WR);
        pipe.sentEof = true;
        pipe.chunks.pop_front();
        return true;
    }
    const ssize_t size = ::send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
        pipe.writeBlocked = isTransientError();
        if (!pipe.writeBlocked)
            finish();
        return false;
    }
    pipe.queuedBytes -= static_cast<std::size_t>(size);
    bytes.erase(0, static_cast<std::size_t>(size));
    if (bytes.empty())
        pipe.chunks.pop_front();
    else
        pipe.writeBlocked = true;
    return true;
}

void TcpRelay::update()
{
    if (finished_)
        return;
    if (!rules_.freeze && !connecting_) {
        writeDue(0);
        writeDue(1);
    }
    if (finished_)
        return;
    if (pipes_[0].sentEof && pipes_[1].sentEof) {
        finish();
        return;
    }
    for (std::size_t end = 0; end < sockets_.size(); ++end) {
        const Pipe &from = pipes_[end];
        const bool reads = !rules_.freeze && !from.receivedEof && from.queuedBytes < maxQueuedBytes;
        const bool connects = end == 1 && connecting_;
        const bool writes = connects || (!rules_.freeze && pipes_[1 - end].writeBlocked);
        watchers_[end]->watch((reads && !connects ? EV_READ : 0) | (writes ? EV_WRITE : 0));
    }
    scheduleNext();
}

void TcpRelay::scheduleNext()
{
    timer_.stop();
    if (rules_.freeze || connecting_)
        return;
    std::vector<TimePoint> dues;
    for (const Pipe &pipe : pipes_) {
        if (!pipe.chunks.empty() && !pipe.writeBlocked)
            dues.push_back(pipe.chunks.front().due);
    }
    if (dues.empty())
        return;
    const auto wait =
            *std::min_element(dues.begin(), dues.end()) - std::chrono::steady_clock::now();
    timer_.startOnce(std::max(wait, std::chrono::nanoseconds(0)));
}

void TcpRelay::finish()
{
    if (finished_)
        return;
    finished_ = true;
    timer_.stop();
    for (auto &watcher : watchers_)
        watcher->watch(0);
    onFinished_();
}

} // namespace lovagecourse
