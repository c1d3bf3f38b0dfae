#pragma once

#include "core/EventLoop.h"
#include "direct/PlatformBinding.h"
#include "settings/RouterSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// A router process on a platform without agents: takes callers' requests and sends them straight
/// to backend servers.
class RouterNode
{
public:
    /// A router with all its sockets open, or why one could not be opened.
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
