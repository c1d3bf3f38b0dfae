#pragma once

#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lovagecourse {

/// One HTTP request and its answer, which may be given at any time after the handler has returned.
class HttpExchange
{
public:
    HttpExchange(MHD_Connection *connection, std::string method, std::string path);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const { return method_; }
    const std::string &path() const { return path_; }
    const std::string &body() const { return body_; }
    /// Value of a request header; empty when it is missing.
    std::string header(const char *name) const;

    /// Sends a complete answer; ignored if an answer has begun.
    void respond(int status, std::string body, std::string contentType = "application/json");
    /// Starts a streamed answer with status 200; send() appends to its body.
    void beginStream(std::string contentType);
    void send(std::string_view bytes);
    /// Ends a streamed answer; the client receives a complete answer.
    void end();
    /// Closes the connection without sending the rest of the answer.
    void abort();
    /// Sets a callback that is called once if the connection closes before respond() or end().
    void onClosed(std::function<void()> callback) { closedCallback_ = std::move(callback); }

private:
    friend class HttpServer;
    /// Complete: answered by respond(). Ended: streamed answer with its end.
    enum class State { Open, Complete, Streaming, Ended, Aborted };

    void resume();
    void suspend();
    bool hasPeerClosed() const;
    void onConnectionClosed();
    MHD_Result queueAnswer();
    static ssize_t readStream(void *self, std::uint64_t position, char *buffer, std::size_t size);

    MHD_Connection *connection_;
    std::string method_;
    std::string path_;
    std::string body_;
    State state_ = State::Open;
    int status_ = 200;
    std::string contentType_;
    std::string pending_;
    std::size_t pendingOffset_ = 0;
    bool dispatched_ = false;
    bool suspended_ = false;
    std::function<void()> closedCallback_;
    std::function<void()> scheduleServerRun_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace lovagecourse
