#include "agent/EntryLinks.h"

#include "core/Log.h"

#include <algorithm>

namespace lovagecourse {

EntryLinks::EntryLinks(Daemon &daemon, Handlers handlers)
    : daemon_(daemon)
    , handlers_(std::move(handlers))
{}

std::optional<SocketFailure> EntryLinks::listen()
{
    auto listener = LinkListener::open(daemon_.loop(), daemon_.settings().links,
                                       [this](int descriptor) { accept(descriptor); });
    if (const auto *failure = std::get_if<SocketFailure>(&listener))
        return *failure;
    listener_ = std::move(std::get<0>(listener));
    return std::nullopt;
}

void EntryLinks::accept(int descriptor)
{
    const std::uint64_t id = ++lastLink_;
    Link::Handlers handlers;
    handlers.onReady = [this, id](const Hello &hello) {
        links_.at(id).hello = hello;
        logInfo(LogPart::Agent, "link from entry ", hello.daemon, " is up");
        handlers_.onUp(id, hello);
    };
    handlers.onMessage = [this, id](Message &&message) {
        handlers_.onMessage(id, std::move(message));
    };
    handlers.onClosed = [this, id](const LinkFailure &failure) { onClosed(id, failure); };
    links_[id].link = Link::accept(daemon_.wire(), descriptor, std::move(handlers));
}

void EntryLinks::onClosed(std::uint64_t link, const LinkFailure &failure)
{
    const EntryLink closed = std::move(links_.at(link));
    links_.erase(link);
    if (closed.hello.daemon.value.empty())
        return;
    logInfo(LogPart::Agent, "link from entry ", closed.hello.daemon,
            " closed: ", toString(failure));
    handlers_.onDown(link, closed.hello);
}

bool EntryLinks::hasLinkOf(const DaemonId &entry) const
{
    return std::any_of(links_.begin(), links_.end(),
                       [&](const auto &item) { return item.second.hello.daemon == entry; });
}

void EntryLinks::send(std::uint64_t link, Message message)
{
    const auto found = links_.find(link);
    if (found != links_.end())
        found->second.link->send(std::move(message));
}

void EntryLinks::sendToAll(const Message &message)
{
    for (const auto &[id, entry] : links_) {
        if (entry.link->isReady())
            entry.link->send(message);
    }
}

std::size_t EntryLinks::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, entry] : links_)
        bytes += entry.link->unsentBytes();
    return bytes;
}

} // namespace lovagecourse
