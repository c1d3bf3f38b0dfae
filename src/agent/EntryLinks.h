#pragma once

#include "daemon/Daemon.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace lovagecourse {

/// Accepts links from entries to this agent and sends messages over them.
class EntryLinks
{
public:
    struct Handlers
    {
        /// The entry was authenticated; messages may be sent.
        std::function<void(std::uint64_t link, const Hello &)> onUp;
        /// A link closed that was up before.
        std::function<void(std::uint64_t link, const Hello &)> onDown;
        std::function<void(std::uint64_t link, Message &&)> onMessage;
    };

    EntryLinks(Daemon &daemon, Handlers handlers);

    /// Listens for links. Fails when another process uses the address, such as a second agent of
    /// the host.
    std::optional<SocketFailure> listen();
    /// True when the entry has a link that is up.
    bool hasLinkOf(const DaemonId &entry) const;
    /// Sends a message over a link; drops it when the link is closed.
    void send(std::uint64_t link, Message message);
    /// Sends a message over all links that are up.
    void sendToAll(const Message &message);
    /// Bytes queued on all links that have not been written to the sockets yet.
    std::size_t unsentBytes() const;

private:
    struct EntryLink
    {
        std::unique_ptr<Link> link;
        Hello hello;
    };

    void accept(int descriptor);
    void onClosed(std::uint64_t link, const LinkFailure &failure);

    Daemon &daemon_;
    Handlers handlers_;
    std::unique_ptr<LinkListener> listener_;
    std::map<std::uint64_t, EntryLink> links_;
    std::uint64_t lastLink_ = 0;
};

} // namespace lovagecourse
