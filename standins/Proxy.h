#pragma once

#include "HttpServer.h"
#include "ProxyMapping.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lovagecourse {

/// Proxy for TCP and UDP that injects faults, controlled by POST /rules.
class Proxy
{
public:
    Proxy(EventLoop &loop, const sockaddr_in &control, std::uint64_t seed);

    /// Adds a mapping "tcp:listen=target" or "udp:listen=target"; false if it is malformed.
    bool addMapping(const std::string &specification);
    /// Binds all listening addresses; false if one of them cannot be bound.
    bool start();

private:
    void handle(const HttpExchangePtr &exchange);

    EventLoop &loop_;
    HttpServer server_;
    std::uint64_t seed_;
    /// Mappings by listening address, which a TCP and a UDP mapping may share.
    std::multimap<std::string, std::unique_ptr<ProxyMapping>> mappings_;
};

/// Runs the sub-command `proxy`; returns the exit status.
int runProxy(int argc, char **argv);

} // namespace lovagecourse
