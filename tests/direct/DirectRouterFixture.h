#pragma once

#include "direct/DirectRouter.h"

#include "direct/ScriptedServer.h"
#include "platform/HeaderCodec.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lovagecourse::test {

/// Answer as the caller received it.
struct CallerAnswer
{
    bool isDone = false;
    bool isComplete = false;
    int status = 0;
    BodyFraming framing = BodyFraming::Length;
    HeaderList headers;
    std::string body;
};

/// A direct router between callers and scripted servers in one event loop.
struct DirectRouterFixture
{
    EventLoop loop;
    SystemClock clock;
    Metrics metrics;
    HttpClient serverSide{loop};
    HttpClient callerSide{loop};
    platform::HeaderCodec codec;
    ServerPool pool{DataCentreId("a")};
    FairShares shares;
    CrashTraits crashTraits;
    std::vector<TraitCrash> reportedCrashes;
    std::vector<TraitHash> reportedClears;
    ResumableStreams streams{loop, clock, metrics, DaemonId("router"),
                             [] { return std::size_t(1); }};
    /// Set by limitMemory().
    std::unique_ptr<MemoryAccount> memory;
    std::unique_ptr<DirectRouter> router;
    std::unique_ptr<HttpGateway> gateway;
    Endpoint callers;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    /// Registrations of the servers above.
    std::vector<ServerEntry> entries;
    /// Delay of the event loop at the arrival of each request.
    milliseconds loopDelay{0};
    std::shared_ptr<DirectConfiguration> configuration = std::make_shared<DirectConfiguration>();

    DirectRouterFixture()
    {
        streams.setServersReader([](const auto &onRead) { onRead(true); });
        makeRouter();
        HttpGateway::Handlers handlers;
        handlers.onRequest = [this](CallerRequest &&request) {
            std::this_thread::sleep_for(loopDelay);
            router->onRequest(std::move(request));
        };
        handlers.onCallerLeft = [this](CallerId caller) { router->onCallerLeft(caller); };
        handlers.onConsumed = [this](CallerId caller, std::size_t bytes) {
            router->onConsumed(caller, bytes);
        };
        for (unsigned attempt = 0; !gateway && attempt < 100; ++attempt) {
            callers = Endpoint{"127.0.0.1",
                               static_cast<std::uint16_t>(23100 + (getpid() + attempt * 7) % 900)};
            auto opened = HttpGateway::open(loop, metrics, callers, GatewayLimits{}, handlers);
            if (auto *ready = std::get_if<std::unique_ptr<HttpGateway>>(&opened))
                gateway = std::move(*ready);
        }
        REQUIRE(gateway);
        router->setGateway(*gateway);
        addRoute("/safe/", RequestKind::Safe, 2);
        addRoute("/unsafe/", RequestKind::Unsafe, 1);
        addRoute("/stream/", RequestKind::Stream, 1);
        addRoute("/resume/", RequestKind::ResumableStream, 2);
        configuration->hasAccounts = true;
        configuration->accounts["secret"] = AccountId("museum");
        configure();
    }

    void makeRouter()
    {
        router = std::make_unique<DirectRouter>(DirectContext{
                loop, clock, metrics, serverSide, codec, pool, shares,
                RetryLimits{0.2, 50, seconds(10)}, [] { return std::size_t(1); }, crashTraits,
                [this](const TraitCrash &crash) { reportedCrashes.push_back(crash); },
                [this](TraitHash trait) { reportedClears.push_back(trait); }, streams,
                memory.get()});
    }

    /// Replaces the router by one that counts its buffered answers.
    void limitMemory(std::size_t bytes)
    {
        memory = std::make_unique<MemoryAccount>(MemoryLimits{bytes, bytes / 4});
        makeRouter();
        router->setGateway(*gateway);
        configure();
    }

    void addRoute(const std::string &prefix, RequestKind kind, unsigned maxServers)
    {
        Route route;
        route.name = prefix;
        route.host = "shop.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = milliseconds(600);
        route.objective = milliseconds(300);
        route.maxServers = maxServers;
        route.services = {{ServiceId("desk"), 1}};
        configuration->routes[route.host].push_back(route);
    }

    void configure() { router->setConfiguration(configuration); }

    ScriptedServer &addServer(ScriptedServer::Handler handler)
    {
        servers.push_back(std::make_unique<ScriptedServer>(loop, std::move(handler)));
        ServerEntry entry;
        entry.id = ServerId("s" + std::to_string(servers.size()));
        entry.service = ServiceId("desk");
        entry.address = servers.back()->address();
        entry.dataCentre = DataCentreId("a");
        entry.slots = 8;
        pool.apply(RegistrationChange{entry.id, entry}, clock.now());
        streams.onRegistered(entry);
        entries.push_back(entry);
        return *servers.back();
    }

    static std::string answer(const std::string &request, int status, const std::string &body,
                              const std::string &extra = "X-Lovagecourse-Server-Stamp: st\r\n")
    {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Lovagecourse-Attempt-Id: "
               + headerValue(request, "x-lovagecourse-attempt-id") + "\r\n" + extra
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string streamHead(const std::string &request)
    {
        return "HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: "
               + headerValue(request, "x-lovagecourse-attempt-id")
               + "\r\nX-Lovagecourse-Server-Stamp: st\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n";
    }

    static std::string chunk(const std::string &bytes)
    {
        char length[20];
        std::snprintf(length, sizeof(length), "%zx\r\n", bytes.size());
        return length + bytes + "\r\n";
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
    }

    std::shared_ptr<CallerAnswer> start(const std::string &method, const std::string &target,
                                        HeaderList headers = {}, const std::string &body = {})
    {
        auto result = std::make_shared<CallerAnswer>();
        HttpRequest request;
        request.method = method;
        request.url = "http://" + toString(callers) + "/";
        request.target = target;
        request.headers = {{"host", "shop.example"},
                           {"x-lovagecourse-attempt-id", "id-1"},
                           {"x-lovagecourse-deadline-ms", "2000"},
                           {"authorization", "Token secret"}};
        for (auto &header : headers) {
            std::erase_if(request.headers,
                          [&](const auto &own) { return own.first == header.first; });
            request.headers.push_back(std::move(header));
        }
        request.body = body;
        request.freshConnection = true;
        request.onlyGivenHeaders = true;
        HttpClient::Handlers handlers;
        handlers.onHead = [result](const HttpHead &head) {
            result->status = head.status;
            result->framing = head.framing;
            result->headers = head.headers;
        };
        handlers.onData = [result](std::string_view bytes) { result->body.append(bytes); };
        handlers.onDone = [this, result](const std::optional<HttpFailure> &failure) {
            result->isDone = true;
            result->isComplete = !failure;
            loop.stop();
        };
        lastTransfer = callerSide.start(std::move(request), std::move(handlers));
        return result;
    }

    void runFor(milliseconds time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.startOnce(time);
        loop.run();
    }

    CallerAnswer call(const std::string &method, const std::string &target, HeaderList headers = {},
                      const std::string &body = {})
    {
        const auto result = start(method, target, std::move(headers), body);
        const TimePoint limit = clock.now() + seconds(5);
        while (!result->isDone && clock.now() < limit)
            runFor(milliseconds(100));
        REQUIRE(result->isDone);
        return *result;
    }

    /// Runs the loop until a server is chosen for a request, before the request is sent. Returns
    /// the server's index.
    std::size_t waitUntilChosen()
    {
        const TimePoint limit = clock.now() + seconds(2);
        std::optional<std::size_t> chosen;
        while (!chosen && clock.now() < limit) {
            ev_run(loop.handle(), EVRUN_ONCE);
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (pool.running(entries[i].id) > 0)
                    chosen = i;
            }
        }
        REQUIRE(chosen);
        return *chosen;
    }

    /// Requests that all servers have received.
    std::size_t requestsAtServers() const
    {
        std::size_t count = 0;
        for (const auto &server : servers)
            count += server->requests().size();
        return count;
    }

    HttpTransferId lastTransfer;
};

} // namespace lovagecourse::test
