#include "integration/RouterHost.h"

#include "integration/Fleet.h"

#include <stdexcept>

namespace lovagecourse::test {

namespace {

constexpr std::chrono::seconds startLimit{20};
constexpr std::chrono::seconds readLimit{30};
// Long enough for a router that is busy with a crowd of clients.
constexpr std::chrono::seconds serveLimit{40};
// The further fields of the service take the place of "@".
constexpr std::string_view configurationPattern =
        R"({"version":1,"routes":[)"
        R"({"name":"plain","hostname":"a.example","path_prefix":"/plain/","route_kind":"safe",)"
        R"("timeout_ms":120000,"slo_ms":100000,"priority":1,"service":"pool","max_attempts":1,)"
        R"("public":true},)"
        R"({"name":"stream","hostname":"a.example","path_prefix":"/stream/",)"
        R"("route_kind":"streaming","timeout_ms":120000,"slo_ms":100000,"priority":1,)"
        R"("service":"pool","max_attempts":1,"public":true}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":1000,)"
        R"("protocol":"h1","tls":false@}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1000000},)"
        R"("tenants":[]})";

} // namespace

std::string requestHead(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Lovagecourse-Attempt-Id: "
           + makeUuid7() + "\r\nX-Lovagecourse-Deadline-Ms: 100000\r\n";
}

std::string answerHead(const RawMessage &request)
{
    return "HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: "
           + request.header("x-lovagecourse-attempt-id")
           + "\r\nX-Lovagecourse-Server-Stamp: stamp\r\n";
}

bool answerOk(LoopbackConnection &connection, RawMessage &request)
{
    const std::string length = request.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (request.body.size() < size) {
        if (!connection.receive(request.body, size - request.body.size(), readLimit))
            return false;
    }
    return connection.send(answerHead(request) + "Content-Length: 2\r\n\r\nok");
}

std::string poolConfiguration(const std::string &serviceFields)
{
    std::string configuration(configurationPattern);
    configuration.replace(configuration.find('@'), 1, serviceFields);
    return configuration;
}

RouterHost::RouterHost(unsigned maxMemoryMb, ServerAnswer answer, const std::string &serviceFields)
    : answer_(std::move(answer))
{
    writeOperatorRecord("config", poolConfiguration(serviceFields));
    server_ = std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { answerRequests(connection); });
    writeServerRecord("pool-1", serverEntry());
    router_ = std::make_unique<RouterProcess>("router-1", store_.endpoint(), maxMemoryMb);
    if (!waitUntil(startLimit, [this] { return isReady(); }) || !servesRequest())
        throw std::runtime_error("the router is not ready");
}

RouterHost::~RouterHost()
{
    isStopping_ = true;
    router_.reset();
    server_.reset();
}

std::string RouterHost::serverEntry(const std::string &furtherFields) const
{
    return R"({"service":"pool","address":")" + server_->endpoint()
           + R"(","zone":"zone-a","version":"v1","slots":1000,"state":"ready","cold_left_ms":0,)"
             R"("sequence":1,"born":1700000000000)"
           + furtherFields + '}';
}

void RouterHost::answerRequests(LoopbackConnection &connection)
{
    while (!isStopping_) {
        RawMessage request;
        if (!readHead(connection, request, std::chrono::seconds(5)))
            return;
        const bool isOrdinary = request.head.find("/ordinary ") != std::string::npos;
        if (!(isOrdinary ? answerOk(connection, request) : answer_(connection, request)))
            return;
    }
}

bool RouterHost::servesRequest() const
{
    return waitUntil(serveLimit, [this] {
        LoopbackConnection connection(callers());
        RawMessage answer;
        return connection.isOpen()
               && connection.send(requestHead("/plain/ordinary") + "Content-Length: 5\r\n\r\nhello")
               && readMessage(connection, answer, std::chrono::seconds(5)) && answer.status() == 200
               && answer.body == "ok";
    });
}

} // namespace lovagecourse::test
