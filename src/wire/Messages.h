#pragma once

#include "core/Ids.h"
#include "core/Refusal.h"
#include "core/Units.h"
#include "wire/Endpoint.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Version of the internal protocol. Peers with another version are rejected.
constexpr std::uint16_t wireVersion = 1;

/// Process role of a daemon.
enum class DaemonRole : std::uint8_t { Entry, Agent };
/// Class of a request by its expected work.
enum class CostClass : std::uint8_t { Short, Long };

/// HTTP header fields: names and values.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// First message of each side of a link: identity of the sender.
struct Hello
{
    DaemonId daemon;
    DaemonRole role = DaemonRole::Entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Backend server of an agent.
    ServerId server;
    Endpoint datagramEndpoint;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(daemon, role, incarnation, dataCentre, server, datagramEndpoint);
    }
};

/// Entry to agent: offers a waiting request, which the agent may grant.
struct Offer
{
    OfferId offer;
    FlowId flow;
    ModelId model;
    /// Expected work of the request.
    Work expected;
    CostClass costClass = CostClass::Short;
    /// Remaining time until the request's deadline, in milliseconds.
    std::uint32_t deadlineMs = 0;
    /// Time that the request has waited, in milliseconds.
    std::uint32_t waitedMs = 0;
    Fingerprint fingerprint;
    /// The service needs no idempotency key: its requests may be executed more than once.
    bool repeatable = true;
    /// Crash suspect: was in flight when a server crashed. The agent runs it alone.
    bool suspect = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offer, flow, model, expected, costClass, deadlineMs, waitedMs, fingerprint,
                repeatable, suspect);
    }
};

/// Entry to agent: withdraws an offer; the request no longer waits.
struct OfferWithdraw
{
    OfferId offer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offer);
    }
};

/// Agent to entry: this agent will not grant the offer.
struct OfferRefused
{
    OfferId offer;
    RefusalReason reason = RefusalReason::AgentQueueFull;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offer, reason);
    }
};

/// Agent to entry: reserves a slot for the offer; expires unless accepted in time.
struct Grant
{
    GrantId grant;
    OfferId offer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, offer);
    }
};

/// Entry to agent: declines a grant, which frees its slot.
struct GrantDecline
{
    GrantId grant;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant);
    }
};

/// Flow-control credit of one answer while the memory of its agent or its entry is short.
constexpr std::uint32_t shortAnswerCreditBytes = 32U << 10;

/// Entry to agent: accepts a grant and sends the request to execute.
struct GrantAccept
{
    GrantId grant;
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
    /// Empty if the service needs none.
    IdempotencyKey idempotencyKey;
    /// Number of events that the caller already received; the answer resumes after them.
    std::uint64_t resumeFromEvent = 0;
    /// Remaining time until the request's deadline, in milliseconds.
    std::uint32_t deadlineMs = 0;
    /// Flow-control credit: bytes of the answer that the agent may send before it receives Credit.
    std::uint32_t credit = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, method, path, headers, body, idempotencyKey, resumeFromEvent, deadlineMs,
                credit);
    }
};

/// Entry to agent: cancels a request, because its caller left or another attempt answered first.
struct Cancel
{
    GrantId grant;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant);
    }
};

/// Entry to agent: adds flow-control credit for more bytes of the answer.
struct Credit
{
    GrantId grant;
    std::uint32_t bytes = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, bytes);
    }
};

/// Agent to entry: status and headers of an answer.
struct AnswerHead
{
    GrantId grant;
    std::uint16_t status = 0;
    HeaderList headers;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, status, headers);
    }
};

/// Agent to entry: part of an answer's body; complete events if it is an event stream.
struct AnswerData
{
    GrantId grant;
    /// Index of the first event in `bytes`, counted from the start of the stream.
    std::uint64_t firstEvent = 0;
    std::uint32_t eventCount = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, firstEvent, eventCount, bytes);
    }
};

/// Agent to entry: end of an answer, complete or failed.
struct AnswerEnd
{
    GrantId grant;
    bool complete = false;
    /// Valid only if the answer is not complete.
    Refusal refusal;
    /// Measured work of the request.
    Work cost;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, complete, refusal, cost);
    }
};

/// Agent to entry: load and state of the agent's server, from which the entry selects the agents to
/// offer to. Sent on change and as a heartbeat.
struct AgentState
{
    ServerId server;
    /// Concurrency limit of the server.
    std::uint32_t limit = 0;
    std::uint32_t inFlight = 0;
    /// Number of offers in the agent's queue.
    std::uint32_t queued = 0;
    /// The agent drains and grants no further offers.
    bool leaving = false;
    bool serverUp = false;
    /// Mean service time of the server's requests, in milliseconds.
    double serviceTimeMs = 0;
    /// Newest release note in the agent's configuration.
    NoteNumber note;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, limit, inFlight, queued, leaving, serverUp, serviceTimeMs, note);
    }
};

/// Crash suspect: a request that was in flight when a backend server crashed.
struct CrashSuspect
{
    Fingerprint fingerprint;
    /// Ids of the crashes at which it was in flight; ids, so that a repeated notice counts once.
    std::vector<std::uint64_t> crashes;
    /// It completed after its last crash.
    bool cleared = false;
    /// Remaining lifetime of this record, in milliseconds.
    std::uint32_t expiresInMs = 0;
    /// At one of the crashes, no other request was in flight.
    bool crashedAlone = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, crashes, cleared, expiresInMs, crashedAlone);
    }
};

/// Entry to agent or agent to entry: crash suspects that the receiver may not have.
struct CrashSuspectNotice
{
    std::vector<CrashSuspect> suspects;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(suspects);
    }
};

/// Entry to agent: the agent must drain, because its server is being removed. Reaches an agent that
/// is cut off from the platform.
struct LeaveNotice
{
    /// True if the host list marks the host as leaving; false if the configuration marks the
    /// server.
    bool byHostList = false;
    /// Configuration offset of the sender.
    LogOffset offset;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(byHostList, offset);
    }
};

/// Requests the configuration state of a peer, if it is newer than the offset.
struct ConfigurationStateRequest
{
    LogOffset newerThan;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(newerThan);
    }
};

/// Configuration state of the sender as JSON; empty if it is not newer than the requested offset.
struct ConfigurationStateReply
{
    LogOffset offset;
    std::string state;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, state);
    }
};

/// Membership information about one daemon, spread by gossip.
struct PeerEntry
{
    DaemonId daemon;
    DaemonRole role = DaemonRole::Entry;
    Incarnation incarnation;
    /// Counter that the daemon increments while it is alive.
    std::uint64_t heartbeat = 0;
    Endpoint datagramEndpoint;
    DataCentreId dataCentre;
    LogOffset configurationOffset;
    bool leaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(daemon, role, incarnation, heartbeat, datagramEndpoint, dataCentre,
                configurationOffset, leaving);
    }
};

/// Datagram between daemons: heartbeats and crash suspects.
struct Gossip
{
    std::vector<PeerEntry> peers;
    std::vector<CrashSuspect> suspects;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(peers, suspects);
    }
};

/// Service of one flow in a service report.
struct ServiceReportEntry
{
    FlowId flow;
    Share share;
    /// Service by the agent's incarnation since its start.
    Work cumulative;
    /// Position last received from a home.
    Position knownPosition;
    /// Part of `cumulative` that knownPosition includes.
    Work included;
    /// Offers of the flow wait at the agent.
    bool backlogged = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(flow, share, cumulative, knownPosition, included, backlogged);
    }
};

/// Datagram, agent to home: cumulative service of flows of one service. The home of a flow is the
/// entry that sums its service over all agents.
struct ServiceReport
{
    DaemonId agent;
    Incarnation incarnation;
    /// The service's virtual time at the agent.
    Position virtualTime;
    /// Capacity of the agent's server: work per second.
    Work capacityPerSecond;
    std::vector<ServiceReportEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(agent, incarnation, virtualTime, capacityPerSecond, entries);
    }
};

/// Position of one flow in a home's reply.
struct FairTotalsEntry
{
    FlowId flow;
    Position position;
    /// The reporting agent's cumulative service that the position includes.
    Work included;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(flow, position, included);
    }
};

/// Datagram, home to agent: reply to a ServiceReport with the fleet-wide positions of its flows.
struct FairTotals
{
    DaemonId home;
    /// Incarnation of the agent that sent the report.
    Incarnation agentIncarnation;
    Position virtualTime;
    std::vector<FairTotalsEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(home, agentIncarnation, virtualTime, entries);
    }
};

/// Load that one router causes at one server.
struct RouterServerLoad
{
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// Predicted prefill time of the prompts that this router sent there and the server has not
    /// prefilled yet, in milliseconds at the usual speed.
    std::uint16_t backlogMs = 0;
    /// Time by which the oldest request of this router in prefill exceeds its predicted time to
    /// first byte plus a tolerance, in milliseconds.
    std::uint16_t overdueMs = 0;
    /// Uncached prompt tokens that this router sent there since its start, modulo 2^32.
    std::uint32_t sentTokens = 0;
    /// Number of this router's requests in flight there.
    std::uint16_t running = 0;
    /// Slowness that the server last reported: duration of work in per cent of the usual one; 0 if
    /// there is no recent value.
    std::uint16_t slownessPercent = 0;
    /// Age of slownessPercent, in milliseconds.
    std::uint16_t slownessAgeMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, backlogMs, overdueMs, sentTokens, running, slownessPercent, slownessAgeMs);
    }
};

/// Demand of one client account at one router.
struct RouterAccountLoad
{
    /// Hash of the account's id.
    std::uint32_t account = 0;
    /// Requested and admitted tokens, as estimated for FairShares::window.
    std::uint32_t requested = 0;
    std::uint32_t admitted = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, requested, admitted);
    }
};

/// Prompt prefix that a router sent to a server, which may have cached it since.
struct RouterSentPrefix
{
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// Hash of the prefix.
    std::uint64_t prefix = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, prefix);
    }
};

/// Datagram, router to router: the router's load at servers. For servers that are not listed, the
/// last report remains valid.
struct RouterReport
{
    /// Datagram endpoint of the sender.
    Endpoint datagramEndpoint;
    std::vector<RouterServerLoad> servers;
    /// Prefixes that no earlier report contained.
    std::vector<RouterSentPrefix> prefixes;
    /// The router is shutting down; receivers remove it from their peers.
    bool isLeaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(datagramEndpoint, servers, prefixes, isLeaving);
    }
};

/// Datagram, router to router: requested and admitted tokens of the client accounts at the sender.
struct RouterAccountReport
{
    std::vector<RouterAccountLoad> accounts;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(accounts);
    }
};

/// Datagram, router to router: the server records in a range of store offsets change nothing for a
/// router that has applied all records before it, so that it need not read them.
struct ServersUnchanged
{
    LogOffset from;
    /// Offset after the last record.
    LogOffset to;
    /// Time since the start of the read, in milliseconds.
    std::uint32_t ageMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, ageMs);
    }
};

/// Record of the store, as one router passes it on to another.
struct ForwardedRecord
{
    std::string key;
    std::string value;
    /// The record deletes its key; value is empty.
    bool isDeleted = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, value, isDeleted);
    }
};

/// Datagram, router to router: of the server records in a range of store offsets, those that change
/// something for a router that has applied all records before it, so that it need not read them.
struct ServersChanged
{
    LogOffset from;
    /// Offset after the last record.
    LogOffset to;
    /// Time since the start of the read, in milliseconds.
    std::uint32_t ageMs = 0;
    std::vector<ForwardedRecord> records;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, ageMs, records);
    }
};

/// Datagram, router to router of the same data centre: the sender runs. Routers find each other by
/// it after a start, before either has load to report.
struct RouterPresence
{
    /// Datagram endpoint of the sender.
    Endpoint datagramEndpoint;
    DataCentreId dataCentre;
    /// Processor share of the sender's host, in per mille of a core. The router with the largest
    /// share relays the load of its data centre.
    std::uint16_t processorPermille = 0;
    /// Answers a presence; is not answered itself.
    bool isReply = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(datagramEndpoint, dataCentre, processorPermille, isReply);
    }
};

/// Datagram, router to router: the load of all routers of one data centre together. The data
/// centre's relay sends it to one router of each other data centre, which forwards it to the
/// routers of its own. For servers that are not listed, the last report remains valid.
struct DataCentreReport
{
    DataCentreId dataCentre;
    /// The router that made the report; its token counters start anew with another relay.
    DaemonId relay;
    Endpoint relayEndpoint;
    /// Live routers of the data centre.
    std::uint16_t routers = 0;
    std::vector<RouterServerLoad> servers;
    std::vector<RouterSentPrefix> prefixes;
    /// Sent by a router of the receiver's data centre; is not forwarded again.
    bool isForwarded = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, relay, relayEndpoint, routers, servers, prefixes, isForwarded);
    }
};

/// Datagram, router to router: requested and admitted tokens of the client accounts at all routers
/// of one data centre together; distributed as a DataCentreReport.
struct DataCentreAccountReport
{
    DataCentreId dataCentre;
    std::vector<RouterAccountLoad> accounts;
    bool isForwarded = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, accounts, isForwarded);
    }
};

/// A server broke the connection of a request with a trait before the answer began; see
/// CrashTraits.
struct CrashEvidence
{
    std::uint64_t trait = 0;
    /// Identifies the run of the server.
    std::uint64_t serverRun = 0;
    /// Times since the request was sent and since its connection broke, in milliseconds.
    std::uint32_t sentAgeMs = 0;
    std::uint32_t brokenAgeMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(trait, serverRun, sentAgeMs, brokenAgeMs);
    }
};

/// The answer to a request with a suspected trait has begun.
struct ClearedTrait
{
    std::uint64_t trait = 0;
    /// Time since then, in milliseconds.
    std::uint32_t ageMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(trait, ageMs);
    }
};

/// Datagram, router to router: what the sender knows of requests that may crash servers. A router
/// of another data centre forwards it to the routers of its own.
struct CrashTraitReport
{
    std::vector<CrashEvidence> crashes;
    std::vector<ClearedTrait> cleared;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, cleared);
    }
};

/// Datagram, router to router: the sender has read the configuration's records up to an offset of
/// the store. A router that has not may have a connection to the store that has gone silent, and
/// reads again.
struct ConfigurationRead
{
    /// Offset after the last record.
    LogOffset next;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(next);
    }
};

/// What one router tells another of its reads of the store.
using StoreNews = std::variant<ServersUnchanged, ServersChanged, ConfigurationRead>;

/// Datagram, router to router: news whose offsets are of this era of the store. Routers whose
/// software does not know eras drop it, as they would misunderstand the offsets. News without an
/// era concerns a store that names none.
struct InStoreEra
{
    StoreEra era;
    StoreNews content;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(era, content);
    }
};

/// What a server said of its limit in one of its answers, as one router tells it to another.
struct ServerLimitNews
{
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// Identifies the server's run.
    std::uint64_t serverRun = 0;
    /// Requests in 1,000 seconds that the server takes from all routers; 0 when it names no limit
    /// any more.
    std::uint32_t perKilosecond = 0;
    /// Time since the answer, in milliseconds.
    std::uint32_t ageMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, serverRun, perKilosecond, ageMs);
    }
};

/// Requests that a router receives for a service.
struct RouterServiceDemand
{
    /// Hash of the service's name.
    std::uint32_t service = 0;
    /// Requests in 1,000 seconds.
    std::uint32_t perKilosecond = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(service, perKilosecond);
    }
};

/// Datagram, router to router: the limits that servers name, and the requests that are received, by
/// which the limits are divided. Routers of one data centre tell each other what they receive; its
/// relay tells the other data centres the sum, which a router there forwards to its own.
struct RouterLimitReport
{
    std::vector<ServerLimitNews> limits;
    std::vector<RouterServiceDemand> demands;
    /// Set when the demands are the sum of a data centre.
    DataCentreId dataCentre;
    /// Live routers of that data centre.
    std::uint16_t routers = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(limits, demands, dataCentre, routers);
    }
};

/// Datagram, router to router: the data centres that are evacuated as of the newest read of the
/// store that the sender knows of, for routers that can't reach the store. Distributed as
/// ConfigurationRead, and repeated with each RouterPresence.
struct EvacuatedDataCentres
{
    /// Era of the store; if it names none, how often it has lost its records. See EvacuationReads.
    std::uint64_t history = 0;
    /// Offset after the last record of that read.
    LogOffset next;
    std::vector<DataCentreId> dataCentres;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(history, next, dataCentres);
    }
};

/// Any message between daemons. The index identifies the type in the protocol, so new types must be
/// appended.
using Message =
        std::variant<Hello, Offer, OfferWithdraw, OfferRefused, Grant, GrantDecline, GrantAccept,
                     Cancel, Credit, AnswerHead, AnswerData, AnswerEnd, AgentState,
                     CrashSuspectNotice, ConfigurationStateRequest, ConfigurationStateReply, Gossip,
                     ServiceReport, FairTotals, LeaveNotice, RouterReport, RouterAccountReport,
                     ServersUnchanged, RouterPresence, DataCentreReport, DataCentreAccountReport,
                     ServersChanged, CrashTraitReport, ConfigurationRead, RouterLimitReport,
                     EvacuatedDataCentres, InStoreEra>;

} // namespace lovagecourse
