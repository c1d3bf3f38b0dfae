#pragma once

#include "core/EventLoop.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace lovagecourse {

/// Reports sockets whose peer closed its side. libmicrohttpd does not look at suspended
/// connections, and libev does not report half-closed sockets, so this is an epoll set of its own.
class HangUpWatch
{
public:
    using Callback = std::function<void(std::uint64_t key)>;

    HangUpWatch(EventLoop &loop, Callback onHangUp);
    ~HangUpWatch();
    HangUpWatch(const HangUpWatch &) = delete;
    HangUpWatch &operator=(const HangUpWatch &) = delete;

    /// Reports this socket's hang-up once, under the key.
    void add(std::uint64_t key, int descriptor);
    /// Must come before the socket is closed.
    void remove(std::uint64_t key);

private:
    void onReadable();

    int epoll_;
    Callback onHangUp_;
    std::unordered_map<std::uint64_t, int> descriptors_;
    IoWatcher watcher_;
};

} // namespace lovagecourse
