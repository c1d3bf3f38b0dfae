#pragma once

#include "core/EventLoop.h"
#include "settings/DaemonSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// A router process: takes callers' requests and brings them to backend servers.
class EntryNode
{
public:
    /// An entry with all its sockets open, or why one could not be opened.
    static std::variant<std::unique_ptr<EntryNode>, SocketFailure>
    open(EventLoop &loop, const Clock &clock, const DaemonSettings &settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

private:
    struct Impl;
    explicit EntryNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
