#pragma once

#include "HttpServer.h"
#include "ProxyMap.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lovagecourse {

/// Fault proxy for TCP and UDP, controlled by HTTP.
class Proxy
{
public:
    Proxy(EventLoop &loop, const sockaddr_in &control, std::uint64_t seed);

    /// Adds "tcp:listen=target" or "udp:listen=target"; false when it is malformed.
    bool addMap(const std::string &specification);
    /// Binds all addresses; false when one of them cannot be bound.
    bool start();

private:
    void handle(const HttpExchangePtr &exchange);

    EventLoop &loop_;
    HttpServer server_;
    std::uint64_t seed_;
    /// By listening address; TCP and UDP may share one.
    std::multimap<std::string, std::unique_ptr<ProxyMap>> maps_;
};

/// Runs the sub-command `proxy`; returns the exit status.
int runProxy(int argc, char **argv);

} // namespace lovagecourse
