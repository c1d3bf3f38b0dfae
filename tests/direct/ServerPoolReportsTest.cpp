#include "direct/ServerPool.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

/// The pools of two routers of data centre "a", of which the first is the relay, and of a router of
/// data centre "b". All know the servers of one service.
struct RelayedLoadFixture
{
    static constexpr int serverCount = 100;

    ServerPool relay{DataCentreId("a")};
    ServerPool member{DataCentreId("a")};
    ServerPool remote{DataCentreId("b")};
    TimePoint now{std::chrono::hours(1)};
    std::vector<PromptPrefix> prompt =
            makePrefixes(1, {PromptPart{10, 10000}, PromptPart{20, 4000}});

    RelayedLoadFixture()
    {
        auto configuration = std::make_shared<DirectConfiguration>();
        ServiceInfo service;
        service.cacheTokens = 500000;
        configuration->services[ServiceId("llm")] = service;
        configuration->fleetTokensPerSecond = serverCount * 100000.;
        for (ServerPool *pool : {&relay, &member, &remote}) {
            pool->setConfiguration(configuration, now);
            for (int i = 0; i < serverCount; ++i) {
                ServerEntry entry;
                entry.id = ServerId("s" + std::to_string(i));
                entry.service = ServiceId("llm");
                entry.address = Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
                entry.dataCentre = DataCentreId("c");
                entry.slots = 64;
                pool->apply(RegistrationChange{entry.id, entry}, now);
            }
        }
        relay.setRelaying(true);
    }

    PlacementRequest request() const
    {
        PlacementRequest result;
        result.service = ServiceId("llm");
        result.prompt = prompt;
        result.promptTokens = 14000;
        result.objectiveMs = 500;
        return result;
    }

    Placement send(ServerPool &pool)
    {
        const auto placement = pool.choose(request(), now);
        REQUIRE(placement);
        pool.onSent(*placement, prompt, now);
        return *placement;
    }

    /// Prediction of a pool for the request at one server.
    Placement predict(const ServerPool &pool, const ServerId &server) const
    {
        PlacementRequest only = request();
        for (int i = 0; i < serverCount; ++i)
            only.excluded.insert(ServerId("s" + std::to_string(i)));
        only.excluded.erase(server);
        const auto placement = pool.choose(only, now);
        REQUIRE(placement);
        return *placement;
    }

    void relayToRemote(bool onlyUnrelayed)
    {
        for (DataCentreReport &report : relay.makeDataCentreReports(onlyUnrelayed, now)) {
            report.dataCentre = DataCentreId("a");
            report.relay = DaemonId("a1");
            remote.applyReport(report, now);
        }
    }

    void reportToRelay()
    {
        for (const RouterReport &report : member.makeReports(true, now))
            relay.applyReport(DaemonId("a2"), report, true, now);
    }
};

} // namespace

// Guards against routers of different data centres that all choose the same idle server, and that
// let the same prefix be read by several servers.
TEST_CASE_METHOD(RelayedLoadFixture,
                 "server pool, relay reports, other data centre knows load and prefixes")
{
    const Placement first = send(member);
    reportToRelay();
    CHECK(relay.hasUnrelayedLoad());
    relayToRemote(true);
    CHECK_FALSE(relay.hasUnrelayedLoad());
    const Placement seen = predict(remote, first.server);
    CHECK(seen.cachedTokens == 10000);
    CHECK(seen.prediction.waitMs == Approx(first.prediction.prefillMs).margin(1));
    // While the server is busy the request goes elsewhere, later it goes to the cached prefix.
    CHECK(remote.choose(request(), now)->server != first.server);
    now += milliseconds(200);
    CHECK(remote.choose(request(), now)->server == first.server);
}

// Guards against load that counts twice or is left out when the relay sends too.
TEST_CASE_METHOD(RelayedLoadFixture, "server pool, relay and member send, sum contains both once")
{
    const Placement own = send(relay);
    reportToRelay();
    relayToRemote(true);
    relayToRemote(false);
    relayToRemote(false);
    CHECK(predict(remote, own.server).prediction.waitMs
          == Approx(own.prediction.prefillMs).margin(1));
    const Placement other = send(member);
    reportToRelay();
    relayToRemote(false);
    double sum = predict(remote, own.server).prediction.waitMs;
    if (other.server != own.server)
        sum += predict(remote, other.server).prediction.waitMs;
    CHECK(sum == Approx(own.prediction.prefillMs + other.prediction.prefillMs).margin(2));
}

// Guards against reports that exceed a datagram when many servers are busy.
TEST_CASE_METHOD(RelayedLoadFixture, "server pool, many servers busy, reports are split")
{
    std::size_t sends = 0;
    for (std::uint64_t part = 0; part < 90; ++part, ++sends) {
        prompt = makePrefixes(1, {PromptPart{100 + part, 10000}, PromptPart{1000 + part, 4000}});
        send(relay);
    }
    std::size_t servers = 0;
    std::size_t prefixes = 0;
    for (const DataCentreReport &report : relay.makeDataCentreReports(false, now)) {
        CHECK(report.servers.size() <= 40);
        CHECK(report.prefixes.size() <= 24);
        servers += report.servers.size();
        prefixes += report.prefixes.size();
    }
    CHECK(servers > 40);
    CHECK(prefixes == sends);
}
