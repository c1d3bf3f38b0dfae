#include "integration/RouterHost.h"

#include "integration/Fleet.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

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

/// Value of a parameter in the request line; empty if it is missing.
std::string queryValue(const std::string &head, const std::string &name)
{
    const std::size_t found = head.find('&' + name + '=');
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 2;
    return head.substr(begin, head.find_first_of("& ", begin) - begin);
}

std::string withLength(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

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

RouterHost::RouterHost(unsigned maxMemoryMb, ServerAnswer answer, const std::string &serviceFields)
    : answer_(std::move(answer))
    , callers_(Fleet::freeEndpoint())
    , ready_(Fleet::freeEndpoint())
    , admin_(Fleet::freeEndpoint())
    , datagrams_(Fleet::freeEndpoint())
{
    std::string configuration(configurationPattern);
    configuration.replace(configuration.find('@'), 1, serviceFields);
    operatorTopic_.write("config", configuration);
    std::string pattern = "/tmp/memory-bound-XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    server_ = std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { answerRequests(connection); });
    store_ = std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { answerStore(connection); });
    serverTopic_.write("pool-1", serverEntry());
    std::ofstream(folder_ + "/settings.toml")
            << "name = \"router-1\"\ndata_centre = \"zone-a\"\n"
            << "fleet_key = \"" << fleetKey << "\"\n"
            << "platform = \"http://" << store_->endpoint() << "\"\n"
            << "callers = \"" << callers_ << "\"\nready = \"" << ready_ << "\"\nadmin = \""
            << admin_ << "\"\ndatagrams = \"" << datagrams_ << "\"\nmax_sockets = 1024\n"
            << "max_memory_mb = " << maxMemoryMb << "\n"
            << "[log]\nlevel = \"info\"\n";
    start();
    if (!waitUntil(startLimit, [this] { return isReady(); }) || !servesRequest())
        throw std::runtime_error("the router is not ready");
}

void RouterHost::start()
{
    process_ = std::make_unique<Process>(std::vector<std::string>{LOVAGECOURSE_BINARY, "router",
                                                                  "--settings",
                                                                  folder_ + "/settings.toml"},
                                         folder_ + "/log");
}

bool RouterHost::isReady() const
{
    return call("GET", "http://" + ready_ + "/readyz", {}, "", std::chrono::seconds(1)).status
           == 200;
}

RouterHost::~RouterHost()
{
    isStopping_ = true;
    process_.reset();
    server_.reset();
    store_.reset();
    std::filesystem::remove_all(folder_);
}

std::string RouterHost::serverEntry(const std::string &furtherFields) const
{
    return R"({"service":"pool","address":")" + server_->endpoint()
           + R"(","zone":"zone-a","version":"v1","slots":1000,"state":"ready","cold_left_ms":0,)"
             R"("sequence":1,"born":1700000000000)"
           + furtherFields + '}';
}

void RouterHost::answerStore(LoopbackConnection &connection)
{
    static const StoredTopic noRecords;
    RawMessage request;
    while (readMessage(connection, request, std::chrono::seconds(60))) {
        const std::string line = request.head.substr(0, request.head.find("\r\n"));
        const StoredTopic &topic = line.find("keyed.op&") != std::string::npos ? operatorTopic_
                                   : line.find("keyed.servers&") != std::string::npos ? serverTopic_
                                                                                      : noRecords;
        std::string body = R"({"offset":0,"end_offset":1})";
        if (line.find("/v1/log-newest") != std::string::npos) {
            body = topic.newestPage(queryValue(line, "after"));
        } else if (line.find("/v1/log-read") != std::string::npos) {
            const std::size_t from = std::stoul(queryValue(line, "from"));
            const bool waits = !queryValue(line, "wait_ms").empty();
            for (int i = 0; waits && i < 20 && !isStopping_ && topic.end() <= from; ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(25));
            body = topic.read(from);
        }
        if (!connection.send(withLength(body)))
            return;
        request = {};
    }
}

std::string RouterHost::log() const
{
    std::ifstream file(folder_ + "/log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
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
        LoopbackConnection connection(callers_);
        RawMessage answer;
        return connection.isOpen()
               && connection.send(requestHead("/plain/ordinary") + "Content-Length: 5\r\n\r\nhello")
               && readMessage(connection, answer, std::chrono::seconds(5)) && answer.status() == 200
               && answer.body == "ok";
    });
}

double RouterHost::metric(const std::string &name) const
{
    std::istringstream lines(
            call("GET", "http://" + admin_ + "/metrics", {}, "", std::chrono::seconds(5)).body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + ' '))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

} // namespace lovagecourse::test
