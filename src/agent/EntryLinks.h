#pragma once

#include "daemon/Daemon.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace lovagecourse {

/// Links that entries opened to this agent.
class EntryLinks
{
public:
    struct Handlers
    {
        std::function<void(std::uint64_t link, const Hello &)> onUp;
        std::function<void(std::uint64_t link, const Hello &)> onDown;
        std::function<void(std::uint64_t link, Message &&)> onMessage;
    };

    EntryLinks(Daemon &daemon, Handlers handlers);

    /// Opens the listening address, which no second agent of the host can share.
    std::optional<SocketFailure> listen();
    /// True when an entry has a link that is ready.
    bool hasLinkOf(const DaemonId &entry) const;
    /// Sends to one entry; dropped when its link has closed.
    void send(std::uint64_t link, Message message);
    void sendToAll(const Message &message);
    /// Bytes that wait for a slow entry.
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
