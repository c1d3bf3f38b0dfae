#include "claims/ClaimSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lovagecourse;

namespace {

constexpr milliseconds stepLength{20};
constexpr int faultInjectionSteps = 200;

void runDue(std::list<AgentProcess::Task> &tasks, TimePoint now)
{
    for (auto task = tasks.begin(); task != tasks.end();) {
        if (task->due > now) {
            ++task;
            continue;
        }
        const auto action = std::move(task->action);
        task = tasks.erase(task);
        action();
    }
}

} // namespace

ClaimSimulation::ClaimSimulation(std::uint64_t seed)
    : random_(seed)
{
    for (const char *server : {"desk-1", "desk-2", "desk-3"})
        startProcess(ServerId(server));
}

std::vector<std::string> ClaimSimulation::run()
{
    for (int i = 0; i < faultInjectionSteps; ++i) {
        injectRandomEvents();
        step();
    }
    recover();
    check();
    return violations_;
}

void ClaimSimulation::startProcess(const ServerId &server)
{
    AgentProcess &process = processes_.emplace_back();
    process.server = server;
    const Incarnation incarnation(++incarnations_);
    process.claims = std::make_unique<ClaimCoordinator>(
            ClaimOwner{DaemonId("agent-" + server.value), server, incarnation});
}

void ClaimSimulation::restart()
{
    const auto index = static_cast<std::ptrdiff_t>(random_() % processes_.size());
    const auto process = std::next(processes_.begin(), index);
    const ServerId server = process->server;
    if (chance(0.5)) {
        // The old incarnation is only paused, and resumes while the new one runs.
        const TimePoint until = now_ + randomUpTo(5000);
        (chance(0.5) ? process->frozenUntil : process->stalledUntil) = until;
    } else {
        for (SimulatedRequest *request : process->requests)
            request->agentCrashed = true;
        processes_.erase(process);
    }
    startProcess(server);
}

void ClaimSimulation::injectRandomEvents()
{
    const AccountKey key{AccountId(chance(0.5) ? "a" : "b"),
                         IdempotencyKey("k" + std::to_string(random_() % 3))};
    const auto index = static_cast<std::ptrdiff_t>(random_() % processes_.size());
    AgentProcess &process = *std::next(processes_.begin(), index);
    if (chance(0.12) && process.frozenUntil <= now_)
        sendRequest(process, key, chance(0.9) ? "digest" : "other digest");
    if (chance(0.01))
        process.frozenUntil = now_ + randomUpTo(3000);
    if (chance(0.01))
        process.stalledUntil = now_ + randomUpTo(3000);
    if (chance(0.01))
        outageUntil_ = now_ + randomUpTo(2000);
    if (chance(0.02))
        restart();
    if (chance(0.1))
        settleUnsettledKeys();
}

void ClaimSimulation::step()
{
    now_ += stepLength;
    runDue(network_, now_);
    for (AgentProcess &process : processes_) {
        if (process.frozenUntil <= now_)
            runEventLoop(process);
    }
}

void ClaimSimulation::runEventLoop(AgentProcess &process)
{
    // Tasks that were queued before a pause run before ticks and records.
    runDue(process.tasks, now_);
    if (process.stalledUntil <= now_) {
        if (!injectingFaults_ || chance(0.5))
            read(process);
        process.claims->onTick(now_);
    }
    if (const auto record = process.claims->appendDue(now_))
        append(process, *record);
}

void ClaimSimulation::append(AgentProcess &process, const ClaimAppend &record)
{
    AppendResult result = PlatformFailure(PlatformUnavailable{});
    const bool outage = outageUntil_ > now_;
    const bool answered = !outage && (!injectingFaults_ || chance(0.75));
    if (!answered && chance(0.6)) {
        // The append takes effect, but its answer is lost. It may take effect up to 2.5 s later,
        // long after the agent saw the failure.
        network_.push_back({now_ + (chance(0.5) ? randomUpTo(40) : randomUpTo(2500)),
                            [this, record] { log_.store(record.recordId, record.body, now_); }});
    }
    if (answered && injectingFaults_ && chance(0.05)) {
        result = PlatformFailure(PlatformRejected{413});
    } else if (answered) {
        log_.store(record.recordId, record.body, now_);
        result = LogOffset(log_.records.size());
    }
    process.tasks.push_back({now_ + randomUpTo(60), [this, &process, record, result] {
                                 process.claims->onAppendResult(record.recordId, result, now_);
                             }});
}

void ClaimSimulation::read(AgentProcess &process)
{
    if (outageUntil_ > now_)
        return;
    const std::size_t end = std::min(process.nextRecord + 5, log_.records.size());
    LogBatch batch{LogOffset(1), LogOffset(end + 1), {}};
    for (; process.nextRecord < end; ++process.nextRecord)
        batch.records.push_back(log_.records[process.nextRecord]);
    process.claims->onBatch(batch, end == log_.records.size(), now_);
}

void ClaimSimulation::sendRequest(AgentProcess &process, const AccountKey &key,
                                  const std::string &digest)
{
    SimulatedRequest &request = requests_.emplace_back();
    request.key = key;
    process.requests.push_back(&request);
    const auto handler = [this, &process, &request](const ClaimDecision &decision) {
        onDecision(process, request, decision);
    };
    const TimePoint deadline = now_ + milliseconds(200) + randomUpTo(1300);
    process.claims->begin({key, digest, deadline}, handler, now_);
}

void ClaimSimulation::onDecision(AgentProcess &process, SimulatedRequest &request,
                                 const ClaimDecision &decision)
{
    ++request.decisions;
    if (const auto *replay = std::get_if<ClaimReplay>(&decision))
        request.answer = replay->answer;
    if (const auto *refused = std::get_if<ClaimRefused>(&decision))
        request.refusal = refused->refusal;
    if (const auto *won = std::get_if<ClaimWon>(&decision)) {
        const ClaimId claim = won->claim;
        process.tasks.push_back({now_ + randomUpTo(200), [this, &process, &request, claim] {
                                     runOrAbandon(process, request, claim);
                                 }});
    }
}

void ClaimSimulation::runOrAbandon(AgentProcess &process, SimulatedRequest &request,
                                   const ClaimId &claim)
{
    if (!process.claims->mayRun(claim, now_) || chance(0.1)) {
        request.refusal = Refusal{RefusalReason::DeadlineExpired, Ran::No};
        process.claims->abandonClaim(claim);
        return;
    }
    request.ran = true;
    ++runs_[request.key];
    const RecordedAnswer answer{
            201, {{"X-Claim", claim.value}}, claim.value + std::string("\x80\xff\0\"", 4)};
    answers_[request.key] = answer;
    const bool known = chance(0.8);
    process.tasks.push_back({now_ + randomUpTo(300), [&process, &request, claim, answer, known] {
                                 if (known) {
                                     request.answer = answer;
                                     process.claims->recordOutcome(claim, answer);
                                     return;
                                 }
                                 request.refusal = Refusal{RefusalReason::ServerLost, Ran::Unknown};
                                 process.claims->recordUnknownOutcome(claim);
                             }});
}

void ClaimSimulation::settleUnsettledKeys()
{
    for (const LogRecord &record : log_.records)
        operatorState_.apply(record);
    for (const UnsettledKey &unsettled : operatorState_.unsettledKeys()) {
        if (now_.time_since_epoch() < unsettled.state.mayRunUntil.time_since_epoch())
            continue;
        const bool ran = runs_[unsettled.key] > 0;
        const std::string body = settlementRecordBody(unsettled.key, unsettled.state.claim, ran);
        const std::string id = "operator-" + std::to_string(++settlements_);
        network_.push_back(
                {now_ + randomUpTo(500), [this, id, body] { log_.store(id, body, now_); }});
    }
}

void ClaimSimulation::recover()
{
    injectingFaults_ = false;
    outageUntil_ = now_;
    for (AgentProcess &process : processes_) {
        process.frozenUntil = now_;
        process.stalledUntil = now_;
    }
    for (int i = 0; i < 150; ++i)
        step();
    for (AgentProcess &process : processes_) {
        if (process.claims->isFenced())
            continue;
        const AccountKey newKey{AccountId("late"), IdempotencyKey(process.server.value)};
        sendRequest(process, newKey, "digest");
    }
    for (int i = 0; i < 50; ++i)
        step();
}

void ClaimSimulation::check()
{
    std::map<AccountKey, bool> allRefusedNotRun;
    for (const SimulatedRequest &request : requests_) {
        checkRequest(request);
        const bool notRun = request.refusal && request.refusal->ran == Ran::No;
        auto [all, added] = allRefusedNotRun.try_emplace(request.key, true);
        all->second = all->second && notRun;
        if (request.key.account == AccountId("late") && !request.ran && !request.refusal)
            violations_.emplace_back("agent does not run a new key after recovery");
    }
    for (const auto &[key, notRun] : allRefusedNotRun) {
        if (runs_[key] > 1)
            violations_.push_back("ran " + std::to_string(runs_[key]) + " times: " + key.key.value);
        if (notRun && runs_[key] > 0)
            violations_.push_back("every request was refused as not run, but it ran: "
                                  + key.key.value);
    }
    for (const AgentProcess &process : processes_)
        checkProcess(process);
}

void ClaimSimulation::checkProcess(const AgentProcess &process)
{
    if (process.claims->pendingEntries() != 0)
        violations_.emplace_back("entries are still pending after the end of all outages");
    for (const auto &[key, runs] : runs_) {
        // By now the log has the outcome or the void entry of each claim of a live agent.
        if (process.claims->claimState().state(key).phase == KeyPhase::Claimed)
            violations_.push_back("a claim still holds its key: " + key.key.value);
    }
}

void ClaimSimulation::checkRequest(const SimulatedRequest &request)
{
    const int runs = runs_[request.key];
    if (request.decisions > 1 || (request.decisions == 0 && !request.agentCrashed))
        violations_.push_back("request decided " + std::to_string(request.decisions) + " times");
    if (request.refusal && request.refusal->ran == Ran::No && request.ran)
        violations_.emplace_back("request refused as not run, but it ran");
    if (request.refusal && request.refusal->ran == Ran::Yes && runs == 0)
        violations_.emplace_back("request refused as ran, but it did not");
    if (!request.answer)
        return;
    const auto parts = [](const RecordedAnswer &answer) {
        return std::tie(answer.status, answer.headers, answer.body);
    };
    if (runs == 0 || parts(*request.answer) != parts(answers_[request.key]))
        violations_.emplace_back("answer differs from that of the run");
}

// Guards against a key whose request runs twice, a refusal as "not run" although the request ran or
// runs later, and an answer that changes, under any interleaving of log faults, agent crashes and
// pauses, repeated requests and settlements by the operator.
TEST_CASE("claims, seeded random histories, each key runs at most once and every refusal is true")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        const std::vector<std::string> violations = ClaimSimulation(seed).run();
        if (violations.empty())
            continue;
        CAPTURE(seed, violations);
        FAIL("a simulated history violates an invariant");
    }
}
