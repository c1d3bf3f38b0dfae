#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "core/Metrics.h"
#include "wire/Codec.h"

#include <functional>
#include <memory>
#include <variant>

namespace lovagecourse {

/// What all links and datagram sockets of a daemon share.
struct WireContext
{
    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    const Authenticator &fleetKey;
    /// Sent first on every link.
    Hello hello;
};

/// The socket could not be set up or failed; error is an errno value.
struct SocketFailure
{
    int error = 0;
};

/// The other side closed the link.
struct LinkClosed
{};

/// Why a link ended.
using LinkFailure = std::variant<SocketFailure, LinkClosed, WireFault>;

/// Short text of a link failure for log lines.
std::string toString(const LinkFailure &failure);

/// Authenticated TCP connection between two daemons.
class Link
{
public:
    /// Callbacks of a link's owner. They may destroy the link.
    struct Handlers
    {
        /// The peer's Hello was authenticated; messages may be sent.
        std::function<void(const Hello &)> onReady;
        std::function<void(Message &&)> onMessage;
        std::function<void(const LinkFailure &)> onClosed;
    };

    /// Starts to connect; the outcome comes through the handlers.
    static std::unique_ptr<Link> connect(const WireContext &context, const Endpoint &endpoint,
                                         Handlers handlers);
    /// Takes over an accepted socket.
    static std::unique_ptr<Link> accept(const WireContext &context, int descriptor,
                                        Handlers handlers);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Queues a message; all queued in one turn of the loop leave as one frame.
    void send(Message message);
    bool isReady() const;
    /// Bytes that the socket has not taken yet.
    std::size_t unsentBytes() const;
    /// When bytes last arrived.
    TimePoint lastReceived() const;

private:
    struct Impl;
    explicit Link(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// Accepts links on one address, which no other process can share.
class LinkListener
{
public:
    using AcceptHandler = std::function<void(int descriptor)>;

    /// A listener, or why the address can't be used.
    static std::variant<std::unique_ptr<LinkListener>, SocketFailure>
    open(EventLoop &loop, const Endpoint &endpoint, AcceptHandler onAccept);
    ~LinkListener();
    LinkListener(const LinkListener &) = delete;
    LinkListener &operator=(const LinkListener &) = delete;

private:
    LinkListener(EventLoop &loop, int descriptor, AcceptHandler onAccept);

    int descriptor_;
    AcceptHandler onAccept_;
    IoWatcher watcher_;
};

} // namespace lovagecourse
