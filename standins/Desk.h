#pragma once

#include "CrashableServer.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <list>
#include <map>
#include <string>

namespace lovagecourse {

/// Options of the stand-in for a plain service (sub-command `desk`).
struct DeskOptions
{
    sockaddr_in listen{};
    /// Service time of a booking or order, which must not be repeated.
    std::chrono::duration<double, std::milli> serviceTime{20};
    /// Service time of a status check.
    std::chrono::duration<double, std::milli> statusTime{2};
    /// Time from a crash until the server listens again.
    std::chrono::milliseconds restartTime{300};
};

/// Stand-in for a plain (non-model) service: bookings and orders, which must be executed at most
/// once, and idempotent status checks. Counts executions per idempotency key and simulates crashes,
/// lost answers and slowness on command.
class Desk
{
public:
    Desk(EventLoop &loop, const DeskOptions &options);

    /// False when the address cannot be bound.
    bool start();

private:
    void handle(const HttpExchangePtr &exchange);
    void runBooking(const HttpExchangePtr &exchange);
    void answerStatus(const HttpExchangePtr &exchange);
    void control(const HttpExchangePtr &exchange);
    void crash();
    void runAfter(std::chrono::duration<double, std::milli> delay, std::function<void()> action);

    EventLoop &loop_;
    DeskOptions options_;
    CrashableServer server_;
    std::list<std::unique_ptr<Timer>> timers_;
    /// Multiplies the service times.
    double slowFactor_ = 1;
    /// Number of further bookings and orders whose connection is closed without an answer.
    std::uint64_t answersToLose_ = 0;
    /// Executions by idempotency key.
    std::map<std::string, std::uint64_t> executions_;
};

/// Runs the sub-command `desk`; returns the exit status.
int runDesk(int argc, char **argv);

} // namespace lovagecourse
