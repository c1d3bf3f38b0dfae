#pragma once

#include "core/EventLoop.h"
#include "settings/DaemonSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// The only path to one backend server: grants offers, claims, runs requests, drains.
class AgentNode
{
public:
    /// An agent with all its sockets open, or why one could not be opened.
    static std::variant<std::unique_ptr<AgentNode>, SocketFailure>
    open(EventLoop &loop, const Clock &clock, const DaemonSettings &settings);
    ~AgentNode();
    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

private:
    struct Impl;
    explicit AgentNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
