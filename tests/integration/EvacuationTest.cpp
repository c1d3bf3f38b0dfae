#include "integration/Fleet.h"
#include "integration/RouterHost.h"
#include "wire/DatagramSocket.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace lovagecourse::test;
using namespace std::chrono_literals;
using lovagecourse::DataCentreId;
using lovagecourse::EvacuatedDataCentres;
using lovagecourse::LogOffset;

namespace {

// Within it, the router must have read a record of an evacuation.
constexpr auto evacuationLimit = 5000ms;
constexpr auto changeLimit = 10s;
// Of the store at its start.
constexpr std::uint64_t storeEra = 1;

/// Sends one request; returns the status, or 0 without an answer.
int sendRequest(const RouterHost &host)
{
    LoopbackConnection connection(host.callers());
    RawMessage answer;
    const bool isAnswered =
            connection.isOpen()
            && connection.send(requestHead("/plain/x") + "Content-Length: 5\r\n\r\nhello")
            && readMessage(connection, answer, 5s);
    return isAnswered ? answer.status() : 0;
}

bool waitForLog(const RouterHost &host, const std::string &text, std::chrono::milliseconds limit)
{
    return waitUntil(limit, [&] { return host.log().find(text) != std::string::npos; });
}

/// Sends a datagram to the router as another router does.
void sendDatagram(const RouterHost &host, lovagecourse::Message message)
{
    lovagecourse::EventLoop loop;
    const lovagecourse::SystemClock clock;
    lovagecourse::Metrics metrics;
    const lovagecourse::Authenticator key(RouterHost::fleetKey);
    lovagecourse::Hello hello;
    hello.daemon = lovagecourse::DaemonId("router-2");
    hello.incarnation = lovagecourse::Incarnation(
            static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
    const auto own = lovagecourse::parseEndpoint(Fleet::freeEndpoint());
    const auto target = lovagecourse::parseEndpoint(host.datagrams());
    REQUIRE((own && target));
    const lovagecourse::WireContext context{loop, clock, metrics, key, hello, nullptr};
    auto socket = lovagecourse::DatagramSocket::open(
            context, *own, [](const lovagecourse::DaemonId &, lovagecourse::Message &&) {});
    REQUIRE(socket.index() == 0);
    std::get<0>(socket)->send(*target, std::move(message));
}

} // namespace

// Guards against requests to an evacuated data centre from a router that can't read the record, and
// against a late datagram that ends the evacuation.
TEST_CASE("evacuation, told by another router, sends stop")
{
    std::atomic<int> arrivals = 0;
    RouterHost host(maxMemoryMb, [&](LoopbackConnection &connection, RawMessage &request) {
        ++arrivals;
        return answerOk(connection, request);
    });
    CHECK(sendRequest(host) == 200);
    CHECK(arrivals == 1);
    sendDatagram(host, EvacuatedDataCentres{storeEra, LogOffset(50), {DataCentreId("zone-a")}});
    REQUIRE(waitForLog(host, "event=evacuated data_centre=zone-a", evacuationLimit));
    sendDatagram(host, EvacuatedDataCentres{storeEra, LogOffset(49), {}});
    REQUIRE(waitUntil(changeLimit, [&] {
        return host.metric("lovagecourse_evacuation_reports_total{reason=\"outdated\"}") == 1;
    }));
    CHECK(sendRequest(host) == 503);
    CHECK(arrivals == 1);
    sendDatagram(host, EvacuatedDataCentres{storeEra, LogOffset(51), {}});
    REQUIRE(waitForLog(host, "event=evacuation-over data_centre=zone-a", changeLimit));
    CHECK(sendRequest(host) == 200);
}

// Guards against requests to an evacuated data centre, against an evacuation that does not end, and
// against a burst to servers that had no requests meanwhile.
TEST_CASE("evacuation, record written and deleted, sends stop and return slowly")
{
    std::atomic<int> arrivals = 0;
    RouterHost host(
            maxMemoryMb,
            [&](LoopbackConnection &connection, RawMessage &request) {
                ++arrivals;
                return answerOk(connection, request);
            },
            R"(,"cold_s":2.0,"cold_per_s":4.0)");
    CHECK(sendRequest(host) == 200);
    CHECK(arrivals == 1);

    host.writeOperatorRecord("evacuate/zone-a", "{}");
    REQUIRE(waitForLog(host, "event=evacuated data_centre=zone-a", evacuationLimit));
    CHECK(host.metric("lovagecourse_evacuated_data_centres") == 1);
    for (int i = 0; i < 20; ++i)
        CHECK(sendRequest(host) == 503);
    CHECK(arrivals == 1);

    host.writeOperatorRecord("evacuate/zone-a", "");
    REQUIRE(waitForLog(host, "event=evacuation-over data_centre=zone-a", changeLimit));
    REQUIRE(waitForLog(host, "event=server-warming server=pool-1", changeLimit));
    CHECK(host.metric("lovagecourse_evacuated_data_centres") == 0);
    // While it warms up, most requests are rejected: 4 a second of 20.
    int served = 0;
    int rejected = 0;
    while (host.log().find("event=server-warm server=pool-1") == std::string::npos) {
        const int status = sendRequest(host);
        served += status == 200 ? 1 : 0;
        rejected += status == 503 ? 1 : 0;
        REQUIRE(served + rejected < 400);
        std::this_thread::sleep_for(50ms);
    }
    CHECK(served > 0);
    CHECK(rejected > served);
    CHECK(arrivals == 1 + served);
    // Afterwards it gets all of them.
    for (int i = 0; i < 20; ++i)
        CHECK(sendRequest(host) == 200);
    CHECK(host.metric("lovagecourse_warming_ended_total") == 1);
}
