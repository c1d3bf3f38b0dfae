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
    /// Agent that all its requests go to; -1 for all agents.
    int onlyAgent = -1;
    /// Hint divided by cost; 0 when it gives no hints.
    double hintFactor = 1;
    /// Offers that it keeps waiting at each agent.
    int offersPerAgent = 4;
    /// Time between the start and the end of its backlog, again and again; 0 for a steady one.
    milliseconds pause{0};
};

/// Faults and size of a simulated fleet.
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
    /// Part of the messages that arrive up to 400 ms late, behind newer ones.
    double lateRate = 0;
    bool killsHomes = false;
    bool restartsAgents = false;
    /// False: positions come from each agent's own service alone.
    bool exchangesReports = true;
    std::vector<SimulatedAccount> accounts;
};

/// Agents, homes and a lossy network in one process; time moves in steps of 5 ms.
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

    /// Largest gap in normalised service, as a part of the bound for its pair.
    double largestGap = 0;
    /// Longest time without service, as a part of the bound for its account.
    double longestWait = 0;

private:
    static constexpr milliseconds stepLength{5};

    struct Running
    {
        FlowId flow;
        std::size_t account;
        std::optional<Work> hint;
        double cost;
        double done = 0;
        double expected;
        double held;
    };

    struct Agent
    {
        Incarnation incarnation;
        std::unique_ptr<AccountLedger> ledger;
        std::unique_ptr<OfferQueue> queue;
        std::unique_ptr<CostEstimator> estimator;
        std::vector<Running> running;
        std::vector<int> waiting;
        TimePoint downUntil;
        TimePoint nextReport;
        /// Home view of this agent; follows the true one 100 to 600 ms late.
        std::vector<DaemonId> entries;
        TimePoint viewDue;
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

    /// Kills one home; it comes back empty at once or when the next one is killed.
    void changeHomes()
    {
        const DaemonId victim("entry" + std::to_string(random_() % options_.homes));
        const bool comesBack = uniform() < 0.5;
        for (int i = 0; i < options_.homes; ++i)
            startHome(DaemonId("entry" + std::to_string(i)));
        homes_.erase(victim);
        if (comesBack)
            startHome(victim);
        for (Agent &agent : agents_)
            agent.viewDue = now_ + randomTime(100, 600);
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
        if (agent.viewDue <= now_) {
            agent.entries.clear();
            for (const auto &[id, home] : homes_)
                agent.entries.push_back(id);
        }
        if (options_.exchangesReports && now_ >= agent.nextReport)
            report(agent, index);
    }

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
        for (Running &request : agent.running) {
            request.done = std::min(request.cost, request.done + work);
            served_[request.account] += work;
            lastServed_[request.account] = now_;
            agent.ledger->charge(request.flow, shareOf(request.account), Work(work), now_);
            const bool isDone = request.done >= request.cost;
            const double held = isDone ? 0 : std::max(0.0, request.expected - request.done);
            agent.ledger->hold(request.flow, shareOf(request.account), Work(held - request.held),
                               now_);
            request.held = held;
            if (request.done >= request.cost)
                agent.estimator->onFinished(request.flow, request.hint, Work(request.cost));
        }
        std::erase_if(agent.running,
                      [](const Running &request) { return request.done >= request.cost; });
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
        Running request;
        request.flow = flow;
        request.account = account;
        // Multiples of what one step serves, so that service is counted exactly.
        const double part = uniform() < 0.05 ? 1 : uniform() * 0.3;
        const double unit =
                options_.workPerSlotSecond * std::chrono::duration<double>(stepLength).count();
        request.cost = std::max(1.0, std::floor(part * options_.largestCost / unit)) * unit;
        const double factor = options_.accounts[account].hintFactor;
        if (factor > 0)
            request.hint = Work(request.cost * factor);
        request.expected = agent.estimator->estimate(flow, Service{}, request.hint).expected.value;
        request.held = request.expected;
        agent.ledger->hold(flow, shareOf(account), Work(request.held), now_);
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

    void measure()
    {
        const double work = capacity() + 2 * options_.largestCost;
        double shares = 0;
        for (const SimulatedAccount &account : options_.accounts)
            shares += account.share;
        for (std::size_t i = 0; i < served_.size(); ++i) {
            if (options_.accounts[i].pause.count() > 0)
                continue;
            const double share = options_.accounts[i].share;
            // Virtual time passes the whole gap within this time at full capacity.
            const double waitBound = work / capacity() * shares / share;
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
