#include "integration/RouterHost.h"

#include "integration/Fleet.h"

#include <openssl/evp.h>
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

std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string page(const std::string &key, const std::string &value)
{
    return R"({"items":[{"key":")" + key + R"(","value":")" + encodeBase64(value)
           + R"(","offset":0}],"has_more":false,"end_offset":1})";
}

std::string bigEndian(std::size_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t i = count; i > 0; --i, value >>= 8U)
        bytes[i - 1] = static_cast<char>(value & 0xffU);
    return bytes;
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
    , configuration_(configurationPattern)
    , callers_(Fleet::freeEndpoint())
    , ready_(Fleet::freeEndpoint())
    , admin_(Fleet::freeEndpoint())
    , datagrams_(Fleet::freeEndpoint())
{
    configuration_.replace(configuration_.find('@'), 1, serviceFields);
    std::string pattern = "/tmp/memory-bound-XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    server_ = std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { answerRequests(connection); });
    store_ = std::make_unique<LoopbackServer>(
            [this](LoopbackConnection &connection) { answerStore(connection); });
    const std::string settings = folder_ + "/settings.toml";
    std::ofstream(settings) << "name = \"router-1\"\ndata_centre = \"zone-a\"\n"
                            << "fleet_key = \"" << fleetKey << "\"\n"
                            << "platform = \"http://" << store_->endpoint() << "\"\n"
                            << "callers = \"" << callers_ << "\"\nready = \"" << ready_
                            << "\"\nadmin = \"" << admin_ << "\"\ndatagrams = \"" << datagrams_
                            << "\"\nmax_sockets = 1024\n"
                            << "max_memory_mb = " << maxMemoryMb << "\n"
                            << "[log]\nlevel = \"info\"\n";
    process_ = std::make_unique<Process>(
            std::vector<std::string>{LOVAGECOURSE_BINARY, "router", "--settings", settings},
            folder_ + "/log");
    const bool isReady = waitUntil(startLimit, [this] {
        return call("GET", "http://" + ready_ + "/readyz", {}, "", std::chrono::seconds(1)).status
               == 200;
    });
    if (!isReady || !servesRequest())
        throw std::runtime_error("the router is not ready");
}

RouterHost::~RouterHost()
{
    isStopping_ = true;
    process_.reset();
    server_.reset();
    store_.reset();
    std::filesystem::remove_all(folder_);
}

void RouterHost::answerStore(LoopbackConnection &connection)
{
    const std::string entry =
            R"({"service":"pool","address":")" + server_->endpoint()
            + R"(","zone":"zone-a","version":"v1","slots":1000,"state":"ready","cold_left_ms":0,)"
              R"("sequence":1,"born":1700000000000})";
    RawMessage request;
    while (readMessage(connection, request, std::chrono::seconds(60))) {
        std::string body = R"({"offset":0,"end_offset":1})";
        if (request.head.find("/v1/log-newest") != std::string::npos) {
            body = R"({"items":[],"has_more":false,"end_offset":1})";
            if (request.head.find("keyed.op") != std::string::npos)
                body = page("config", configuration_);
            else if (request.head.find("keyed.servers") != std::string::npos)
                body = page("pool-1", entry);
        } else if (request.head.find("/v1/log-read") != std::string::npos) {
            const bool isOperators = request.head.find("keyed.op") != std::string::npos;
            // End offset and first offset in 8 bytes each, and no records.
            const std::string none = bigEndian(1, 8) + bigEndian(0, 8);
            body = isOperators ? readOperatorRecords(request.head) : none;
            for (int waits = 0; waits < 20 && !isStopping_ && body.size() == none.size(); ++waits) {
                std::this_thread::sleep_for(std::chrono::milliseconds(25));
                body = isOperators ? readOperatorRecords(request.head) : none;
            }
        }
        if (!connection.send(withLength(body)))
            return;
        request = {};
    }
}

void RouterHost::writeOperatorRecord(const std::string &key, const std::string &value)
{
    const std::string record = static_cast<char>(key.size()) + key + value;
    const std::lock_guard lock(recordsMutex_);
    operatorRecords_.push_back(bigEndian(record.size(), 4) + record);
}

/// Returns the records from the offset that the request asks for.
std::string RouterHost::readOperatorRecords(const std::string &head) const
{
    const std::size_t from = std::stoul(head.substr(head.find("from=") + 5));
    const std::lock_guard lock(recordsMutex_);
    std::string body = bigEndian(1 + operatorRecords_.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = std::max<std::size_t>(from, 1) - 1; i < operatorRecords_.size(); ++i)
        body += operatorRecords_[i];
    return body;
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
