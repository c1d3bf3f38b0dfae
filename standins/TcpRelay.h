#pragma once

#include "FaultRules.h"
#include "core/EventLoop.h"

#include <netinet/in.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace lovagecourse {

/// One proxied connection: passes the bytes of both directions on, with delays.
class TcpRelay
{
public:
    /// Takes over the accepted descriptor and connects to the target.
    TcpRelay(EventLoop &loop, int client, const sockaddr_in &target, const FaultRules &rules,
             std::mt19937_64 &random, std::function<void()> onFinished);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /// Continues after the rules have changed.
    void onRulesChanged();

private:
    /// Bytes on their way; no bytes stand for the end of the stream.
    struct Chunk
    {
        TimePoint due;
        std::string bytes;
    };

    /// One direction; direction 0 reads from end 0, the client.
    struct Pipe
    {
        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        TimePoint lastDue;
        bool readEnd = false;
        bool writeEnd = false;
        bool blocked = false;
    };

    void onReady(std::size_t end, int events);
    bool finishConnect();
    void readFrom(std::size_t direction);
    void writeDue(std::size_t direction);
    bool writeFront(std::size_t direction);
    void enqueue(Pipe &pipe, std::string bytes);
    void update();
    void scheduleNext();
    /// Stops the relay and reports it; the owner destroys it later.
    void finish();

    const FaultRules &rules_;
    std::mt19937_64 &random_;
    std::function<void()> onFinished_;
    std::array<int, 2> ends_;
    std::array<Pipe, 2> pipes_;
    std::array<std::unique_ptr<IoWatcher>, 2> watchers_;
    Timer timer_;
    bool connecting_ = true;
    bool finished_ = false;
};

} // namespace lovagecourse
