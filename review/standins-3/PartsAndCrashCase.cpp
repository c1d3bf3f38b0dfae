// Prompts of many parts, whose servers crash. Broken if requests to other servers, which answer at
// once, have no answer half a second after their route's timeout.

#include "Case.h"

using namespace review;

namespace {

constexpr int modelServers = 8;
// A quarter of them, as in the site file.
constexpr int crashingServers = 2;
constexpr int strangers = 500;
// In heads below 16,384 bytes, the limit of the configuration.
constexpr int partsPerPrompt = 1800;
constexpr int lookupClients = 60;
constexpr std::int64_t lookupIntervalMs = 500;
constexpr std::int64_t timeoutMs = 1500;
constexpr std::int64_t lateMs = timeoutMs + 500;
// The rule on requests that last longer than their timeout counts from eight on.
constexpr int leastUnanswered = 8;
constexpr std::int64_t strangersAtMs = 2000;
constexpr std::int64_t strangerIntervalMs = 10;
constexpr std::int64_t crashAtMs = 9000;
constexpr std::int64_t endAtMs = 20000;

const std::string configuration =
        R"({"version":1,"routes":[{"name":"chat","hostname":"a.example","path_prefix":"/chat/",)"
        R"("route_kind":"streaming","timeout_ms":30000,"slo_ms":10000,"priority":1,)"
        R"("service":"pool","max_attempts":1,"public":true,"sticky":true,"resumable":false,)"
        R"("gap_slo_ms":500},{"name":"lookup","hostname":"a.example","path_prefix":"/lookup/",)"
        R"("route_kind":"safe","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"desk",)"
        R"("max_attempts":2,"public":true,"sticky":false,"resumable":false}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":630,)"
        R"("protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":789097}},)"
        R"({"name":"desk","health_path":"/healthz","max_conns":630,"protocol":"h1",)"
        R"("tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1600000},)"
        R"("tenants":[]})";

std::string strangersRequest(int stranger)
{
    std::string prompt;
    for (int i = 0; i < partsPerPrompt; ++i) {
        char part[32];
        std::snprintf(part, sizeof(part), "%x:1,", stranger * partsPerPrompt + i);
        prompt += part;
    }
    prompt.pop_back();
    return "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: stranger-"
           + std::to_string(stranger)
           + "\r\nX-Lovagecourse-Deadline-Ms: 30000\r\nX-Lovagecourse-Model: m\r\n"
             "X-Lovagecourse-Token-Usage: 1800,80\r\nX-Lovagecourse-Prompt-Prefix: "
           + prompt + "\r\nContent-Length: 2\r\n\r\nhi";
}

} // namespace

int main(int argc, char **argv)
{
    const CaseSetting setting = caseSetting(argc, argv);
    Record record(setting.record);
    Store store;
    store.put("keyed.op", "config", configuration);
    std::atomic<int> held{0};
    // Reads its prompt until the connection ends.
    const auto answerModel = [&](AppServer &, Connection &connection, const Message &) {
        ++held;
        while (!connection.hasEnded())
            connection.receive(Clock::now() + milliseconds(500));
        return false;
    };
    const auto answerDesk = [](AppServer &server, Connection &connection, const Message &request) {
        sleepMs(30);
        return server.sendWhole(connection, request, 200, "found");
    };
    std::vector<std::unique_ptr<AppServer>> servers;
    for (int i = 1; i <= modelServers; ++i)
        servers.push_back(std::make_unique<AppServer>(store, "pool-" + std::to_string(i),
                                                      AppServer::Place{"pool", "zone-a", "v1", 128},
                                                      answerModel));
    for (int i = 1; i <= 3; ++i)
        servers.push_back(std::make_unique<AppServer>(store, "desk-" + std::to_string(i),
                                                      AppServer::Place{"desk", "zone-a", "v1", 128},
                                                      answerDesk));
    for (const auto &server : servers) {
        if (!server->start())
            return notRun;
    }
    Router router(setting.root, setting.folder, "router-1", store.port());
    router.start();
    if (!router.waitReady(15000))
        return notRun;
    sleepMs(1000);
    const auto start = Clock::now();
    std::atomic<int> asked{0};
    std::atomic<int> unanswered{0};
    std::atomic<int> late{0};
    std::vector<std::thread> clients;
    clients.reserve(lookupClients);
    for (int i = 0; i < lookupClients; ++i)
        clients.emplace_back([&, i] {
            sleepMs(i * lookupIntervalMs / lookupClients);
            while (elapsedMs(start) < endAtMs) {
                const std::int64_t sentAt = elapsedMs(start);
                const int number = ++asked;
                const CallResult result =
                        call(router.callers(),
                             "GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Lovagecourse-Attempt-Id: lookup-"
                                     + std::to_string(number)
                                     + "\r\nX-Lovagecourse-Deadline-Ms: 1500\r\n\r\n",
                             milliseconds(lateMs + 8000));
                if (!result.isUnconnected && result.tookMs > timeoutMs) {
                    ++unanswered;
                    late += result.tookMs > lateMs ? 1 : 0;
                    record.write("lookup-", number, " sent at ", sentAt, ": ", result.status,
                                 " after ", result.tookMs, " ms");
                }
                sleepMs(std::max<std::int64_t>(0, lookupIntervalMs - result.tookMs));
            }
        });
    sleepMs(strangersAtMs);
    std::vector<std::unique_ptr<Connection>> connections;
    connections.reserve(strangers);
    for (int i = 0; i < strangers; ++i) {
        connections.push_back(Connection::open(router.callers(), milliseconds(1000)));
        if (connections.back())
            connections.back()->send(strangersRequest(i));
        sleepMs(strangerIntervalMs);
    }
    while (elapsedMs(start) < crashAtMs)
        sleepMs(20);
    record.write("requests of strangers at model servers: ", held.load());
    if (setting.hasTrouble) {
        std::vector<std::thread> crashes;
        crashes.reserve(crashingServers);
        for (int i = 0; i < crashingServers; ++i)
            crashes.emplace_back([&, i] { servers[static_cast<std::size_t>(i)]->crash(); });
        for (std::thread &crash : crashes)
            crash.join();
        record.write("model servers crashed: ", crashingServers);
    }
    for (std::thread &client : clients)
        client.join();
    const bool hasEnded = router.endStatus().has_value();
    connections.clear();
    record.write("lookups ", asked.load(), ", without an answer at their timeout ",
                 unanswered.load(), ", of these half a second later ", late.load());
    const bool isBroken = late >= leastUnanswered && 2 * late > unanswered;
    record.write(isBroken ? "broken" : "held");
    router.kill();
    if (hasEnded)
        return notRun;
    return isBroken ? ruleBroken : ruleHeld;
}
