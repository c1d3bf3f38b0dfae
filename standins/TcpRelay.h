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

/// Relays one TCP connection to the target in both directions, with the delays and freezes of the
/// fault rules.
class TcpRelay
{
public:
    /// Takes ownership of the accepted descriptor and connects to the target. The callback reports
    /// the end of the relay.
    TcpRelay(EventLoop &loop, int client, const sockaddr_in &target, const FaultRules &rules,
             std::mt19937_64 &random, std::function<void()> onFinished);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /// Applies changed rules; the owner has updated them in place.
    void onRulesChanged();

private:
    /// Received bytes that are sent when due; an empty chunk stands for the end of the stream.
    struct Chunk
    {
        TimePoint due;
        std::string bytes;
    };

    /// Queue of one direction. Direction 0 goes from the client (socket 0) to the target (socket
    /// 1).
    struct Pipe
    {
        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        TimePoint lastDue;
        /// The source has closed its sending side.
        bool receivedEof = false;
        /// The sending side towards the destination is shut down.
        bool sentEof = false;
        /// The destination's socket buffer is full.
        bool writeBlocked = false;
    };

    void onReady(std::size_t end, int events);
    bool finishConnect();
    void readFrom(std::size_t direction);
    void writeDue(std::size_t direction);
    bool writeFront(std::size_t direction);
    void enqueue(Pipe &pipe, std::string bytes);
    /// Sends due chunks, then sets the watched events and the timer.
    void update();
    void scheduleNext();
    /// Stops the relay and calls onFinished; the owner destroys the relay later.
    void finish();

    const FaultRules &rules_;
    std::mt19937_64 &random_;
    std::function<void()> onFinished_;
    std::array<int, 2> sockets_;
    std::array<Pipe, 2> pipes_;
    std::array<std::unique_ptr<IoWatcher>, 2> watchers_;
    Timer timer_;
    bool connecting_ = true;
    bool finished_ = false;
};

} // namespace lovagecourse
