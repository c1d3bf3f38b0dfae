// Many clients read their streams slowly. Broken if the platform has to end the routers' processes
// for their memory, three times each.

#include "Case.h"

#include <deque>

using namespace review;

namespace {

// Two machines: the rule counts a tenth of the machines in use, two at least.
constexpr std::size_t routerCount = 2;
constexpr int endsThatCount = 3;
// Of the small edge machines of caroni-labels-grown.
constexpr long memoryMb = 160;
constexpr int descriptors = 4100;
// Within the 3,900 descriptors that a machine has for sockets, two of them for each request.
constexpr std::size_t clientsPerRouter = 700;
constexpr std::size_t eventBytes = 4000;
constexpr int eventCount = 62;
// A slow client takes one piece of this size per interval.
constexpr std::size_t pieceBytes = 4096;
constexpr std::int64_t slowIntervalMs = 300;
constexpr std::int64_t runMs = 60000;
// After a stream, and after a connection that was closed or refused.
constexpr std::int64_t nextStreamMs = 5000;
constexpr std::int64_t nextTryMs = 1000;
constexpr std::int64_t restartDelayMs = 500;

const std::string configuration =
        R"({"version":1,"routes":[{"name":"report","hostname":"a.example",)"
        R"("path_prefix":"/report/","route_kind":"streaming","timeout_ms":30000,"slo_ms":1000,)"
        R"("priority":1,"service":"pool","max_attempts":2,"public":false,"sticky":true,)"
        R"("resumable":true,"gap_slo_ms":500}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":4000,)"
        R"("protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1600000},)"
        R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1}]})";

/// Clients of one router, served by one thread: each asks for a stream and reads it, slowly or at
/// once. After the end of its stream, or without one, a client comes again.
class Crowd
{
public:
    Crowd(const Router &router, bool isSlow)
        : router_(router)
        , isSlow_(isSlow)
        , clients_(clientsPerRouter)
        , thread_([this] { run(); })
    {}
    ~Crowd()
    {
        isOver_ = true;
        thread_.join();
    }

    std::atomic<int> asked{0};
    std::atomic<int> whole{0};
    /// Streams that ended before their last piece, and connections that were closed without a byte.
    std::atomic<int> cut{0};
    std::atomic<int> unread{0};
    std::atomic<int> refused{0};

private:
    struct Client
    {
        std::unique_ptr<Connection> connection;
        std::string received;
        std::int64_t readAt = 0;
        std::int64_t comesAt = 0;
    };

    void run()
    {
        for (std::size_t i = 0; i < clients_.size(); ++i)
            clients_[i].comesAt = static_cast<std::int64_t>(i) * 3;
        while (!isOver_) {
            const std::int64_t now = elapsedMs(start_);
            for (Client &client : clients_) {
                if (client.connection)
                    read(client, now);
                else if (now >= client.comesAt)
                    ask(client, now);
            }
            sleepMs(5);
        }
    }

    void ask(Client &client, std::int64_t now)
    {
        client.comesAt = now + 500;
        client.connection = Connection::open(router_.callers(), milliseconds(100));
        if (!client.connection)
            return;
        // A client behind a thin link takes little ahead.
        const int size = 4096;
        if (isSlow_)
            setsockopt(client.connection->descriptor(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
        client.received.clear();
        client.readAt = now;
        ++asked;
        client.connection->send(
                "POST /report/1 HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: "
                + router_.name() + '-' + std::to_string(asked)
                + "\r\nX-Lovagecourse-Deadline-Ms: 30000\r\nAuthorization: Token key-a\r\n"
                  "Content-Length: 0\r\n\r\n");
    }

    void read(Client &client, std::int64_t now)
    {
        if (isSlow_ && now < client.readAt)
            return;
        char bytes[pieceBytes];
        for (;;) {
            const ssize_t count =
                    recv(client.connection->descriptor(), bytes, sizeof(bytes), MSG_DONTWAIT);
            if (count < 0 && errno == EAGAIN)
                return;
            client.readAt = now + slowIntervalMs;
            if (count <= 0)
                return end(client, now, client.received.empty() ? unread : cut);
            client.received.append(bytes, static_cast<std::size_t>(count));
            if (client.received.size() > 2 * pieceBytes)
                client.received.erase(0, client.received.size() - 64);
            if (client.received.starts_with("HTTP/1.1 503"))
                return end(client, now, refused);
            if (client.received.ends_with("\r\n0\r\n\r\n"))
                return end(client, now, whole);
            if (isSlow_)
                return;
        }
    }

    void end(Client &client, std::int64_t now, std::atomic<int> &count)
    {
        ++count;
        client.connection.reset();
        client.comesAt = now + (&count == &whole ? nextStreamMs : nextTryMs);
    }

    const Router &router_;
    bool isSlow_;
    std::vector<Client> clients_;
    Clock::time_point start_ = Clock::now();
    std::atomic<bool> isOver_{false};
    std::thread thread_;
};

} // namespace

int main(int argc, char **argv)
{
    const CaseSetting setting = caseSetting(argc, argv);
    Record record(setting.record);
    Store store;
    store.put("keyed.op", "config", configuration);
    std::atomic<int> runs{0};
    const auto answer = [&](AppServer &server, Connection &connection, const Message &request) {
        ++runs;
        if (!connection.send(server.head(200, request)
                             + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n"))
            return false;
        for (int i = 1; i <= eventCount; ++i) {
            const std::string event =
                    "id: " + std::to_string(i) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
            char size[32];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!connection.send(size + event + "\r\n"))
                return false;
        }
        return connection.send("0\r\n\r\n");
    };
    std::vector<std::unique_ptr<AppServer>> servers;
    for (int i = 1; i <= 4; ++i) {
        servers.push_back(std::make_unique<AppServer>(
                store, "pool-" + std::to_string(i), AppServer::Place{"pool", "zone-a", "v1", 2000},
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
    std::vector<std::unique_ptr<Crowd>> crowds;
    crowds.reserve(routerCount);
    for (const auto &router : routers)
        crowds.push_back(std::make_unique<Crowd>(*router, setting.hasTrouble));
    std::vector<int> ends(routerCount, 0);
    std::vector<long> peaks(routerCount, 0);
    const auto start = Clock::now();
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
        sleepMs(20);
    }
    for (std::size_t i = 0; i < routerCount; ++i)
        record.write(routers[i]->name(), ": ended ", ends[i], " times, peak ", peaks[i],
                     " MB; asked ", crowds[i]->asked.load(), ", whole ", crowds[i]->whole.load(),
                     ", refused ", crowds[i]->refused.load(), ", cut ", crowds[i]->cut.load(),
                     ", closed without a byte ", crowds[i]->unread.load());
    record.write("run at servers: ", runs.load());
    crowds.clear();
    routers.clear();
    record.write(isBroken() ? "broken" : "held");
    std::fflush(nullptr);
    // Threads of the servers may still wait for routers that are gone.
    _exit(isBroken() ? ruleBroken : ruleHeld);
}
