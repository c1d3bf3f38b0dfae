#include "gateway/PeerCloseWatcher.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cassert>

namespace lovagecourse {

namespace {

constexpr std::size_t maxEventsPerWakeUp = 64;

} // namespace

PeerCloseWatcher::PeerCloseWatcher(EventLoop &loop, Callback onPeerClosed)
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
    , onPeerClosed_(std::move(onPeerClosed))
    , watcher_(loop, epoll_, [this](int) { onReadable(); })
{
    assert(epoll_ >= 0);
    watcher_.watch(EV_READ);
}

PeerCloseWatcher::~PeerCloseWatcher()
{
    watcher_.watch(0);
    close(epoll_);
}

void PeerCloseWatcher::add(std::uint64_t key, int descriptor)
{
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = key;
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) == 0)
        descriptors_[key] = descriptor;
}

void PeerCloseWatcher::remove(std::uint64_t key)
{
    const auto found = descriptors_.find(key);
    if (found == descriptors_.end())
        return;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second, nullptr);
    descriptors_.erase(found);
}

void PeerCloseWatcher::onReadable()
{
    std::array<epoll_event, maxEventsPerWakeUp> events{};
    const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i)
        onPeerClosed_(events[static_cast<std::size_t>(i)].data.u64);
}

} // namespace lovagecourse
