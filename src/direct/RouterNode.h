#pragma once

#include "core/EventLoop.h"
#include "direct/PlatformBinding.h"
#include "settings/RouterSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// Router process on a platform without agents: accepts callers' requests and sends them directly
/// to backend servers.
class RouterNode
{
public:
    /// Opens all sockets and starts the router; returns the failure if a socket can't be opened.
    static std::variant<std::unique_ptr<RouterNode>, SocketFailure>
    open(EventLoop &loop, const Clock &clock, const RouterSettings &settings,
         PlatformBinding platform);
    ~RouterNode();
    RouterNode(const RouterNode &) = delete;
    RouterNode &operator=(const RouterNode &) = delete;

private:
    struct Impl;
    explicit RouterNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
