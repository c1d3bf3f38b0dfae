#pragma once

#include "integration/CallerCrowd.h"
#include "integration/LoopbackConnection.h"
#include "integration/Process.h"
#include "integration/StoredTopic.h"

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

    std::string callers() const { return callers_; }
    Process &process() { return *process_; }
    bool isRunning() { return process_->isRunning(); }
    /// Sends small requests, each on a connection of its own, until one is answered by the server.
    bool servesRequest() const;
    /// The server is about to stop; handlers that wait return.
    bool isStopping() const { return isStopping_; }
    /// Address of the router's datagrams, and the secret of its fleet.
    const std::string &datagrams() const { return datagrams_; }
    static constexpr const char *fleetKey = "a-key-of-the-memory-tests";
    double metric(const std::string &name) const;
    /// Whether the router says at this moment that it may get callers.
    bool isReady() const;
    /// Kills the router.
    void kill() { process_->kill(); }
    /// Starts the router again after a kill.
    void start();
    /// Adds a record to the topic of the configuration; one without a value deletes its key.
    void writeOperatorRecord(const std::string &key, const std::string &value)
    {
        operatorTopic_.write(key, value);
    }
    /// Adds a record to the topic of the servers.
    void writeServerRecord(const std::string &key, const std::string &value)
    {
        serverTopic_.write(key, value);
    }
    /// Registration of the server. furtherFields: each after a comma.
    std::string serverEntry(const std::string &furtherFields = {}) const;
    /// The router's log so far.
    std::string log() const;

private:
    void answerStore(LoopbackConnection &connection);
    void answerRequests(LoopbackConnection &connection);

    ServerAnswer answer_;
    std::atomic<bool> isStopping_ = false;
    StoredTopic operatorTopic_;
    StoredTopic serverTopic_;
    std::string folder_;
    std::string callers_;
    std::string ready_;
    std::string admin_;
    std::string datagrams_;
    std::unique_ptr<LoopbackServer> server_;
    std::unique_ptr<LoopbackServer> store_;
    std::unique_ptr<Process> process_;
};

/// Request head without the blank line at its end.
std::string requestHead(const std::string &path);
/// Head of a server's answer to the request, without the blank line at its end.
std::string answerHead(const RawMessage &request);
/// Reads the rest of the request's body and answers with "ok"; for ordinary requests.
bool answerOk(LoopbackConnection &connection, RawMessage &request);

} // namespace lovagecourse::test
