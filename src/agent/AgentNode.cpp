#include "agent/AgentNode.h"

#include "agent/AgentNodeImpl.h"
#include "core/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <limits>

namespace lovagecourse {

namespace {

constexpr milliseconds tickInterval{50};
// Entries drop an agent after 3 s without a message, so two of three heartbeats may be late.
constexpr milliseconds heartbeatInterval{1000};
// More frequent notices would exceed 8 KB/s near saturation. Entries offer a waiting request to all
// agents of a small site within 50 ms anyway.
constexpr milliseconds minIdleNoticeInterval{100};
constexpr milliseconds grantTimeout{250};

} // namespace

std::optional<SocketFailure> AgentNode::Impl::open(EventLoop &eventLoop, const Clock &clock,
                                                   const DaemonSettings &settings)
{
    auto opened = Daemon::open(eventLoop, clock, settings, daemonHandlers());
    if (const auto *failure = std::get_if<SocketFailure>(&opened))
        return *failure;
    daemon = std::move(std::get<0>(opened));
    OfferQueueOptions options;
    options.costClasses = settings.costClasses;
    if (settings.fairness == FairnessPolicy::FirstComeFirstServed)
        options.order = OfferOrder::FirstComeFirstServed;
    queue = std::make_unique<OfferQueue>(options);
    monitor = std::make_unique<ServerMonitor>(*daemon, [this](bool isUp) {
        isOutageRecorded = isOutageRecorded && !isUp;
        broadcastState();
        grantQueuedOffers();
    });
    ledger = std::make_unique<AccountLedger>(daemon->incarnation());
    reporter = std::make_unique<ServiceReporter>(*daemon, *ledger);
    links = std::make_unique<EntryLinks>(*daemon, linkHandlers());
    if (const auto failure = links->listen())
        return failure;
    tick = std::make_unique<Timer>(eventLoop, [this] { onTick(); });
    tick->startRepeating(tickInterval);
    return std::nullopt;
}

Daemon::Handlers AgentNode::Impl::daemonHandlers()
{
    Daemon::Handlers handlers;
    handlers.onConfiguration = [this](const ConfigurationState &state) { onConfiguration(state); };
    handlers.onDatagram = [this](const DaemonId &, Message &&message) {
        const auto *totals = std::get_if<FairTotals>(&message);
        const bool usesTotals = daemon->settings().fairness == FairnessPolicy::Fleet;
        if (totals && usesTotals)
            reporter->onTotals(*totals);
    };
    handlers.onHostList = [this] { checkLeaving(); };
    handlers.onTerminate = [this] {
        terminating = true;
        terminateStarted = now();
        beginLeaving("termination was requested");
    };
    handlers.fillStatus = [this](nlohmann::json &page) { fillStatus(page); };
    handlers.isReady = [this] {
        return server && monitor->isUp() && !leaving && daemon->configuration().isReady();
    };
    return handlers;
}

EntryLinks::Handlers AgentNode::Impl::linkHandlers()
{
    EntryLinks::Handlers handlers;
    handlers.onUp = [this](std::uint64_t link, const Hello &hello) {
        reporter->onEntryUp(hello.daemon, hello.datagramEndpoint);
        links->send(link, agentState());
        links->send(link, CrashSuspectNotice{daemon->suspects().recent(now(), 100)});
    };
    handlers.onDown = [this](std::uint64_t link, const Hello &hello) {
        // An entry may reconnect before the failure of its previous link is detected.
        if (!links->hasLinkOf(hello.daemon))
            reporter->onEntryDown(hello.daemon);
        onLinkDown(link);
    };
    handlers.onMessage = [this](std::uint64_t link, Message &&message) {
        onMessage(link, std::move(message));
    };
    return handlers;
}

void AgentNode::Impl::onConfiguration(const ConfigurationState &state)
{
    const auto found = state.servers.find(daemon->settings().server);
    if (found == state.servers.end()) {
        if (server)
            beginLeaving("the server was removed from the configuration");
        return;
    }
    const bool limitChanged = !server || server->minLimit != found->second.minLimit
                              || server->maxLimit != found->second.maxLimit;
    server = found->second;
    bool needsClaims = !state.orders.empty();
    ServiceKind kind = ServiceKind::Plain;
    for (const ServiceId &id : server->services) {
        const Service *service = findService(id);
        if (!service)
            continue;
        needsClaims = needsClaims || !service->repeatable;
        if (service->kind == ServiceKind::Model)
            kind = ServiceKind::Model;
    }
    if (limitChanged) {
        ConcurrencyLimitOptions options;
        options.minLimit = static_cast<int>(server->minLimit);
        options.maxLimit = static_cast<int>(server->maxLimit);
        options.kind = kind;
        options.fixedLimit = daemon->settings().fixedLimit;
        limit = std::make_unique<ConcurrencyLimit>(options);
    }
    monitor->setAddress(server->address);
    if (needsClaims && !claimLog) {
        claimLog = std::make_unique<ClaimLogClient>(*daemon, server->name);
        orders = std::make_unique<OrderSender>(*daemon, *claimLog, server->name);
    }
    if (orders)
        orders->onConfiguration(state);
    checkLeaving();
}

void AgentNode::Impl::checkLeaving()
{
    if (server && server->leaving)
        beginLeaving("the configuration marks the server as leaving");
    else if (daemon->isHostLeaving(daemon->settings().host))
        beginLeaving("the host list marks the host as leaving");
}

void AgentNode::Impl::beginLeaving(const char *reason)
{
    if (!leaving) {
        leaving = true;
        logInfo(LogPart::Agent, "leaving: ", reason);
        daemon->setLeaving();
        for (const QueuedOffer &queued : queue->takeAll())
            links->send(queued.key.link,
                        OfferRefused{queued.offer.offer, RefusalReason::AgentLeaving});
        broadcastState();
    }
    exitWhenDrained();
}

void AgentNode::Impl::onLeaveNotice(const LeaveNotice &notice)
{
    // Ignored when this agent's own host list or configuration is at least as new as the notice.
    const bool isOutdated = notice.byHostList
                                    ? daemon->isHostListFresh()
                                    : daemon->configuration().state().offset >= notice.offset;
    if (!isOutdated)
        beginLeaving("an entry reported that the server is leaving");
}

void AgentNode::Impl::exitWhenDrained()
{
    if (!terminating)
        return;
    const bool drainTimedOut = now() - terminateStarted > daemon->settings().drainTimeout;
    const bool claimsRecorded = !claimLog || claimLog->coordinator().pendingEntries() == 0;
    if (!drainTimedOut && (!runs.empty() || !claimsRecorded))
        return;
    logInfo(LogPart::Agent, drainTimedOut ? "drain timeout exceeded, exiting" : "drained, exiting");
    // Stops once the last answers are sent; a slow entry may need several loop iterations.
    tick = std::make_unique<Timer>(daemon->loop(), [this, drainTimedOut] {
        if (drainTimedOut || links->unsentBytes() == 0)
            daemon->loop().stop();
    });
    tick->startRepeating(tickInterval);
    terminating = false;
}

void AgentNode::Impl::onMessage(std::uint64_t link, Message &&message)
{
    if (const auto *offer = std::get_if<Offer>(&message)) {
        onOffer(link, *offer);
    } else if (const auto *withdraw = std::get_if<OfferWithdraw>(&message)) {
        queue->withdraw(OfferKey{link, withdraw->offer});
    } else if (auto *accept = std::get_if<GrantAccept>(&message)) {
        onAccept(link, std::move(*accept));
    } else if (const auto *decline = std::get_if<GrantDecline>(&message)) {
        onCancel(link, decline->grant);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        onCancel(link, cancel->grant);
    } else if (const auto *credit = std::get_if<Credit>(&message)) {
        const auto run = runs.find(credit->grant);
        if (run != runs.end() && run->second->backend)
            run->second->backend->addCredit(credit->bytes);
    } else if (const auto *notice = std::get_if<CrashSuspectNotice>(&message)) {
        daemon->suspects().merge(notice->suspects, now());
    } else if (const auto *leave = std::get_if<LeaveNotice>(&message)) {
        onLeaveNotice(*leave);
    } else if (const auto *request = std::get_if<ConfigurationStateRequest>(&message)) {
        links->send(link, daemon->configuration().replyTo(*request));
    } else {
        daemon->metrics().count("lovagecourse_unexpected_messages_total");
    }
}

void AgentNode::Impl::onOffer(std::uint64_t link, const Offer &offer)
{
    const OfferKey key{link, offer.offer};
    std::optional<RefusalReason> refusal;
    if (leaving)
        refusal = RefusalReason::AgentLeaving;
    else if (daemon->suspects().decision(offer.fingerprint, now()) == SuspectDecision::Refuse)
        refusal = RefusalReason::CrashSuspect;
    else
        refusal = queue->add(key, offer, now());
    if (refusal) {
        daemon->metrics().count("lovagecourse_offers_refused_total", toString(*refusal));
        links->send(link, OfferRefused{offer.offer, *refusal});
        return;
    }
    grantQueuedOffers();
}

SlotState AgentNode::Impl::slotState() const
{
    SlotState slots;
    slots.limit = limit ? limit->limit() : 0;
    for (const auto &[id, run] : runs) {
        if (run->costClass == CostClass::Long)
            ++slots.longInFlight;
        else
            ++slots.shortInFlight;
        slots.suspectRunning = slots.suspectRunning || run->offer.suspect;
    }
    return slots;
}

void AgentNode::Impl::grantQueuedOffers()
{
    for (const QueuedOffer &expired : queue->takeExpired(now()))
        links->send(expired.key.link,
                    OfferRefused{expired.offer.offer, RefusalReason::DeadlineExpired});
    const bool mayGrant =
            server && limit && monitor->isUp() && !leaving && daemon->configuration().isReady();
    if (!mayGrant)
        return;
    const auto position = [this](const FlowId &flow) {
        return ledger->position(flow, shareOf(flow));
    };
    while (const auto next = queue->takeNext(now(), slotState(), position))
        grant(*next);
    updateBacklog();
    announceIdleSlots();
}

void AgentNode::Impl::updateBacklog()
{
    const std::vector<FlowId> waiting = queue->waitingFlows();
    std::set<FlowId> current(waiting.begin(), waiting.end());
    for (const FlowId &flow : current)
        ledger->setBacklogged(flow, shareOf(flow), true, now());
    for (const FlowId &flow : backlogged) {
        if (!current.contains(flow))
            ledger->setBacklogged(flow, shareOf(flow), false, now());
    }
    backlogged = std::move(current);
}

void AgentNode::Impl::grant(const QueuedOffer &queued)
{
    auto run = std::make_unique<RequestRun>();
    run->grant = GrantId(++lastGrant);
    run->link = queued.key.link;
    run->offer = queued.offer;
    run->costClass = queued.offer.costClass;
    run->grantedAt = now();
    run->outstanding = queued.offer.expected;
    // Counts the estimated work at once, so that the next grant favours other flows.
    ledger->adjustOutstanding(queued.offer.flow, shareOf(queued.offer.flow), run->outstanding,
                              now());
    links->send(run->link, Grant{run->grant, queued.offer.offer});
    daemon->metrics().count("lovagecourse_grants_total");
    runs.emplace(run->grant, std::move(run));
}

void AgentNode::Impl::onAccept(std::uint64_t link, GrantAccept &&accept)
{
    const auto found = runs.find(accept.grant);
    const bool awaitsAccept = found != runs.end() && found->second->link == link
                              && found->second->phase == RunPhase::Granted;
    if (!awaitsAccept) {
        // The grant expired or was cancelled; nothing was sent to the server.
        AnswerEnd end{accept.grant, false, Refusal{RefusalReason::NoServer, Ran::No}, Work()};
        links->send(link, end);
        return;
    }
    RequestRun &run = *found->second;
    run.requestMemory = MemoryReservation(daemon->memory(), MemoryHolder::RequestBodies);
    if (run.requestMemory.growTo(accept.body.size()) == ReserveResult::Full) {
        logInfo(LogPart::Agent,
                "event=request-rejected reason=memory-short bytes=", accept.body.size(),
                " memory_used=", daemon->memory()->used());
        return finish(run.grant, false, Refusal{RefusalReason::MemoryShort, Ran::No});
    }
    run.request = std::move(accept);
    if (daemon->memory() && daemon->memory()->isUnderPressure())
        run.request.credit = std::min(run.request.credit, shortAnswerCreditBytes);
    run.deadline = now() + milliseconds(run.request.deadlineMs);
    const Service *service = findService(run.offer.flow.service);
    const bool needsClaim = service && !service->repeatable;
    const bool hasKey = !run.request.idempotencyKey.value.empty();
    if (hasKey)
        claim(run);
    else if (needsClaim) // In the entry's older configuration the service was repeatable.
        finish(run.grant, false, Refusal{RefusalReason::ClaimUnavailable, Ran::No});
    else
        send(run);
}

void AgentNode::Impl::onCancel(std::uint64_t link, GrantId grant)
{
    const auto found = runs.find(grant);
    if (found == runs.end() || found->second->link != link)
        return;
    RequestRun &run = *found->second;
    run.cancelled = true;
    // A claimed request that was sent must complete: repeats of it get the recorded answer.
    const bool mustComplete = run.claim && run.phase != RunPhase::Claiming;
    if (!mustComplete)
        return finish(grant, false, Refusal{RefusalReason::CallerLeft, Ran::Unknown});
    // The entry sends no more credit, but the complete answer must be read and recorded.
    if (run.backend)
        run.backend->addCredit(std::numeric_limits<std::uint32_t>::max());
}

void AgentNode::Impl::onLinkDown(std::uint64_t link)
{
    queue->withdrawLink(link);
    std::vector<GrantId> affected;
    for (const auto &[grant, run] : runs) {
        if (run->link == link)
            affected.push_back(grant);
    }
    for (const GrantId grant : affected)
        onCancel(link, grant);
    grantQueuedOffers();
}

void AgentNode::Impl::onTick()
{
    std::vector<GrantId> expired;
    for (const auto &[grant, run] : runs) {
        if (run->phase == RunPhase::Granted && now() - run->grantedAt > grantTimeout)
            expired.push_back(grant);
    }
    for (const GrantId grant : expired) {
        daemon->metrics().count("lovagecourse_grants_expired_total");
        runs.at(grant)->cancelled = true;
        finish(grant, false, Refusal{RefusalReason::NoServer, Ran::No});
    }
    if (limit)
        limit->onTick(now(), static_cast<int>(runs.size()), queue->size() > 0);
    grantQueuedOffers();
    if (claimLog && claimLog->coordinator().isFenced())
        beginLeaving("fenced: a newer incarnation of the server's agent started, or claim records "
                     "expired unread");
    if (now() - lastStateBroadcast >= heartbeatInterval)
        broadcastState();
    exitWhenDrained();
}

AgentState AgentNode::Impl::agentState() const
{
    AgentState state;
    state.server = daemon->settings().server;
    state.limit = limit ? static_cast<std::uint32_t>(limit->limit()) : 0;
    state.inFlight = static_cast<std::uint32_t>(runs.size());
    state.queued = static_cast<std::uint32_t>(queue->size());
    state.leaving = leaving;
    state.serverUp = monitor->isUp();
    state.serviceTimeMs = serviceTimeMs;
    state.note = daemon->configuration().state().note;
    return state;
}

void AgentNode::Impl::broadcastState()
{
    lastStateBroadcast = now();
    links->sendToAll(agentState());
}

void AgentNode::Impl::announceIdleSlots()
{
    const bool hasIdleSlot = queue->size() == 0 && static_cast<int>(runs.size()) < limit->limit();
    if (!hasIdleSlot) {
        wasSaturated = true;
        return;
    }
    if (!wasSaturated || now() - lastIdleNotice < minIdleNoticeInterval)
        return;
    wasSaturated = false;
    lastIdleNotice = now();
    broadcastState();
}

void AgentNode::Impl::fillStatus(nlohmann::json &page)
{
    page["server"] = daemon->settings().server.value;
    page["server_up"] = monitor->isUp();
    page["limit"] = limit ? limit->limit() : 0;
    page["in_flight"] = runs.size();
    page["queued_offers"] = queue->size();
    page["virtual_time"] = ledger->virtualTime().value;
    page["accounts"] = nlohmann::json::array();
    for (const auto &[account, details] : daemon->configuration().state().accounts) {
        for (const ServiceId &service : server ? server->services : std::vector<ServiceId>{}) {
            const FlowId flow{account, service};
            page["accounts"].push_back({{"name", account.value},
                                        {"service", service.value},
                                        {"share", details.share.value},
                                        {"position", ledger->position(flow, details.share).value},
                                        {"backlogged", backlogged.contains(flow)}});
        }
    }
}

const Service *AgentNode::Impl::findService(const ServiceId &service) const
{
    const auto &services = daemon->configuration().state().services;
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

Share AgentNode::Impl::shareOf(const FlowId &flow) const
{
    const auto &accounts = daemon->configuration().state().accounts;
    const auto found = accounts.find(flow.account);
    return found == accounts.end() ? Share(1) : found->second.share;
}

AgentNode::AgentNode(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

AgentNode::~AgentNode() = default;

std::variant<std::unique_ptr<AgentNode>, SocketFailure>
AgentNode::open(EventLoop &loop, const Clock &clock, const DaemonSettings &settings)
{
    auto impl = std::make_unique<Impl>();
    if (const auto failure = impl->open(loop, clock, settings))
        return *failure;
    return std::unique_ptr<AgentNode>(new AgentNode(std::move(impl)));
}

} // namespace lovagecourse
