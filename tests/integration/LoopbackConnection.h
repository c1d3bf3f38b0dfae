#pragma once

#include "wire/Endpoint.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace lovagecourse::test {

/// Blocking TCP connection on a loopback address, for tests that send or read bytes themselves.
class LoopbackConnection
{
public:
    /// Connects, from another loopback address than the system's choice if one is given; isOpen()
    /// is false if that fails.
    explicit LoopbackConnection(const std::string &endpoint, const std::string &source = {});
    explicit LoopbackConnection(int descriptor);
    ~LoopbackConnection();
    LoopbackConnection(LoopbackConnection &&other) noexcept;
    LoopbackConnection &operator=(LoopbackConnection &&) = delete;

    bool isOpen() const { return descriptor_ >= 0; }
    /// Returns false if the peer has closed the connection or takes no bytes for a second.
    bool send(std::string_view bytes);
    /// Appends received bytes, at most the count; returns false at the end of the connection or
    /// after the time.
    bool receive(std::string &bytes, std::size_t count, std::chrono::milliseconds limit);

private:
    int descriptor_;
};

/// Server on a free loopback address that calls a function, in a thread of its own, for each
/// connection. Threads end with their connection; the destructor waits for them.
class LoopbackServer
{
public:
    using Handler = std::function<void(LoopbackConnection &connection)>;

    explicit LoopbackServer(Handler handler);
    ~LoopbackServer();
    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer &operator=(const LoopbackServer &) = delete;

    std::string endpoint() const { return endpoint_; }
    bool isStopping() const;

private:
    struct Shared;

    std::string endpoint_;
    std::shared_ptr<Shared> shared_;
    std::thread acceptor_;
};

/// Head of an HTTP message, up to and including the blank line, and the body bytes after it.
struct RawMessage
{
    std::string head;
    std::string body;

    /// Value of a header; the name in lower case. Empty if it is missing.
    std::string header(const std::string &name) const;
    int status() const;
};

/// Reads a message with a length; returns false if it does not arrive whole.
bool readMessage(LoopbackConnection &connection, RawMessage &message,
                 std::chrono::milliseconds limit);
/// Reads only the head, and the body bytes that come with it.
bool readHead(LoopbackConnection &connection, RawMessage &message, std::chrono::milliseconds limit);

} // namespace lovagecourse::test
