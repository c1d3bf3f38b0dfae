#include "TcpMapping.h"

#include <sys/socket.h>
#include <unistd.h>

#include <iostream>

namespace lovagecourse {

namespace {

constexpr int listenBacklog = 1024;

} // namespace

TcpMapping::TcpMapping(EventLoop &loop, const sockaddr_in &listen, const sockaddr_in &target,
                       std::uint64_t seed)
    : loop_(loop)
    , listen_(listen)
    , target_(target)
    , random_(seed)
    , removeTimer_(loop, [this] { removeFinished(); })
{}

TcpMapping::~TcpMapping()
{
    stopListening();
}

bool TcpMapping::start()
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto *address = reinterpret_cast<const sockaddr *>(&listen_);
    if (bind(listener_, address, sizeof(listen_)) != 0 || listen(listener_, listenBacklog) != 0) {
        stopListening();
        return false;
    }
    watcher_ = std::make_unique<IoWatcher>(loop_, listener_, [this](int) { acceptConnections(); });
    watcher_->watch(EV_READ);
    return true;
}

void TcpMapping::stopListening()
{
    watcher_.reset();
    if (listener_ >= 0)
        close(listener_);
    listener_ = -1;
}

void TcpMapping::acceptConnections()
{
    while (true) {
        const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        const std::uint64_t id = nextRelay_++;
        const auto onFinished = [this, id] {
            finished_.push_back(id);
            // The relay calls this from its own callback, so it is destroyed later.
            removeTimer_.startOnce(std::chrono::nanoseconds(0));
        };
        relays_[id] =
                std::make_unique<TcpRelay>(loop_, client, target_, rules_, random_, onFinished);
    }
}

void TcpMapping::removeFinished()
{
    for (const std::uint64_t id : finished_)
        relays_.erase(id);
    finished_.clear();
}

void TcpMapping::apply(const FaultRules &rules)
{
    rules_ = rules;
    if (rules.cut) {
        stopListening();
        relays_.clear();
        return;
    }
    if (listener_ < 0 && !start())
        std::cerr << "proxy cannot bind a TCP address again after rule \"cut\"\n";
    for (const auto &[id, relay] : relays_)
        relay->onRulesChanged();
}

} // namespace lovagecourse
