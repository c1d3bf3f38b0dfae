#pragma once

#include "claims/ClaimCoordinator.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagecourse {

/// One request with an idempotency key at one agent, and its results.
struct SimulatedRequest
{
    AccountKey key;
    bool ran = false;
    int decisions = 0;
    bool agentCrashed = false;
    std::optional<Refusal> refusal;
    std::optional<RecordedAnswer> answer;
};

/// In-memory log. Like the platform's, it stores each record id once.
struct FakeLog
{
    std::vector<LogRecord> records;
    std::set<std::string> ids;

    void store(const std::string &id, const std::string &body, TimePoint now)
    {
        if (!ids.insert(id).second)
            return;
        const auto time = std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
        records.push_back({LogOffset(records.size() + 1), id, WallTime(time), body});
    }
};

/// One incarnation of an agent, with the tasks that its event loop would hold.
struct AgentProcess
{
    /// Action that the process runs at a given time, or later if it is frozen.
    struct Task
    {
        TimePoint due;
        std::function<void()> action;
    };

    std::unique_ptr<ClaimCoordinator> claims;
    ServerId server;
    std::size_t nextRecord = 0;
    /// The process runs nothing before this time.
    TimePoint frozenUntil;
    /// The coordinator gets no ticks and no records before this time; other tasks still run.
    TimePoint stalledUntil;
    std::list<Task> tasks;
    std::vector<SimulatedRequest *> requests;
};

/// Seeded simulation of several agents, callers and an operator on one log, without sockets. Agents
/// crash, restart and pause; the log has outages, and appends are rejected, lost, late or
/// unanswered.
class ClaimSimulation
{
public:
    explicit ClaimSimulation(std::uint64_t seed);
    /// Runs the simulation and returns the violated invariants; empty if there are none.
    std::vector<std::string> run();

private:
    bool chance(double probability) { return random_() % 1000 < probability * 1000; }
    milliseconds randomUpTo(std::uint64_t maxMs) { return milliseconds(random_() % (maxMs + 1)); }
    void step();
    void injectRandomEvents();
    void startProcess(const ServerId &server);
    void restart();
    void sendRequest(AgentProcess &process, const AccountKey &key, const std::string &digest);
    void onDecision(AgentProcess &process, SimulatedRequest &request,
                    const ClaimDecision &decision);
    void runOrAbandon(AgentProcess &process, SimulatedRequest &request, const ClaimId &claim);
    void runEventLoop(AgentProcess &process);
    void append(AgentProcess &process, const ClaimAppend &record);
    void read(AgentProcess &process);
    void settleUnsettledKeys();
    void recover();
    void check();
    void checkProcess(const AgentProcess &process);
    void checkRequest(const SimulatedRequest &request);

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    FakeLog log_;
    bool injectingFaults_ = true;
    TimePoint outageUntil_;
    std::list<AgentProcess::Task> network_;
    std::list<AgentProcess> processes_;
    std::deque<SimulatedRequest> requests_;
    std::map<AccountKey, int> runs_;
    std::map<AccountKey, RecordedAnswer> answers_;
    ClaimStateMachine operatorState_;
    std::uint64_t incarnations_ = 0;
    std::uint64_t settlements_ = 0;
    std::vector<std::string> violations_;
};

} // namespace lovagecourse
