#pragma once

#include "Cases.h"

#include <memory>

namespace review {

/// What became of a request.
struct Outcome
{
    std::string request;
    int status = 0;
    bool isWhole = false;
    /// The connection had carried a whole answer before.
    bool isKept = false;
    /// The router closed the connection before any answer.
    bool isClosed = false;
    double tookMs = 0;
};

/// Connections that clients keep, and the outcomes of their requests.
class Clients
{
public:
    Clients(int port, const Record &record);
    ~Clients();
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    /// Sends the request on a kept connection, or on a new one if none is idle, and waits for its
    /// answer.
    void send(const RequestText &request);
    /// To be called when no request is open.
    const std::vector<Outcome> &outcomes() const { return outcomes_; }

private:
    struct Connection;

    std::unique_ptr<Connection> take();

    int port_;
    const Record &record_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Connection>> idle_;
    std::vector<Outcome> outcomes_;
};

} // namespace review
