#pragma once

#include "integration/CallerCrowd.h"
#include "integration/LoopbackConnection.h"
#include "integration/LoopbackStore.h"
#include "integration/RouterProcess.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// A router process with a scripted store and one scripted server on loopback addresses. Requests
/// below "/plain/" may be repeated, those below "/stream/" are answered by event streams.
class RouterHost
{
public:
    /// serviceFields: further fields of the service in the configuration, each after a comma.
    RouterHost(unsigned maxMemoryMb, ServerAnswer answer, const std::string &serviceFields = {});
    ~RouterHost();
    RouterHost(const RouterHost &) = delete;
    RouterHost &operator=(const RouterHost &) = delete;

    std::string callers() const { return router_->callers(); }
    Process &process() { return router_->process(); }
    bool isRunning() { return process().isRunning(); }
    /// Sends small requests, each on a connection of its own, until one is answered by the server.
    bool servesRequest() const;
    /// The server is about to stop; handlers that wait return.
    bool isStopping() const { return isStopping_; }
    /// Address of the router's datagrams, and the secret of its fleet.
    const std::string &datagrams() const { return router_->datagrams(); }
    static constexpr const char *fleetKey = RouterProcess::fleetKey;
    double metric(const std::string &name) const { return router_->metric(name); }
    /// Whether the router says at this moment that it may get callers.
    bool isReady() const { return router_->isReady(); }
    /// Kills the router.
    void kill() { router_->kill(); }
    /// Starts the router again after a kill.
    void start() { router_->start(); }
    LoopbackStore &store() { return store_; }
    /// Adds a record to the topic of the configuration; one without a value deletes its key.
    void writeOperatorRecord(const std::string &key, const std::string &value)
    {
        store_.write(LoopbackStore::operatorTopic, key, value);
    }
    /// Adds a record to the topic of the servers.
    void writeServerRecord(const std::string &key, const std::string &value)
    {
        store_.write(LoopbackStore::serversTopic, key, value);
    }
    /// Registration of the server. furtherFields: each after a comma.
    std::string serverEntry(const std::string &furtherFields = {}) const;
    /// The router's log so far.
    std::string log() const { return router_->log(); }

private:
    void answerRequests(LoopbackConnection &connection);

    ServerAnswer answer_;
    std::atomic<bool> isStopping_ = false;
    LoopbackStore store_;
    std::unique_ptr<LoopbackServer> server_;
    std::unique_ptr<RouterProcess> router_;
};

/// Configuration with the routes "/plain/" and "/stream/" to the service "pool". serviceFields: as
/// for RouterHost.
std::string poolConfiguration(const std::string &serviceFields = {});
/// Request head without the blank line at its end.
std::string requestHead(const std::string &path);
/// Head of a server's answer to the request, without the blank line at its end.
std::string answerHead(const RawMessage &request);
/// Reads the rest of the request's body and answers with "ok"; for ordinary requests.
bool answerOk(LoopbackConnection &connection, RawMessage &request);

} // namespace lovagecourse::test
