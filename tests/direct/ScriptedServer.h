#pragma once

#include "core/EventLoop.h"
#include "wire/Endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// Backend server that runs in the test's event loop; the test determines every byte of its
/// answers.
class ScriptedServer
{
public:
    /// One accepted connection.
    class Connection
    {
    public:
        Connection(ScriptedServer &server, int descriptor);
        ~Connection();
        void send(const std::string &bytes);
        /// Closes the connection normally.
        void close();
        /// Closes the connection with a TCP reset.
        void reset();
        /// Position among all accepted connections, from 1.
        int number() const { return number_; }

    private:
        friend class ScriptedServer;
        void onReadable();

        ScriptedServer &server_;
        int descriptor_;
        int number_;
        std::string received_;
        IoWatcher watcher_;
    };

    /// Called with each complete request as raw text.
    using Handler = std::function<void(Connection &connection, const std::string &request)>;

    ScriptedServer(EventLoop &loop, Handler onRequest);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Endpoint address() const { return address_; }
    /// Complete requests in order of arrival.
    const std::vector<std::string> &requests() const { return requests_; }
    /// Number of connections that the peer has closed.
    int closedByPeer() const { return closedByPeer_; }
    /// Sets a function that is called before a connection that the peer has closed is destroyed.
    void onClosed(std::function<void()> handler) { onClosed_ = std::move(handler); }
    /// Calls the handler with the head of each request, before its body has arrived, and reads no
    /// further bytes of the connection.
    void answerHeads() { answersHeads_ = true; }
    /// Stops listening and resets the open connections.
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
    bool answersHeads_ = false;
    int accepted_ = 0;
    int closedByPeer_ = 0;
    std::function<void()> onClosed_ = [] {};
};

/// Returns the value of a header in a raw request; name must be in lower case.
std::string headerValue(const std::string &request, const std::string &name);

} // namespace lovagecourse::test
