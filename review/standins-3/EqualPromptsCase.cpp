// All prompts of a service are about as long. Broken if the routers refuse nearly all of its
// requests, while its servers are idle.

#include "Case.h"

#include <random>

using namespace review;

namespace {

constexpr std::size_t routerCount = 2;
constexpr std::int64_t runMs = 104000;
// Per router. An edge machine of the sheets gets 20 to 1,600 requests a second.
constexpr int chatsPerSecond = 400;
constexpr int lookupsPerSecond = 800;
constexpr int clientsPerKind = 25;
// Every tenth request of the model service, in the control run.
constexpr int reportInterval = 10;

const std::string configuration =
        R"({"version":1,"routes":[{"name":"chat","hostname":"a.example","path_prefix":"/chat/",)"
        R"("route_kind":"streaming","timeout_ms":10000,"slo_ms":500,"priority":1,)"
        R"("service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,)"
        R"("gap_slo_ms":500},{"name":"report","hostname":"a.example","path_prefix":"/report/",)"
        R"("route_kind":"streaming","timeout_ms":8000,"slo_ms":600,"priority":1,)"
        R"("service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,)"
        R"("gap_slo_ms":500},{"name":"lookup","hostname":"a.example","path_prefix":"/lookup/",)"
        R"("route_kind":"safe","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"desk",)"
        R"("max_attempts":2,"public":false,"sticky":false,"resumable":false}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":630,)"
        R"("protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":789097}},)"
        R"({"name":"desk","health_path":"/healthz","max_conns":630,"protocol":"h1",)"
        R"("tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1600000},)"
        R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1}]})";

/// Requests of one kind.
struct KindCounts
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};

    double share() const { return static_cast<double>(served) / std::max(1, asked.load()); }
};

struct Counts
{
    KindCounts chat;
    KindCounts report;
    KindCounts lookup;
};

/// Headers of a prompt whose own part has this many tokens. The own part is new in each request.
std::string promptHeaders(const std::string &shared, int sharedTokens, int number, int ownTokens)
{
    char own[64];
    std::snprintf(own, sizeof(own), "%x:%d", 0x1000000 + number, ownTokens);
    return "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: "
           + std::to_string(sharedTokens + ownTokens)
           + ",80\r\nX-Lovagecourse-Prompt-Prefix: " + shared + ',' + own + "\r\n";
}

/// One client, which sends requests at a steady rate on a kept connection until the end.
class Client
{
public:
    Client(std::uint16_t port, bool isLookup, bool hasReports, std::uint64_t seed, Counts &counts,
           const std::atomic<bool> &isOver)
        : port_(port)
        , isLookup_(isLookup)
        , hasReports_(hasReports)
        , random_(seed)
        , counts_(counts)
        , isOver_(isOver)
        , thread_([this] { run(); })
    {}
    ~Client() { thread_.join(); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

private:
    void run()
    {
        const int perSecond = isLookup_ ? lookupsPerSecond : chatsPerSecond;
        const auto interval = std::chrono::microseconds(1000000 * clientsPerKind / perSecond);
        auto next = Clock::now() + std::chrono::microseconds(random_() % 100000);
        while (!isOver_) {
            std::this_thread::sleep_until(next);
            // A slow machine sends less instead of catching up.
            next = std::max(next + interval, Clock::now());
            send();
        }
    }

    void send()
    {
        static std::atomic<int> lastNumber{0};
        const int number = ++lastNumber;
        const bool isReport = !isLookup_ && hasReports_ && number % reportInterval == 0;
        KindCounts &kind = isLookup_ ? counts_.lookup : isReport ? counts_.report : counts_.chat;
        std::string request = isLookup_  ? "GET /lookup/1"
                              : isReport ? "POST /report/1"
                                         : "POST /chat/1";
        request += " HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: request-"
                   + std::to_string(number) + "\r\nAuthorization: Token key-a\r\n";
        if (isReport)
            request += "X-Lovagecourse-Deadline-Ms: 8000\r\n"
                       + promptHeaders("7a:9000,7b:4300", 13300, number,
                                       1000 + static_cast<int>(random_() % 6000));
        else if (!isLookup_)
            request += "X-Lovagecourse-Deadline-Ms: 10000\r\n"
                       + promptHeaders("5c1e07a2:800,91bd3f06:410", 1210, number,
                                       250 + static_cast<int>(random_() % 250));
        else
            request += "X-Lovagecourse-Deadline-Ms: 1500\r\n";
        request += isLookup_ ? "\r\n" : "Content-Length: 600\r\n\r\n" + std::string(600, 'p');
        if (!connection_)
            connection_ = Connection::open(port_, milliseconds(1000));
        ++kind.asked;
        if (!connection_)
            return;
        const CallResult result = exchange(*connection_, request, milliseconds(3000));
        if (result.status == 200 && result.answer.isWhole)
            ++kind.served;
        else if (result.status == 503)
            ++kind.refused;
        if (!result.answer.isWhole || result.answer.header("connection") == "close")
            connection_.reset();
    }

    std::uint16_t port_;
    bool isLookup_;
    bool hasReports_;
    std::mt19937_64 random_;
    Counts &counts_;
    const std::atomic<bool> &isOver_;
    std::unique_ptr<Connection> connection_;
    std::thread thread_;
};

/// Sound servers that answer after 10 to 20 ms, longer prompts a little later.
bool answerModel(AppServer &server, Connection &connection, const Message &request)
{
    thread_local std::mt19937 random(std::random_device{}());
    const double tokens = std::atof(request.header("x-lovagecourse-token-usage").c_str());
    sleepMs(10 + static_cast<std::int64_t>(random() % 10 + tokens / 1000));
    return connection.send(server.head(200, request)
                           + "Content-Type: text/event-stream\r\n"
                             "X-Lovagecourse-Instance-Load: 1,0,128,100\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n");
}

bool answerDesk(AppServer &server, Connection &connection, const Message &request)
{
    return server.sendWhole(connection, request, 200, "found");
}

} // namespace

int main(int argc, char **argv)
{
    const CaseSetting setting = caseSetting(argc, argv);
    Record record(setting.record);
    Store store;
    store.put("keyed.op", "config", configuration);
    std::vector<std::unique_ptr<AppServer>> servers;
    for (int i = 1; i <= 6; ++i)
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
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < routerCount; ++i) {
        routers.push_back(std::make_unique<Router>(
                setting.root, setting.folder, "router-" + std::to_string(i + 1), store.port()));
        routers.back()->start();
    }
    for (const auto &router : routers) {
        if (!router->waitReady(15000))
            return notRun;
    }
    sleepMs(1000);
    Counts counts;
    std::atomic<bool> isOver{false};
    std::vector<std::unique_ptr<Client>> clients;
    clients.reserve(2 * routerCount * clientsPerKind);
    for (const auto &router : routers) {
        for (int i = 0; i < 2 * clientsPerKind; ++i)
            clients.push_back(std::make_unique<Client>(router->callers(), i % 2 == 0,
                                                       !setting.hasTrouble, clients.size(), counts,
                                                       isOver));
    }
    const auto start = Clock::now();
    int chatsBefore = 0;
    int refusedBefore = 0;
    while (elapsedMs(start) < runMs) {
        sleepMs(5000);
        const int chats = counts.chat.served;
        const int refused = counts.chat.refused;
        record.write("chats in 5 s: served ", chats - chatsBefore, ", refused ",
                     refused - refusedBefore);
        chatsBefore = chats;
        refusedBefore = refused;
    }
    isOver = true;
    clients.clear();
    for (const auto &router : routers) {
        if (router->endStatus() || !router->isReady())
            return notRun;
    }
    const double asked = counts.chat.asked + counts.report.asked + counts.lookup.asked;
    const double served = counts.chat.served + counts.report.served + counts.lookup.served;
    record.write("chats ", counts.chat.share(), " of ", counts.chat.asked.load(), ", reports ",
                 counts.report.share(), " of ", counts.report.asked.load(), ", lookups ",
                 counts.lookup.share(), " of ", counts.lookup.asked.load(), ", all ",
                 served / asked);
    if (counts.lookup.share() < 0.5)
        return notRun;
    const bool isStarved = counts.chat.share() < served / asked / 4;
    record.write(isStarved ? "broken" : "held");
    return isStarved ? ruleBroken : ruleHeld;
}
