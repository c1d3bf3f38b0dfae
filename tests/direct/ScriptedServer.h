#pragma once

#include "core/EventLoop.h"
#include "wire/Endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// Backend server whose answers a test writes byte by byte, in the test's own event loop.
class ScriptedServer
{
public:
    /// One connection of a caller.
    class Connection
    {
    public:
        Connection(ScriptedServer &server, int descriptor);
        ~Connection();
        void send(const std::string &bytes);
        /// Ends the connection in order.
        void close();
        /// Ends it with a reset.
        void reset();

    private:
        friend class ScriptedServer;
        void onReadable();

        ScriptedServer &server_;
        int descriptor_;
        std::string received_;
        IoWatcher watcher_;
    };

    /// Called with each whole request, as it came.
    using Handler = std::function<void(Connection &connection, const std::string &request)>;

    ScriptedServer(EventLoop &loop, Handler onRequest);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Endpoint address() const { return address_; }
    /// Whole requests that came, in order.
    const std::vector<std::string> &requests() const { return requests_; }
    /// Connections that the other side has closed.
    int closedByPeer() const { return closedByPeer_; }
    /// Refuses further connections and resets the open ones.
    void crash();

private:
    void onAcceptable();
    void drop(int descriptor);

    EventLoop &loop_;
    Handler onRequest_;
    Endpoint address_;
    int listener_ = -1;
    std::unique_ptr<IoWatcher> watcher_;
    std::map<int, std::unique_ptr<Connection>> connections_;
    std::vector<std::string> requests_;
    int closedByPeer_ = 0;
};

/// Value of a header in a request as it came; names are compared in lower case.
std::string headerOf(const std::string &request, const std::string &name);

} // namespace lovagecourse::test
