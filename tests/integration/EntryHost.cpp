#include "integration/EntryHost.h"

#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

namespace lovagecourse::test {

namespace {

constexpr const char *serverName = "desk-scripted";
// Long enough for processes that are busy with a crowd of clients.
constexpr std::chrono::seconds serveLimit{40};

std::string trialHead(const std::string &path)
{
    return "POST /trials" + path
           + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer a-key\r\n"
             "X-Deadline-Ms: 100000\r\n";
}

} // namespace

EntryHost::EntryHost(ServerAnswer answer)
    : answer_(std::move(answer))
    , server_(std::make_unique<LoopbackServer>(
              [this](LoopbackConnection &connection) { answerRequests(connection); }))
{
    FleetOptions options;
    options.entries = 1;
    options.engines = 0;
    options.desks = 0;
    options.scriptedServers[serverName] = server_->endpoint();
    options.settings = "[limits]\nmax_body_bytes = 4194304\nmax_header_bytes = 16384\n"
                       "idle_timeout_s = 15\nmax_memory_mb = "
                       + std::to_string(maxMemoryMb) + '\n';
    fleet_ = std::make_unique<Fleet>(options);
}

EntryHost::~EntryHost()
{
    isStopping_ = true;
    fleet_.reset();
    server_.reset();
}

CrowdTarget EntryHost::target() const
{
    return {fleet_->address("entry-1"), trialHead, {}};
}

std::vector<Process *> EntryHost::processes() const
{
    return {&fleet_->process("entry-1"), &fleet_->process(std::string("agent-") + serverName)};
}

void EntryHost::requireBounded()
{
    test::requireBounded(processes(), [this] { return servesRequest(); });
}

void EntryHost::answerRequests(LoopbackConnection &connection)
{
    while (!isStopping_) {
        RawMessage request;
        if (!readHead(connection, request, std::chrono::seconds(5)))
            return;
        // The agent probes its server at "/load".
        const bool isOrdinary = request.head.find("/ordinary ") != std::string::npos
                                || request.head.starts_with("GET /load ");
        if (!(isOrdinary ? answerOk(connection, request) : answer_(connection, request)))
            return;
    }
}

bool EntryHost::servesRequest() const
{
    std::string lastHead;
    const bool isServed = waitUntil(serveLimit, [&] {
        LoopbackConnection connection(target().endpoint);
        RawMessage answer;
        const bool isAnswered =
                connection.isOpen()
                && connection.send(trialHead("/ordinary") + "Content-Length: 5\r\n\r\nhello")
                && readMessage(connection, answer, std::chrono::seconds(5))
                && answer.status() == 200 && answer.body == "ok";
        lastHead = answer.head;
        return isAnswered;
    });
    if (!isServed)
        UNSCOPED_INFO("last answer to the ordinary request: " << lastHead);
    return isServed;
}

} // namespace lovagecourse::test
