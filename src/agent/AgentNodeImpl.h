#pragma once

#include "agent/AgentNode.h"
#include "agent/ClaimJournal.h"
#include "agent/EntryLinks.h"
#include "agent/OrderSender.h"
#include "agent/RequestRun.h"
#include "agent/ServerMonitor.h"
#include "agent/ServiceReporter.h"
#include "daemon/Daemon.h"
#include "scheduling/ConcurrencyLimit.h"
#include "scheduling/OfferQueue.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lovagecourse {

/// State and handlers of an agent; its functions are in AgentNode.cpp (offers, grants, leaving) and
/// RequestRuns.cpp (what becomes of accepted grants).
struct AgentNode::Impl
{
    std::optional<SocketFailure> open(EventLoop &eventLoop, const Clock &clock,
                                      const DaemonSettings &settings);
    Daemon::Handlers daemonHandlers();
    EntryLinks::Handlers linkHandlers();

    // Configuration and leaving.
    void onConfiguration(const ConfigurationState &state);
    void checkLeaving();
    void beginLeaving(const char *reason);
    void onLeaveNotice(const LeaveNotice &notice);
    void exitWhenDrained();

    // Offers and grants.
    void onMessage(std::uint64_t link, Message &&message);
    void onOffer(std::uint64_t link, const Offer &offer);
    void pumpGrants();
    void grant(const QueuedOffer &queued);
    void onAccept(std::uint64_t link, GrantAccept &&accept);
    void onCancel(std::uint64_t link, GrantId grant);
    void onLinkDown(std::uint64_t link);
    SlotState slotState() const;
    void updateBacklog();

    // Runs.
    void claim(RequestRun &run);
    void onClaimDecision(GrantId grant, const ClaimDecision &decision);
    void send(RequestRun &run);
    void onHead(RequestRun &run, int status, const HeaderList &headers);
    void onPart(RequestRun &run, AnswerPart &&part);
    void onBackendEnd(GrantId grant, BackendOutcome outcome);
    void onProbedAfterBreak(GrantId grant, bool serverAnswered);
    void markCrash();
    void finish(GrantId grant, bool complete, const Refusal &refusal);
    void replay(RequestRun &run, const RecordedAnswer &answer);
    void consume(RequestRun &run, Work work);
    /// A model's answer that is no event stream; its body names the tokens.
    bool isWholeModelAnswer(const RequestRun &run) const;
    Work wholeAnswerWork(const RequestRun &run, std::chrono::nanoseconds elapsed) const;

    // Status.
    void onTick();
    void broadcastState();
    void tellIdleSlots();
    AgentState agentState() const;
    void fillStatus(nlohmann::json &page);

    const Service *findService(const ServiceId &service) const;
    Share shareOf(const FlowId &flow) const;
    TimePoint now() const { return daemon->now(); }

    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<EntryLinks> links;
    std::unique_ptr<ServerMonitor> monitor;
    std::unique_ptr<ServiceReporter> reporter;
    std::unique_ptr<ClaimJournal> journal;
    std::unique_ptr<OrderSender> orders;
    std::unique_ptr<ConcurrencyLimit> limit;
    std::unique_ptr<OfferQueue> queue;
    std::unique_ptr<AccountLedger> ledger;
    /// This agent's server as the configuration has it; empty before it is added.
    std::optional<BackendServer> server;
    std::map<GrantId, std::unique_ptr<RequestRun>> runs;
    std::set<FlowId> backlogged;
    std::uint64_t lastGrant = 0;
    std::uint64_t lastCrash = 0;
    /// The requests that ran when the server went down were marked as suspects.
    bool crashMarked = false;
    double serviceTimeMs = 0;
    bool leaving = false;
    bool terminating = false;
    TimePoint terminateStarted;
    TimePoint lastState;
    TimePoint lastIdleState;
    /// Offers waited or no slot was free since idle slots were last told.
    bool wasSaturated = false;
    std::unique_ptr<Timer> tick;
};

} // namespace lovagecourse
