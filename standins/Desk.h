#pragma once

#include "CrashableServer.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <list>
#include <map>
#include <string>

namespace lovagecourse {

/// Properties of a plain service stand-in.
struct DeskOptions
{
    sockaddr_in listen{};
    /// Time that a non-repeatable call takes.
    std::chrono::duration<double, std::milli> serviceTime{20};
    /// Time that a status check takes.
    std::chrono::duration<double, std::milli> statusTime{2};
    std::chrono::milliseconds restartTime{300};
};

/// Plain service with non-repeatable bookings and orders, and idempotent status checks.
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
    void after(std::chrono::duration<double, std::milli> delay, std::function<void()> action);

    EventLoop &loop_;
    DeskOptions options_;
    CrashableServer server_;
    std::list<std::unique_ptr<Timer>> timers_;
    double slowFactor_ = 1;
    std::uint64_t answersToLose_ = 0;
    std::map<std::string, std::uint64_t> runs_;
};

/// Runs the sub-command `desk`; returns the exit status.
int runDesk(int argc, char **argv);

} // namespace lovagecourse
