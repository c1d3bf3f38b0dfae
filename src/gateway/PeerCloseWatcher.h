#pragma once

#include "core/EventLoop.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace lovagecourse {

/// Reports sockets whose peer closed its sending side. Uses its own epoll set, because
/// libmicrohttpd does not poll suspended connections and libev does not report half-closed sockets.
class PeerCloseWatcher
{
public:
    using Callback = std::function<void(std::uint64_t key)>;

    PeerCloseWatcher(EventLoop &loop, Callback onPeerClosed);
    ~PeerCloseWatcher();
    PeerCloseWatcher(const PeerCloseWatcher &) = delete;
    PeerCloseWatcher &operator=(const PeerCloseWatcher &) = delete;

    /// Watches a socket; the close by its peer is reported once, with the key.
    void add(std::uint64_t key, int descriptor);
    /// Must be called before the socket is closed.
    void remove(std::uint64_t key);

private:
    void onReadable();

    int epoll_;
    Callback onPeerClosed_;
    std::unordered_map<std::uint64_t, int> descriptors_;
    IoWatcher watcher_;
};

} // namespace lovagecourse
