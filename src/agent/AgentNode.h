#pragma once

#include "core/EventLoop.h"
#include "settings/DaemonSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// Agent process of one backend server; all requests to the server go through it. Grants offers of
/// entries as the server's concurrency limit allows, claims idempotency keys, runs the requests and
/// drains before it exits.
class AgentNode
{
public:
    /// Opens all sockets of the agent; returns the failure when one can't be opened.
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
