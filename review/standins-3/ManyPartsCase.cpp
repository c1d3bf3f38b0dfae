// Prompts of many parts. Broken if the platform has to end the routers' processes for their memory,
// three times each.

#include "Case.h"

#include <random>

using namespace review;

namespace {

// Two machines: the rule counts a tenth of the machines in use, two at least.
constexpr std::size_t routerCount = 2;
constexpr int endsThatCount = 3;
// Of the smaller edge machines of the grown sites.
constexpr long memoryMb = 160;
constexpr int descriptors = 4100;
constexpr std::size_t clientsPerRouter = 12;
// With these parts the header stays below 10,000 bytes; max_header_bytes is 16,384.
constexpr int mostParts = 800;
constexpr int fewestParts = 600;
constexpr int usualParts = 3;
constexpr std::int64_t runMs = 95000;
constexpr std::int64_t restartDelayMs = 300;

const std::string configuration =
        R"({"version":1,"routes":[{"name":"chat","hostname":"a.example","path_prefix":"/chat/",)"
        R"("route_kind":"streaming","timeout_ms":10000,"slo_ms":3000,"priority":1,)"
        R"("service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,)"
        R"("gap_slo_ms":500}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":630,)"
        R"("protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":789097}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1600000},)"
        R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1}]})";

struct Counts
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
};

/// Sends one request after the other on a kept connection.
void runClient(const Router &router, bool hasManyParts, std::uint64_t seed, Counts &counts,
               const std::atomic<bool> &isOver)
{
    static std::atomic<std::uint32_t> lastPart{0};
    std::mt19937_64 random(seed);
    std::unique_ptr<Connection> connection;
    while (!isOver) {
        if (!connection)
            connection = Connection::open(router.callers(), milliseconds(500));
        if (!connection) {
            sleepMs(20);
            continue;
        }
        const int parts =
                hasManyParts ? fewestParts + static_cast<int>(random() % (mostParts - fewestParts))
                             : usualParts;
        // Lengths of prompts differ as on the sheets.
        const int mostTokens = hasManyParts ? 1 + static_cast<int>(random() % 20)
                                            : 200 + static_cast<int>(random() % 4000);
        std::string prompt;
        int tokens = 0;
        for (int i = 0; i < parts; ++i) {
            const int own = 1 + static_cast<int>(random() % mostTokens);
            char part[64];
            std::snprintf(part, sizeof(part), "%x:%d,", ++lastPart, own);
            prompt += part;
            tokens += own;
        }
        prompt.pop_back();
        const int number = ++counts.asked;
        const CallResult result = exchange(
                *connection,
                "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: "
                        + router.name() + '-' + std::to_string(number)
                        + "\r\nX-Lovagecourse-Deadline-Ms: 10000\r\nAuthorization: Token key-a\r\n"
                          "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: "
                        + std::to_string(tokens) + ",80\r\nX-Lovagecourse-Prompt-Prefix: " + prompt
                        + "\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'p'),
                milliseconds(11000));
        if (result.status == 200 && result.answer.isWhole)
            ++counts.served;
        else if (result.status == 503)
            ++counts.refused;
        if (!result.answer.isWhole || result.answer.header("connection") == "close")
            connection.reset();
    }
}

} // namespace

int main(int argc, char **argv)
{
    const CaseSetting setting = caseSetting(argc, argv);
    Record record(setting.record);
    Store store;
    store.put("keyed.op", "config", configuration);
    const auto answer = [](AppServer &server, Connection &connection, const Message &request) {
        return connection.send(server.head(200, request)
                               + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n");
    };
    std::vector<std::unique_ptr<AppServer>> servers;
    for (int i = 1; i <= 6; ++i) {
        servers.push_back(std::make_unique<AppServer>(store, "pool-" + std::to_string(i),
                                                      AppServer::Place{"pool", "zone-a", "v1", 128},
                                                      answer));
        if (!servers.back()->start())
            return notRun;
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < routerCount; ++i) {
        routers.push_back(std::make_unique<Router>(
                setting.root, setting.folder, "router-" + std::to_string(i + 1), store.port(),
                std::map<std::string, std::string>{
                        {"limits.memory_mb", std::to_string(memoryMb)},
                        {"limits.max_fds", std::to_string(descriptors)}}));
        routers.back()->start();
    }
    for (const auto &router : routers) {
        if (!router->waitReady(15000))
            return notRun;
    }
    sleepMs(1500);
    Counts counts;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> clients;
    clients.reserve(routerCount * clientsPerRouter);
    for (const auto &router : routers) {
        for (std::size_t i = 0; i < clientsPerRouter; ++i)
            clients.emplace_back([&, seed = clients.size()] {
                runClient(*router, setting.hasTrouble, seed, counts, isOver);
            });
    }
    std::vector<int> ends(routerCount, 0);
    std::vector<long> peaks(routerCount, 0);
    const auto start = Clock::now();
    std::int64_t nextLine = 0;
    const auto isBroken = [&] {
        return std::all_of(ends.begin(), ends.end(),
                           [](int count) { return count >= endsThatCount; });
    };
    while (elapsedMs(start) < runMs && !isBroken()) {
        for (std::size_t i = 0; i < routerCount; ++i) {
            const long memory = memoryOf(routers[i]->process());
            peaks[i] = std::max(peaks[i], memory);
            const bool hasEnded = routers[i]->endStatus().has_value();
            if (!hasEnded && memory <= memoryMb)
                continue;
            ++ends[i];
            record.write(routers[i]->name(), " holds ", memory, " MB of ", memoryMb,
                         " and is ended, for the ", ends[i], ". time");
            routers[i]->kill();
            sleepMs(restartDelayMs);
            routers[i]->start();
        }
        if (elapsedMs(start) >= nextLine) {
            nextLine += 5000;
            record.write("memory in MB: ", memoryOf(routers[0]->process()), ", ",
                         memoryOf(routers[1]->process()), "; asked ", counts.asked.load(),
                         ", served ", counts.served.load(), ", refused ", counts.refused.load());
        }
        sleepMs(50);
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    for (std::size_t i = 0; i < routerCount; ++i)
        record.write(routers[i]->name(), ": ended ", ends[i], " times, peak ", peaks[i], " MB");
    record.write("asked ", counts.asked.load(), ", served ", counts.served.load(), ", refused ",
                 counts.refused.load());
    record.write(isBroken() ? "broken" : "held");
    return isBroken() ? ruleBroken : ruleHeld;
}
