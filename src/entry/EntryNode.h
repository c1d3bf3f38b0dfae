#pragma once

#include "core/EventLoop.h"
#include "settings/DaemonSettings.h"
#include "wire/Link.h"

#include <memory>
#include <variant>

namespace lovagecourse {

/// Entry process: accepts HTTP requests of callers and routes them to backend servers through the
/// servers' agents. Also the fairness home of the flows that chooseHome() assigns to it.
class EntryNode
{
public:
    /// Opens all sockets of the entry; returns the failure when one can't be opened.
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
