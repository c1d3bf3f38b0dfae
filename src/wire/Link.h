#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "core/MemoryAccount.h"
#include "core/Metrics.h"
#include "wire/Codec.h"

#include <functional>
#include <memory>
#include <variant>

namespace lovagecourse {

/// Context shared by all links and datagram sockets of a daemon.
struct WireContext
{
    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    const Authenticator &fleetKey;
    /// First message on every link.
    Hello hello;
    /// Counts the bytes that links keep; null means that they are not counted. Must outlive the
    /// links.
    MemoryAccount *memory = nullptr;
};

/// Error of a socket; an errno value.
struct SocketFailure
{
    int error = 0;
};

/// The peer closed the link or did not respond in time.
struct LinkClosed
{};

/// Reason why a link was closed.
using LinkFailure = std::variant<SocketFailure, LinkClosed, WireFault>;

/// Text of a link failure for log lines.
std::string toString(const LinkFailure &failure);

/// Authenticated, unencrypted TCP connection between two daemons. Each side sends a preamble
/// (magic, protocol version, nonce) and then frames, the first of which starts with Hello.
class Link
{
public:
    /// Callbacks of the link's owner. They may destroy the link.
    struct Handlers
    {
        /// The handshake is complete: the peer's Hello was received and authenticated.
        std::function<void(const Hello &)> onReady;
        std::function<void(Message &&)> onMessage;
        /// Called at most once; no other callback follows.
        std::function<void(const LinkFailure &)> onClosed;
    };

    /// Starts connecting; the result is reported to the handlers. Returns the error if there is no
    /// socket, for example because no descriptor is left; then no handler is called.
    static std::variant<std::unique_ptr<Link>, SocketFailure>
    connect(const WireContext &context, const Endpoint &endpoint, Handlers handlers);
    /// Takes ownership of an accepted socket.
    static std::unique_ptr<Link> accept(const WireContext &context, int descriptor,
                                        Handlers handlers);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Queues a message; those of one event loop iteration are sent in as few frames as their size
    /// allows. Ignored after the link was closed.
    void send(Message message);
    /// Returns whether the handshake is complete and the link is not closed.
    bool isReady() const;
    /// Encoded bytes that the socket has not accepted yet.
    std::size_t unsentBytes() const;
    /// Time at which bytes were last received; at first the creation time.
    TimePoint lastReceived() const;

private:
    struct Impl;
    explicit Link(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// Accepts TCP connections on one address, which it does not share with other processes.
class LinkListener
{
public:
    /// Takes ownership of the accepted socket.
    using AcceptHandler = std::function<void(int descriptor)>;

    /// Opens a listener on the endpoint, or returns the error.
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
