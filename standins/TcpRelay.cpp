#include "TcpRelay.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace lovagecourse {

namespace {

// A slow receiver must be felt by the sender, as without a proxy.
constexpr std::size_t maxQueuedBytes = 1U << 20;
constexpr std::size_t readSize = 64U << 10;

/// Makes the close of a descriptor reset its connection, so that the peer sees the failure.
void resetOnClose(int descriptor)
{
    const linger option{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

TcpRelay::TcpRelay(EventLoop &loop, int client, const sockaddr_in &target, const FaultRules &rules,
                   std::mt19937_64 &random, std::function<void()> onFinished)
    : rules_(rules)
    , random_(random)
    , onFinished_(std::move(onFinished))
    , ends_{client, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)}
    , timer_(loop, [this] { update(); })
{
    const int on = 1;
    for (const int end : ends_)
        setsockopt(end, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (std::size_t end = 0; end < ends_.size(); ++end) {
        watchers_[end] = std::make_unique<IoWatcher>(
                loop, ends_[end], [this, end](int events) { onReady(end, events); });
    }
    const auto *address = reinterpret_cast<const sockaddr *>(&target);
    const int result = connect(ends_[1], address, sizeof(target));
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
    const bool isWhole = pipes_[0].writeEnd && pipes_[1].writeEnd;
    for (const int end : ends_) {
        if (!isWhole)
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
        pipes_[1 - end].blocked = false;
    if ((events & EV_READ) != 0)
        readFrom(end);
    update();
}

bool TcpRelay::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(ends_[1], SOL_SOCKET, SO_ERROR, &error, &size);
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
    const ssize_t size = recv(ends_[direction], bytes.data(), bytes.size(), 0);
    if (size < 0) {
        if (!wouldBlock())
            finish();
        return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    bytes.shrink_to_fit();
    pipe.readEnd = size == 0;
    enqueue(pipe, std::move(bytes));
}

void TcpRelay::enqueue(Pipe &pipe, std::string bytes)
{
    // Jitter must not reorder a byte stream, so no chunk is due before the one ahead of it.
    const TimePoint due = std::chrono::steady_clock::now() + drawDelay(rules_, random_);
    pipe.lastDue = std::max(pipe.lastDue, due);
    pipe.queuedBytes += bytes.size();
    pipe.chunks.push_back({pipe.lastDue, std::move(bytes)});
}

void TcpRelay::writeDue(std::size_t direction)
{
    Pipe &pipe = pipes_[direction];
    const TimePoint now = std::chrono::steady_clock::now();
    while (!finished_ && !pipe.blocked && !pipe.chunks.empty() && pipe.chunks.front().due <= now) {
        if (!writeFront(direction))
            return;
    }
}

bool TcpRelay::writeFront(std::size_t direction)
{
    Pipe &pipe = pipes_[direction];
    std::string &bytes = pipe.chunks.front().bytes;
    const int target = ends_[1 - direction];
    if (bytes.empty()) {
        shutdown(target, SHUT_WR);
        pipe.writeEnd = true;
        pipe.chunks.pop_front();
        return true;
    }
    const ssize_t size = ::send(target, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
        pipe.blocked = wouldBlock();
        if (!pipe.blocked)
            finish();
        return false;
    }
    pipe.queuedBytes -= static_cast<std::size_t>(size);
    bytes.erase(0, static_cast<std::size_t>(size));
    if (bytes.empty())
        pipe.chunks.pop_front();
    else
        pipe.blocked = true;
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
    if (pipes_[0].writeEnd && pipes_[1].writeEnd) {
        finish();
        return;
    }
    for (std::size_t end = 0; end < ends_.size(); ++end) {
        const Pipe &from = pipes_[end];
        const bool reads = !rules_.freeze && !from.readEnd && from.queuedBytes < maxQueuedBytes;
        const bool connects = end == 1 && connecting_;
        const bool writes = connects || (!rules_.freeze && pipes_[1 - end].blocked);
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
        if (!pipe.chunks.empty() && !pipe.blocked)
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
