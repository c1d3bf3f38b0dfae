#pragma once

#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lovagecourse {

/// One request and its answer; the answer may come at any time after the handler returned.
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

    /// Sends a whole answer.
    void respond(int status, std::string body, std::string contentType = "application/json");
    /// Starts an answer with status 200 whose bytes follow through send().
    void beginStream(std::string contentType);
    void send(std::string_view bytes);
    /// Ends a stream; the client sees a whole answer.
    void end();
    /// Closes the connection without the rest of the answer.
    void abort();
    /// Called once if the connection ends before the answer was handed over as a whole.
    void onClosed(std::function<void()> callback) { closedCallback_ = std::move(callback); }

private:
    friend class HttpServer;
    enum class State { Open, Whole, Streaming, Ended, Aborted };

    void wake();
    void suspend();
    bool peerHasClosed() const;
    void finishConnection();
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
    std::function<void()> wakeServer_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace lovagecourse
