#include "direct/ServerPool.h"
#include "fairness/AccountLedger.h"
#include "fairness/FairnessHome.h"
#include "fairness/HomePlacement.h"
#include "scheduling/OfferQueue.h"
#include "wire/Codec.h"
#include "wire/ReportHash.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <new>
#include <string>

namespace {

/// Bytes in live allocations, including the allocator's rounding.
std::size_t liveBytes = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    liveBytes -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

using namespace lovagecourse;

namespace {

const TimePoint start{std::chrono::hours(1)};

void print(const std::string &figure, std::size_t size, double value, const std::string &unit)
{
    std::cout << R"({"figure":")" << figure << R"(","size":)" << size << R"(,"value":)" << value
              << R"(,"unit":")" << unit << "\"}\n";
}

/// Prints the mean time of one call in nanoseconds.
template <class Call>
void measure(const std::string &figure, std::size_t size, int rounds, Call call)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        call(i);
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    print(figure, size, spent.count() / rounds, "ns");
}

FlowId flowOf(std::size_t number)
{
    return {AccountId("client-account-" + std::to_string(number)), ServiceId("model-endpoint")};
}

/// One decision takes an offer, charges its work and adds a new offer of the same flow.
void measureTakeNext(std::size_t flows)
{
    OfferQueue queue{OfferQueueOptions{}};
    AccountLedger ledger;
    std::uint64_t lastOffer = 0;
    const auto add = [&](const FlowId &flow, TimePoint now) {
        Offer offer;
        offer.offer = OfferId(++lastOffer);
        offer.flow = flow;
        offer.deadlineMs = 3600000;
        queue.add(OfferKey{1, offer.offer}, offer, now);
    };
    for (std::size_t i = 0; i < flows; ++i) {
        add(flowOf(i), start);
        ledger.charge(flowOf(i), Share(1), Work(static_cast<double>(i % 100)), start);
    }
    const auto position = [&](const FlowId &flow) { return ledger.position(flow, Share(1)); };
    // The decisions are 1 ms apart, so that every 100th looks up the positions of all flows.
    measure("takeNext with charge and add", flows, 20000, [&](int round) {
        const TimePoint now = start + milliseconds(round);
        const auto taken = queue.takeNext(now, SlotState{8}, position);
        ledger.charge(taken->offer.flow, Share(1), Work(100), now);
        add(taken->offer.flow, now);
    });
}

void measureLedger(std::size_t flows)
{
    const std::size_t before = liveBytes;
    AccountLedger ledger;
    std::vector<FlowId> ids;
    for (std::size_t i = 0; i < flows; ++i)
        ids.push_back(flowOf(i));
    const std::size_t idBytes = liveBytes - before;
    for (const FlowId &id : ids)
        ledger.charge(id, Share(1), Work(1), start);
    const auto bytes = static_cast<double>(liveBytes - before - idBytes);
    print("ledger memory per flow", flows, bytes / static_cast<double>(flows), "bytes");
    measure("ledger charge", flows, 200000, [&](int round) {
        ledger.charge(ids[static_cast<std::size_t>(round) * 7919 % flows], Share(1), Work(1),
                      start);
    });
    measure("ledger reportsDue of 12 entries", flows, 100,
            [&](int round) { ledger.reportsDue(start + milliseconds(250) * (round + 1), 12); });
}

void measureHome(std::size_t agents)
{
    constexpr std::size_t flows = 75;
    FairnessHome home{DaemonId("entry-1")};
    std::vector<ServiceReport> reports(agents);
    for (std::size_t i = 0; i < agents; ++i) {
        reports[i].agent = DaemonId("agent-of-server-" + std::to_string(i));
        reports[i].incarnation = Incarnation(1);
        reports[i].capacityPerSecond = Work(500);
        for (std::size_t j = 0; j < flows; ++j)
            reports[i].entries.push_back(
                    {flowOf(j), Share(1), Work(1), Position(0), Work(0), true});
    }
    std::size_t before = liveBytes;
    home.apply(reports[0], start);
    print("home memory per flow with one agent", flows,
          static_cast<double>(liveBytes - before) / flows, "bytes");
    before = liveBytes;
    for (const ServiceReport &report : reports)
        home.apply(report, start);
    print("home memory per flow and agent", agents,
          static_cast<double>(liveBytes - before) / static_cast<double>(flows * (agents - 1)),
          "bytes");
    // Simulated time: each agent reports every 250 ms.
    measure("home apply of 75 entries", agents, 5000, [&](int round) {
        ServiceReport &report = reports[static_cast<std::size_t>(round) % agents];
        for (ServiceReportEntry &entry : report.entries)
            entry.cumulative += Work(1);
        home.apply(report, start + std::chrono::microseconds(250000 / agents) * round);
    });
}

void measurePlacement(std::size_t entries)
{
    std::vector<DaemonId> live;
    for (std::size_t i = 0; i < entries; ++i)
        live.emplace_back("entry-" + std::to_string(i));
    const FlowId flow = flowOf(7);
    measure("chooseHome", entries, 20000, [&](int) {
        if (!chooseHome(flow, live))
            std::abort();
    });
}

void measureCodec()
{
    ServiceReport report{DaemonId("agent-1"), Incarnation(1), Position(1), Work(500), {}};
    for (std::size_t i = 0; i < 10; ++i)
        report.entries.push_back({flowOf(i), Share(1), Work(1), Position(0), Work(0), true});
    Offer offer;
    offer.flow = flowOf(1);
    const std::vector<Message> messages{offer};
    const std::string bytes = encodeMessages(messages);
    measure("encodeMessages of one offer", bytes.size(), 50000,
            [&](int) { encodeMessages(messages); });
    measure("decodeMessages of one offer", bytes.size(), 50000,
            [&](int) { decodeMessages(bytes); });
    const Authenticator key("fleet key of the benchmark");
    const Datagram datagram{DatagramHeader{DaemonId("agent-1"), Incarnation(1), 1, 1}, report};
    const std::size_t size = encodeDatagram(key, datagram).size();
    measure("sealDatagram of 10 report entries", size, 50000,
            [&](int) { encodeDatagram(key, datagram); });
}

/// Placement of a request, and a report of another router about ten servers, while 20 routers of
/// the data centre and 4 relays report every server.
void measureServerPool(std::size_t servers)
{
    ServerPool pool{DataCentreId("a")};
    auto configuration = std::make_shared<DirectConfiguration>();
    configuration->services[ServiceId("llm")].cacheTokens = 700000;
    configuration->fleetTokensPerSecond = 1e5 * static_cast<double>(servers);
    pool.setConfiguration(configuration, start);
    std::vector<RouterServerLoad> loads;
    for (std::size_t i = 0; i < servers; ++i) {
        ServerEntry entry;
        entry.id = ServerId("server-" + std::to_string(i));
        entry.service = ServiceId("llm");
        entry.address = Endpoint{"10.0.0.1", 8060};
        entry.slots = 64;
        pool.apply(RegistrationChange{entry.id, entry}, start);
        RouterServerLoad load;
        load.server = reportHash(entry.id.value);
        load.backlogMs = 20;
        load.running = 2;
        loads.push_back(load);
    }
    RouterReport all;
    all.servers = loads;
    for (int router = 0; router < 24; ++router)
        pool.applyReport(DaemonId("router-" + std::to_string(router)), all, router < 20, start);
    RouterReport some;
    some.servers.assign(loads.begin(), loads.begin() + 10);
    measure("ServerPool::applyReport of 10 servers", servers, 20000,
            [&](int) { pool.applyReport(DaemonId("router-1"), some, true, start); });
    measure("ServerPool::choose and onSent", servers, 5000, [&](int round) {
        PlacementRequest request;
        request.service = ServiceId("llm");
        const auto part = static_cast<std::uint64_t>(round % 500);
        request.prompt = makePrefixes(1, {PromptPart{part, 13000}, PromptPart{part + 1000, 4000}});
        request.promptTokens = 17000;
        request.objectiveMs = 600;
        const auto placement = pool.choose(request, start);
        if (!placement)
            std::abort();
        const SendNumber number = pool.onSent(*placement, request.prompt, start);
        pool.onEnded(placement->server, number);
    });
}

} // namespace

int main()
{
    for (const std::size_t flows : {10U, 260U, 2600U})
        measureTakeNext(flows);
    for (const std::size_t flows : {1000U, 10000U, 26000U})
        measureLedger(flows);
    for (const std::size_t agents : {100U, 1000U, 2000U})
        measureHome(agents);
    for (const std::size_t entries : {10U, 100U, 350U})
        measurePlacement(entries);
    measureCodec();
    for (const std::size_t servers : {180U, 2000U})
        measureServerPool(servers);
}
