#pragma once

#include "wire/Link.h"
#include "wire/ReplayWindow.h"

#include <functional>
#include <memory>
#include <variant>

namespace lovagecourse {

/// UDP socket for authenticated messages; loss is the caller's to live with.
class DatagramSocket
{
public:
    using Handler = std::function<void(const DaemonId &sender, Message &&message)>;

    /// A socket, or why the address can't be used.
    static std::variant<std::unique_ptr<DatagramSocket>, SocketFailure>
    open(const WireContext &context, const Endpoint &endpoint, Handler onMessage);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends one message; it is dropped and counted when it is too large or the socket is full.
    void send(const Endpoint &endpoint, Message message);

private:
    DatagramSocket(const WireContext &context, int descriptor, Handler onMessage);
    void readAvailable();
    void drop(WireFault fault);

    WireContext context_;
    int descriptor_;
    Handler onMessage_;
    IoWatcher watcher_;
    ReplayWindow replayWindow_;
    std::uint64_t sequence_ = 0;
};

} // namespace lovagecourse
