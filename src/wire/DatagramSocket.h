#pragma once

#include "wire/Link.h"
#include "wire/ReplayWindow.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace lovagecourse {

/// UDP socket for authenticated messages. Messages may be lost or reordered; invalid and replayed
/// datagrams are dropped and counted.
class DatagramSocket
{
public:
    using Handler = std::function<void(const DaemonId &sender, Message &&message)>;

    /// Opens a socket bound to the endpoint, or returns the error.
    static std::variant<std::unique_ptr<DatagramSocket>, SocketFailure>
    open(const WireContext &context, const Endpoint &endpoint, Handler onMessage);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends one message. If it is too large or the socket rejects it, it is dropped and counted.
    void send(const Endpoint &endpoint, Message message);
    /// Sends one message to several receivers; it is encoded and authenticated once.
    void sendToAll(const std::vector<Endpoint> &endpoints, Message message);

private:
    DatagramSocket(const WireContext &context, int descriptor, Handler onMessage);
    void readAvailable();
    void countFault(WireFault fault);

    WireContext context_;
    int descriptor_;
    Handler onMessage_;
    IoWatcher watcher_;
    ReplayWindow replayWindow_;
    std::uint64_t sequence_ = 0;
};

} // namespace lovagecourse
