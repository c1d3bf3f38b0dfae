#pragma once

#include "agent/AgentNode.h"
#include "agent/ClaimLogClient.h"
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

/// State and handlers of an agent, implemented in AgentNode.cpp (offers, grants, leaving) and
/// RequestRuns.cpp (execution of granted requests).
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
    void grantQueuedOffers();
    void grant(const QueuedOffer &queued);
    void onAccept(std::uint64_t link, GrantAccept &&accept);
    void onCancel(std::uint64_t link, GrantId grant);
    void onLinkDown(std::uint64_t link);
    SlotState slotState() const;
    void updateBacklog();

    // Execution of granted requests.
    void claim(RequestRun &run);
    void onClaimDecision(GrantId grant, const ClaimDecision &decision);
    void send(RequestRun &run);
    void onHead(RequestRun &run, int status, const HeaderList &headers);
    void onPart(RequestRun &run, AnswerPart &&part);
    /// Adds to the collected answer; returns false if that ended the run.
    bool collect(RequestRun &run, std::string_view bytes);
    /// Returns the run whose answer makes room for the growing one.
    RequestRun &answerToDrop(RequestRun &growing, std::size_t wanted);
    void dropAnswer(RequestRun &run);
    void onBackendEnd(GrantId grant, BackendOutcome outcome);
    void onComplete(RequestRun &run, std::chrono::nanoseconds elapsed);
    void onProbedAfterUnprovenEnd(GrantId grant, ProbeResult probe,
                                  std::chrono::nanoseconds elapsed);
    void onProbedAfterFailure(GrantId grant, ProbeResult probe);
    BreakVerdict judgeEnd(const RequestRun &run, ProbeResult probe) const;
    void recordCrash(const RequestRun &broken, TimePoint crashedAt);
    void finish(GrantId grant, bool complete, const Refusal &refusal);
    void recordAnswer(const RequestRun &run);
    void replay(RequestRun &run, const RecordedAnswer &answer);
    void chargeWork(RequestRun &run, Work work);
    /// True for a model's answer that is not an event stream; its body reports the token count.
    bool isNonStreamingModelAnswer(const RequestRun &run) const;
    Work nonStreamingAnswerWork(const RequestRun &run, std::chrono::nanoseconds elapsed) const;

    // Status.
    void onTick();
    void broadcastState();
    void announceIdleSlots();
    AgentState agentState() const;
    void fillStatus(nlohmann::json &page);

    const Service *findService(const ServiceId &service) const;
    Share shareOf(const FlowId &flow) const;
    TimePoint now() const { return daemon->now(); }

    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<EntryLinks> links;
    std::unique_ptr<ServerMonitor> monitor;
    std::unique_ptr<ServiceReporter> reporter;
    std::unique_ptr<ClaimLogClient> claimLog;
    std::unique_ptr<OrderSender> orders;
    std::unique_ptr<ConcurrencyLimit> limit;
    std::unique_ptr<OfferQueue> queue;
    std::unique_ptr<AccountLedger> ledger;
    /// This agent's server in the configuration; empty until the configuration has it.
    std::optional<BackendServer> server;
    std::map<GrantId, std::unique_ptr<RequestRun>> runs;
    std::set<FlowId> backlogged;
    std::uint64_t lastGrant = 0;
    std::uint64_t lastCrash = 0;
    /// A crash is recorded for the current outage of the server.
    bool isOutageRecorded = false;
    /// Exponentially weighted mean service time.
    double serviceTimeMs = 0;
    bool leaving = false;
    bool terminating = false;
    TimePoint terminateStarted;
    TimePoint lastStateBroadcast;
    TimePoint lastIdleNotice;
    /// Offers waited or no slot was free since idle slots were last announced.
    bool wasSaturated = false;
    std::unique_ptr<Timer> tick;
};

} // namespace lovagecourse
