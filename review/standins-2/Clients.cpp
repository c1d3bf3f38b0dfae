#include "Clients.h"

#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds callTimeout{9000};
// Eight times the longest pause of the routes; clients abandon a stream after it.
constexpr milliseconds longestGap{4000};

} // namespace

/// A connection of a client to the router.
struct Clients::Connection
{
    explicit Connection(int socket)
        : descriptor(socket)
        , reader(socket)
    {
        reader.setLongestGap(longestGap);
    }
    ~Connection() { close(descriptor); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int descriptor;
    Reader reader;
    /// It has carried a whole answer.
    bool isKept = false;
};

Clients::Clients(int port, const Record &record)
    : port_(port)
    , record_(record)
{}

Clients::~Clients() = default;

void Clients::send(const RequestText &request)
{
    const auto start = Clock::now();
    std::unique_ptr<Connection> connection = take();
    Outcome outcome;
    outcome.request = request.id;
    outcome.isKept = connection && connection->isKept;
    record_.write("sent request=" + request.id + " kept=" + (outcome.isKept ? "1" : "0"));
    if (connection && sendAll(connection->descriptor, request.text())) {
        const auto answer = connection->reader.read(true, start + callTimeout);
        outcome.status = answer ? answer->status() : 0;
        outcome.isWhole = answer && answer->isWhole;
        outcome.isClosed = !answer && connection->reader.hasPeerClosed();
        connection->isKept = outcome.isWhole && answer->header("connection") != "close";
    }
    outcome.tookMs = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    record_.write("answered request=" + outcome.request + " status="
                  + std::to_string(outcome.status) + " whole=" + (outcome.isWhole ? "1" : "0")
                  + " closed=" + (outcome.isClosed ? "1" : "0")
                  + " ms=" + std::to_string(static_cast<int>(outcome.tookMs)));
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(outcome);
    if (connection && connection->isKept)
        idle_.push_back(std::move(connection));
}

std::unique_ptr<Clients::Connection> Clients::take()
{
    const std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
        std::unique_ptr<Connection> connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
    }
    const int descriptor = connectTo(port_);
    return descriptor < 0 ? nullptr : std::make_unique<Connection>(descriptor);
}

} // namespace review
