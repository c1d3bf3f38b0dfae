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

/// One call with an idempotency key, at one agent.
struct Attempt
{
    AccountKey key;
    bool ran = false;
    int decisions = 0;
    bool agentDied = false;
    std::optional<Refusal> refusal;
    std::optional<RecordedAnswer> answer;
};

/// Log in memory whose appends may be lost, late or unanswered.
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

/// One run of an agent, with the work that its event loop would hold.
struct AgentProcess
{
    /// Something that the process does at a time, unless it is frozen then.
    struct Task
    {
        TimePoint due;
        std::function<void()> action;
    };

    std::unique_ptr<ClaimCoordinator> claims;
    ServerId server;
    std::size_t nextRecord = 0;
    /// Nothing happens in the process before this time.
    TimePoint frozenUntil;
    /// Neither ticks nor records reach the coordinator before this time; its other work goes on.
    TimePoint stalledUntil;
    std::list<Task> tasks;
    std::vector<Attempt *> attempts;
};

/// Seeded history of several agents, callers and an operator on one log, without sockets.
class ClaimHistory
{
public:
    explicit ClaimHistory(std::uint64_t seed);
    /// Plays the history and returns what went wrong; empty when nothing did.
    std::vector<std::string> play();

private:
    bool chance(double probability) { return random_() % 1000 < probability * 1000; }
    milliseconds upTo(std::uint64_t maxMs) { return milliseconds(random_() % (maxMs + 1)); }
    void step();
    void disturb();
    void startProcess(const ServerId &server);
    void restart();
    void call(AgentProcess &process, const AccountKey &key, const std::string &digest);
    void onDecision(AgentProcess &process, Attempt &attempt, const ClaimDecision &decision);
    void runOrGiveUp(AgentProcess &process, Attempt &attempt, const ClaimId &claim);
    void serve(AgentProcess &process);
    void append(AgentProcess &process, const ClaimAppend &record);
    void read(AgentProcess &process);
    void settle();
    void calmDown();
    void check();
    void checkProcess(const AgentProcess &process);
    void checkAttempt(const Attempt &attempt);

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    FakeLog log_;
    bool disturbed_ = true;
    TimePoint outageUntil_;
    std::list<AgentProcess::Task> network_;
    std::list<AgentProcess> processes_;
    std::deque<Attempt> attempts_;
    std::map<AccountKey, int> runs_;
    std::map<AccountKey, RecordedAnswer> answers_;
    ClaimFold operatorFold_;
    std::uint64_t incarnations_ = 0;
    std::uint64_t settlements_ = 0;
    std::vector<std::string> faults_;
};

} // namespace lovagecourse
