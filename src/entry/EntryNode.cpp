#include "entry/EntryNode.h"

#include "core/Log.h"
#include "daemon/Daemon.h"
#include "entry/AgentLinks.h"
#include "entry/RequestRouter.h"
#include "entry/RequestValidator.h"
#include "fairness/FairnessHome.h"
#include "fairness/ReplyPacer.h"
#include "gateway/DescriptorReserve.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lovagecourse {

namespace {

// Together with about 5 KB/s of gossip, within the 8 KB/s of control traffic allowed per daemon.
constexpr double totalsBytesPerSecond = 2800;
constexpr milliseconds housekeepingInterval{200};
// Time for the load balancer to notice the failing /readyz and direct new requests elsewhere. Until
// then, requests are served as usual.
constexpr seconds balancerGrace{2};
// With a memory limit, callers' connections may take this part of the memory; each keeps buffers of
// up to 48 KB and a typical prompt.
constexpr std::size_t callerMemoryPercent = 50;
constexpr std::size_t callerConnectionBytes = 64U << 10;
constexpr std::size_t bytesPerMb = 1U << 20;
// Servers, too, cut off an answer that remains unread for some seconds.
constexpr milliseconds maxUnreadTime{5000};

GatewayLimits gatewayLimits(const DaemonSettings &settings, MemoryAccount *memory)
{
    GatewayLimits limits = settings.limits;
    limits.maxConnections = static_cast<unsigned>(std::min<std::size_t>(
            limits.maxConnections, callerDescriptors(processDescriptorLimit())));
    if (!memory)
        return limits;
    const std::size_t byMemory =
            settings.maxMemoryMb * bytesPerMb * callerMemoryPercent / 100 / callerConnectionBytes;
    limits.maxConnections =
            static_cast<unsigned>(std::min<std::size_t>(limits.maxConnections, byMemory));
    limits.maxKeepAliveConnections =
            std::min(limits.maxKeepAliveConnections, limits.maxConnections / 2);
    limits.memory = memory;
    limits.maxUnreadTime = maxUnreadTime;
    return limits;
}

} // namespace

struct EntryNode::Impl
{
    std::optional<SocketFailure> open(EventLoop &eventLoop, const Clock &clock,
                                      const DaemonSettings &settings);
    Daemon::Handlers daemonHandlers();
    HttpGateway::Handlers gatewayHandlers();
    AgentLinks::Handlers linkHandlers();
    AnswerSink answerSink();

    void onConfiguration(const ConfigurationState &state);
    void onDatagram(const DaemonId &sender, const Message &message);
    void onRequest(CallerRequest &&request);
    void onAgentMessage(const ServerId &server, Message &&message);
    void onTick();
    void drain();

    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<FairnessHome> home;
    ReplyPacer pacer{totalsBytesPerSecond};
    std::unique_ptr<RequestValidator> validator;
    std::unique_ptr<AgentLinks> links;
    std::unique_ptr<RequestRouter> router;
    std::unique_ptr<HttpGateway> gateway;
    std::unique_ptr<Timer> tick;
    bool terminating = false;
    TimePoint terminateStarted;
};

std::optional<SocketFailure> EntryNode::Impl::open(EventLoop &eventLoop, const Clock &clock,
                                                   const DaemonSettings &settings)
{
    auto opened = Daemon::open(eventLoop, clock, settings, daemonHandlers());
    if (const auto *failure = std::get_if<SocketFailure>(&opened))
        return *failure;
    daemon = std::move(std::get<0>(opened));
    home = std::make_unique<FairnessHome>(settings.name);
    validator = std::make_unique<RequestValidator>(settings.keyWindow);
    links = std::make_unique<AgentLinks>(*daemon, linkHandlers());
    router = std::make_unique<RequestRouter>(*daemon, *links, answerSink());
    auto gatewayOpened =
            HttpGateway::open(eventLoop, daemon->metrics(), settings.callers,
                              gatewayLimits(settings, daemon->memory()), gatewayHandlers());
    if (const auto *failure = std::get_if<SocketFailure>(&gatewayOpened))
        return *failure;
    gateway = std::move(std::get<0>(gatewayOpened));
    tick = std::make_unique<Timer>(eventLoop, [this] { onTick(); });
    tick->startRepeating(housekeepingInterval);
    return std::nullopt;
}

Daemon::Handlers EntryNode::Impl::daemonHandlers()
{
    Daemon::Handlers handlers;
    handlers.onConfiguration = [this](const ConfigurationState &state) { onConfiguration(state); };
    handlers.onDatagram = [this](const DaemonId &sender, Message &&message) {
        onDatagram(sender, message);
    };
    handlers.onHostList = [] {};
    handlers.onTerminate = [this] {
        if (terminating)
            return;
        terminating = true;
        terminateStarted = daemon->now();
        logInfo(LogPart::Entry, "draining");
        daemon->setLeaving();
    };
    handlers.fillStatus = [this](nlohmann::json &page) {
        links->fillStatus(page);
        router->fillStatus(page);
        page["homed_flows"] = home->size();
    };
    handlers.isReady = [this] { return daemon->configuration().isReady(); };
    return handlers;
}

HttpGateway::Handlers EntryNode::Impl::gatewayHandlers()
{
    HttpGateway::Handlers handlers;
    handlers.onRequest = [this](CallerRequest &&request) { onRequest(std::move(request)); };
    handlers.onCallerLeft = [this](CallerId caller) { router->onCallerLeft(caller); };
    handlers.onConsumed = [this](CallerId caller, std::size_t bytes) {
        router->onConsumed(caller, bytes);
    };
    return handlers;
}

AgentLinks::Handlers EntryNode::Impl::linkHandlers()
{
    AgentLinks::Handlers handlers;
    handlers.onState = [this](const ServerId &server) { router->onAgentState(server); };
    handlers.onDown = [this](const ServerId &server) { router->onAgentDown(server); };
    handlers.onMessage = [this](const ServerId &server, Message &&message) {
        onAgentMessage(server, std::move(message));
    };
    return handlers;
}

AnswerSink EntryNode::Impl::answerSink()
{
    AnswerSink sink;
    sink.answer = [this](CallerId caller, int status, const HeaderList &headers, SharedBody body) {
        gateway->answer(caller, status, headers, std::move(body));
    };
    sink.refuse = [this](CallerId caller, const Refusal &refusal) {
        gateway->refuse(caller, refusal);
    };
    sink.beginStream = [this](CallerId caller, int status, const HeaderList &headers) {
        gateway->beginStream(caller, status, headers);
    };
    sink.sendData = [this](CallerId caller, std::string_view bytes) {
        gateway->sendData(caller, bytes);
    };
    sink.endStream = [this](CallerId caller) { gateway->endStream(caller); };
    sink.abortStream = [this](CallerId caller) { gateway->abortStream(caller); };
    sink.relieveMemory = [this](std::size_t bytes) { gateway->relieveMemory(bytes, bytes); };
    return sink;
}

void EntryNode::Impl::onConfiguration(const ConfigurationState &state)
{
    validator->onConfiguration(state);
    links->onConfiguration(state);
}

void EntryNode::Impl::onDatagram(const DaemonId &sender, const Message &message)
{
    const auto *report = std::get_if<ServiceReport>(&message);
    const auto endpoint = links->datagramEndpoint(sender);
    const bool isExpectedReport = report && report->agent == sender && endpoint;
    if (!isExpectedReport) {
        daemon->metrics().count("lovagecourse_unexpected_messages_total");
        return;
    }
    FairTotals totals = home->apply(*report, daemon->now());
    const ReplyKind reply = pacer.nextReply(sender, totals.entries.size(), daemon->now());
    if (reply == ReplyKind::KeepAlive)
        totals.entries.clear();
    if (reply != ReplyKind::None)
        daemon->datagrams().send(daemon->translateAddress(*endpoint), totals);
}

void EntryNode::Impl::onRequest(CallerRequest &&request)
{
    const bool isAdminPage = request.path == "/healthz" || request.path == "/readyz";
    if (isAdminPage && daemon->answerAdmin(*gateway, request))
        return;
    if (!daemon->configuration().isReady())
        return gateway->refuse(request.id, Refusal{RefusalReason::NotReady, Ran::No});
    const bool isDraining = terminating && daemon->now() - terminateStarted > balancerGrace;
    if (isDraining)
        return gateway->refuse(request.id, Refusal{RefusalReason::Draining, Ran::No});
    ValidationResult result = validator->validate(request, daemon->clock().wallNow());
    if (const auto *refusal = std::get_if<Refusal>(&result))
        return gateway->refuse(request.id, *refusal);
    router->add(std::move(request), std::move(std::get<RequestDetails>(result)));
}

void EntryNode::Impl::onAgentMessage(const ServerId &server, Message &&message)
{
    const auto *notice = std::get_if<CrashSuspectNotice>(&message);
    if (notice)
        daemon->suspects().merge(notice->suspects, daemon->now());
    else
        router->onAgentMessage(server, std::move(message));
}

void EntryNode::Impl::onTick()
{
    home->expire(daemon->now());
    if (terminating)
        drain();
}

void EntryNode::Impl::drain()
{
    const auto elapsed = daemon->now() - terminateStarted;
    if (elapsed < balancerGrace)
        return;
    gateway->stopListening();
    const bool drainTimedOut = elapsed > daemon->settings().drainTimeout;
    if (gateway->openRequests() > 0 && !drainTimedOut)
        return;
    logInfo(LogPart::Entry, drainTimedOut ? "drain timeout exceeded, exiting" : "drained, exiting");
    daemon->loop().stop();
}

EntryNode::EntryNode(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

EntryNode::~EntryNode() = default;

std::variant<std::unique_ptr<EntryNode>, SocketFailure>
EntryNode::open(EventLoop &loop, const Clock &clock, const DaemonSettings &settings)
{
    auto impl = std::make_unique<Impl>();
    if (const auto failure = impl->open(loop, clock, settings))
        return *failure;
    return std::unique_ptr<EntryNode>(new EntryNode(std::move(impl)));
}

} // namespace lovagecourse
