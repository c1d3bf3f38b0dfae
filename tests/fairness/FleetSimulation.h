#pragma once

#include "fairness/AccountLedger.h"
#include "fairness/FairnessHome.h"
#include "fairness/HomePlacement.h"
#include "scheduling/CostEstimator.h"
#include "scheduling/OfferQueue.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace lovagecourse {

/// Client account of a simulated fleet.
struct SimulatedAccount
{
    double share = 1;
    /// Agent that receives all requests; -1 for all agents.
    int onlyAgent = -1;
    /// Cost hint divided by the cost; 0 for no hints.
    double hintFactor = 1;
    /// Offers waiting at each agent while the account is backlogged.
    int offersPerAgent = 4;
    /// Length of the alternating periods with and without backlog; 0 for a constant backlog.
    milliseconds pause{0};
};

/// Size, load and faults of a simulated fleet.
struct SimulationOptions
{
    unsigned seed = 1;
    int agents = 6;
    int homes = 3;
    int slotsPerAgent = 4;
    double workPerSlotSecond = 100;
    double largestCost = 200;
    double lossRate = 0;
    double repeatRate = 0;
    /// Fraction of messages that are delayed by up to 400 ms, so that newer ones overtake them.
    double lateRate = 0;
    bool killsHomes = false;
    bool restartsAgents = false;
    /// False: agents send no reports, so positions contain only their own service.
    bool exchangesReports = true;
    std::vector<SimulatedAccount> accounts;
};

/// Simulates agents, homes and a lossy network in steps of 5 ms, reproducible by seed.
class FleetSimulation
{
public:
    explicit FleetSimulation(SimulationOptions options)
        : options_(std::move(options))
        , random_(options_.seed)
        , served_(options_.accounts.size())
        , lastServed_(options_.accounts.size())
    {
        for (int i = 0; i < options_.homes; ++i)
            startHome(DaemonId("entry" + std::to_string(i)));
        for (int i = 0; i < options_.agents; ++i) {
            agents_.emplace_back();
            startAgent(agents_.back());
        }
    }

    void run(seconds duration)
    {
        for (const TimePoint end = now_ + duration; now_ < end; now_ += stepLength)
            step();
    }

    /// Largest gap in normalised service between two accounts, as a fraction of their bound.
    double largestGap = 0;
    /// Longest time of an account without service, as a fraction of its bound.
    double longestWait = 0;

private:
    static constexpr milliseconds stepLength{5};

    struct RunningRequest
    {
        FlowId flow;
        std::size_t account;
        std::optional<Work> hint;
        double cost;
        double done = 0;
        /// Estimated cost.
        double expected;
        /// Estimated cost that is not served yet.
        double outstanding;
    };

    struct Agent
    {
        Incarnation incarnation;
        std::unique_ptr<AccountLedger> ledger;
        std::unique_ptr<OfferQueue> queue;
        std::unique_ptr<CostEstimator> estimator;
        std::vector<RunningRequest> running;
        /// Offers waiting in the queue, per account.
        std::vector<int> waiting;
        TimePoint downUntil;
        TimePoint nextReport;
        /// Entries that this agent considers live; follows changes 100 to 600 ms later.
        std::vector<DaemonId> entries;
        TimePoint entriesUpdateDue;
    };

    struct Packet
    {
        TimePoint due;
        bool toHome;
        std::size_t agent;
        DaemonId home;
        ServiceReport report;
        FairTotals totals;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    milliseconds randomTime(int lowest, int highest)
    {
        return milliseconds(std::uniform_int_distribution<int>(lowest, highest)(random_));
    }
    static FlowId flowOf(std::size_t account)
    {
        return {AccountId("account" + std::to_string(account)), ServiceId("model")};
    }
    Share shareOf(std::size_t account) const { return Share(options_.accounts[account].share); }
    double capacity() const
    {
        return options_.agents * options_.slotsPerAgent * options_.workPerSlotSecond;
    }

    void startHome(const DaemonId &id) { homes_.emplace(id, FairnessHome(id)); }

    void startAgent(Agent &agent)
    {
        agent.incarnation = Incarnation(++lastIncarnation_);
        agent.ledger = std::make_unique<AccountLedger>(agent.incarnation);
        agent.queue = std::make_unique<OfferQueue>(OfferQueueOptions{});
        agent.estimator = std::make_unique<CostEstimator>();
        agent.running.clear();
        agent.waiting.assign(options_.accounts.size(), 0);
        agent.nextReport = now_ + randomTime(0, 250);
        agent.entries.clear();
        for (const auto &[id, home] : homes_)
            agent.entries.push_back(id);
    }

    void step()
    {
        injectFaults();
        deliver();
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            if (now_ >= agents_[i].downUntil)
                stepAgent(i);
        }
        measure();
    }

    void injectFaults()
    {
        const double perSecond = std::chrono::duration<double>(stepLength).count();
        if (options_.killsHomes && uniform() < 0.2 * perSecond)
            changeHomes();
        if (options_.restartsAgents && uniform() < 0.3 * perSecond) {
            Agent &agent = agents_[random_() % agents_.size()];
            startAgent(agent);
            agent.downUntil = now_ + milliseconds(300);
        }
    }

    /// Kills one home, which restarts without flows at once or when the next one is killed.
    void changeHomes()
    {
        const DaemonId victim("entry" + std::to_string(random_() % options_.homes));
        const bool restarts = uniform() < 0.5;
        for (int i = 0; i < options_.homes; ++i)
            startHome(DaemonId("entry" + std::to_string(i)));
        homes_.erase(victim);
        if (restarts)
            startHome(victim);
        for (Agent &agent : agents_)
            agent.entriesUpdateDue = now_ + randomTime(100, 600);
    }

    void send(Packet packet)
    {
        const int copies = uniform() < options_.repeatRate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniform() < options_.lossRate)
                continue;
            packet.due = now_ + randomTime(1, 5);
            if (uniform() < options_.lateRate)
                packet.due += randomTime(0, 400);
            packets_.push_back(packet);
        }
    }

    void deliver()
    {
        std::vector<Packet> due;
        for (auto packet = packets_.begin(); packet != packets_.end();) {
            if (packet->due > now_) {
                ++packet;
                continue;
            }
            due.push_back(std::move(*packet));
            packet = packets_.erase(packet);
        }
        for (Packet &packet : due)
            packet.toHome ? deliverReport(packet) : deliverTotals(packet);
    }

    void deliverReport(const Packet &packet)
    {
        const auto home = homes_.find(packet.home);
        if (home == homes_.end())
            return;
        Packet answer = packet;
        answer.toHome = false;
        answer.totals = home->second.apply(packet.report, now_);
        send(std::move(answer));
    }

    void deliverTotals(const Packet &packet)
    {
        Agent &agent = agents_[packet.agent];
        if (now_ >= agent.downUntil)
            agent.ledger->applyTotals(packet.totals, now_);
    }

    void stepAgent(std::size_t index)
    {
        Agent &agent = agents_[index];
        refill(agent, index);
        serve(agent);
        grant(agent);
        if (agent.entriesUpdateDue <= now_) {
            agent.entries.clear();
            for (const auto &[id, home] : homes_)
                agent.entries.push_back(id);
        }
        if (options_.exchangesReports && now_ >= agent.nextReport)
            report(agent, index);
    }

    /// Adds offers of the backlogged accounts.
    void refill(Agent &agent, std::size_t index)
    {
        for (std::size_t i = 0; i < options_.accounts.size(); ++i) {
            const SimulatedAccount &account = options_.accounts[i];
            if (account.onlyAgent >= 0 && static_cast<std::size_t>(account.onlyAgent) != index)
                continue;
            const bool isBacklogged =
                    account.pause.count() == 0 || now_.time_since_epoch() / account.pause % 2 == 0;
            if (!isBacklogged) {
                agent.ledger->setBacklogged(flowOf(i), shareOf(i), agent.waiting[i] > 0, now_);
                continue;
            }
            for (; agent.waiting[i] < account.offersPerAgent; ++agent.waiting[i]) {
                Offer offer;
                offer.offer = OfferId(++lastOffer_);
                offer.flow = flowOf(i);
                offer.deadlineMs = 3600000;
                agent.queue->add(OfferKey{i, offer.offer}, offer, now_);
            }
            agent.ledger->setBacklogged(flowOf(i), shareOf(i), true, now_);
        }
    }

    void serve(Agent &agent)
    {
        const double work =
                options_.workPerSlotSecond * std::chrono::duration<double>(stepLength).count();
        for (RunningRequest &request : agent.running) {
            request.done = std::min(request.cost, request.done + work);
            served_[request.account] += work;
            lastServed_[request.account] = now_;
            agent.ledger->charge(request.flow, shareOf(request.account), Work(work), now_);
            const bool isDone = request.done >= request.cost;
            const double outstanding = isDone ? 0 : std::max(0.0, request.expected - request.done);
            agent.ledger->adjustOutstanding(request.flow, shareOf(request.account),
                                            Work(outstanding - request.outstanding), now_);
            request.outstanding = outstanding;
            if (request.done >= request.cost)
                agent.estimator->onFinished(request.flow, request.hint, Work(request.cost));
        }
        std::erase_if(agent.running,
                      [](const RunningRequest &request) { return request.done >= request.cost; });
    }

    void grant(Agent &agent)
    {
        const auto position = [&agent, this](const FlowId &flow) {
            const auto account = std::stoul(flow.account.value.substr(7));
            return agent.ledger->position(flow, shareOf(account));
        };
        for (;;) {
            const SlotState slots{options_.slotsPerAgent, static_cast<int>(agent.running.size())};
            const auto taken = agent.queue->takeNext(now_, slots, position);
            if (!taken)
                return;
            startRequest(agent, taken->key.link, taken->offer.flow);
        }
    }

    void startRequest(Agent &agent, std::size_t account, const FlowId &flow)
    {
        --agent.waiting[account];
        RunningRequest request;
        request.flow = flow;
        request.account = account;
        // Multiples of the work of one step, so that served work equals the cost exactly.
        const double fraction = uniform() < 0.05 ? 1 : uniform() * 0.3;
        const double unit =
                options_.workPerSlotSecond * std::chrono::duration<double>(stepLength).count();
        request.cost = std::max(1.0, std::floor(fraction * options_.largestCost / unit)) * unit;
        const double factor = options_.accounts[account].hintFactor;
        if (factor > 0)
            request.hint = Work(request.cost * factor);
        request.expected = agent.estimator->estimate(flow, Service{}, request.hint).expected.value;
        request.outstanding = request.expected;
        agent.ledger->adjustOutstanding(flow, shareOf(account), Work(request.outstanding), now_);
        agent.running.push_back(request);
    }

    void report(Agent &agent, std::size_t index)
    {
        agent.nextReport = now_ + milliseconds(250);
        std::map<DaemonId, ServiceReport> reports;
        for (const ServiceReportEntry &entry : agent.ledger->reportsDue(now_, 100)) {
            if (const auto home = chooseHome(entry.flow, agent.entries))
                reports[*home].entries.push_back(entry);
        }
        for (auto &[home, message] : reports) {
            message.agent = DaemonId("agent" + std::to_string(index));
            message.incarnation = agent.incarnation;
            message.virtualTime = agent.ledger->virtualTime();
            message.capacityPerSecond = Work(capacity() / options_.agents);
            send(Packet{now_, true, index, home, message, {}});
        }
    }

    /// Updates largestGap and longestWait; leaves out accounts that pause.
    void measure()
    {
        const double work = capacity() + 2 * options_.largestCost;
        double totalShare = 0;
        for (const SimulatedAccount &account : options_.accounts)
            totalShare += account.share;
        for (std::size_t i = 0; i < served_.size(); ++i) {
            if (options_.accounts[i].pause.count() > 0)
                continue;
            const double share = options_.accounts[i].share;
            // Time in which virtual time advances by the largest gap at full capacity.
            const double waitBound = work / capacity() * totalShare / share;
            const double waited = std::chrono::duration<double>(now_ - lastServed_[i]).count();
            if (lastServed_[i] != TimePoint{})
                longestWait = std::max(longestWait, waited / waitBound);
            for (std::size_t j = 0; j < i; ++j) {
                if (options_.accounts[j].pause.count() > 0)
                    continue;
                const double other = options_.accounts[j].share;
                const double gap = std::abs(served_[i] / share - served_[j] / other);
                largestGap = std::max(largestGap, gap * std::min(share, other) / work);
            }
        }
    }

    SimulationOptions options_;
    std::mt19937 random_;
    TimePoint now_{std::chrono::hours(1)};
    std::map<DaemonId, FairnessHome> homes_;
    std::vector<Agent> agents_;
    std::vector<Packet> packets_;
    std::vector<double> served_;
    std::vector<TimePoint> lastServed_;
    std::uint64_t lastOffer_ = 0;
    std::uint64_t lastIncarnation_ = 0;
};

} // namespace lovagecourse
