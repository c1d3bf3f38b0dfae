#pragma once

#include "Store.h"

#include <atomic>

namespace review {

inline std::int64_t epochMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

/// Stand-in for an application server: registers itself in the store and answers requests.
class AppServer
{
public:
    /// Answers a request whose body has been read; returns whether the connection stays open.
    using Answer = std::function<bool(AppServer &, Connection &, const Message &)>;

    struct Place
    {
        std::string service;
        std::string zone = "zone-a";
        std::string version = "v1";
        unsigned slots = 64;
    };

    AppServer(Store &store, std::string id, Place place, Answer answer)
        : store_(store)
        , id_(std::move(id))
        , place_(std::move(place))
        , answer_(std::move(answer))
        , listener_([this](Connection &connection) { serve(connection); })
    {}
    ~AppServer()
    {
        isRegistering_ = false;
        if (beat_.joinable())
            beat_.join();
        listener_.stop();
    }

    const std::string &id() const { return id_; }
    std::uint16_t port() const { return listener_.port(); }
    const Place &place() const { return place_; }

    /// Begins a run. A later run keeps the port.
    bool start()
    {
        born_ = epochMs();
        if (!listener_.start(listener_.port()))
            return false;
        isDraining_ = false;
        isRegistering_ = true;
        if (!beat_.joinable())
            beat_ = std::thread([this] { beat(); });
        return true;
    }

    /// Closes the listener and all connections, as the kernel does for a process that has crashed.
    void crash()
    {
        isUp_ = false;
        listener_.stop();
    }

    void restart()
    {
        start();
        isUp_ = true;
    }

    void drain() { isDraining_ = true; }
    void resetConnections() { listener_.closeConnections(true); }

    /// Stops the heartbeats; the entry is removed if removes is set.
    void unregister(bool removes)
    {
        isRegistering_ = false;
        if (beat_.joinable())
            beat_.join();
        if (removes)
            store_.put("keyed.servers", id_, std::nullopt);
    }

    /// Head of an answer to the request, without the blank line.
    std::string head(int status, const Message &request) const
    {
        return "HTTP/1.1 " + std::to_string(status)
               + " X\r\nX-Lovagecourse-Attempt-Id: " + request.header("x-lovagecourse-attempt-id")
               + "\r\nX-Lovagecourse-Server-Stamp: " + id_ + '.' + std::to_string(born_) + "\r\n";
    }

    bool sendWhole(Connection &connection, const Message &request, int status,
                   const std::string &body) const
    {
        return connection.send(head(status, request) + "Content-Length: "
                               + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// A request whose Expect-Instance names another server gets 421.
    bool isMeant(const Message &request) const
    {
        const std::string expected = request.header("x-lovagecourse-expect-instance");
        return expected.empty() || expected == id_;
    }

    bool sendMisdirected(Connection &connection, const Message &request) const
    {
        return connection.send("HTTP/1.1 421 X\r\nX-Lovagecourse-Attempt-Id: "
                               + request.header("x-lovagecourse-attempt-id")
                               + "\r\nX-Lovagecourse-Instance-Id: " + id_
                               + "\r\nX-Lovagecourse-Not-Executed: 1\r\nContent-Length: "
                                 "0\r\n\r\n");
    }

    void write() { store_.put("keyed.servers", id_, entry()); }

    /// Time after which an idle connection is closed.
    std::atomic<int> idleMs{5000};

private:
    std::string entry()
    {
        return "{\"service\":\"" + place_.service + "\",\"address\":\"127.0.0.1:"
               + std::to_string(port()) + "\",\"zone\":\"" + place_.zone + "\",\"version\":\""
               + place_.version + "\",\"slots\":" + std::to_string(place_.slots) + ",\"state\":\""
               + (isDraining_ ? "draining" : "ready")
               + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":"
               + std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + '}';
    }

    void beat()
    {
        constexpr int heartbeatMs = 1200;
        while (isRegistering_) {
            if (isUp_)
                write();
            for (int waited = 0; waited < heartbeatMs && isRegistering_; waited += 50)
                sleepMs(50);
        }
    }

    void serve(Connection &connection)
    {
        for (;;) {
            auto request = connection.readHead(Clock::now() + milliseconds(idleMs));
            if (!request)
                return;
            connection.readBody(*request, false, Clock::now() + std::chrono::seconds(20));
            if (!request->isWhole)
                return;
            if (!isMeant(*request)) {
                if (!sendMisdirected(connection, *request))
                    return;
                continue;
            }
            if (!answer_(*this, connection, *request))
                return;
        }
    }

    Store &store_;
    std::string id_;
    Place place_;
    Answer answer_;
    std::atomic<std::int64_t> born_{0};
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> isDraining_{false};
    std::atomic<bool> isRegistering_{false};
    std::atomic<bool> isUp_{true};
    std::thread beat_;
    Listener listener_;
};

} // namespace review
