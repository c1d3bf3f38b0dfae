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

/// Version of the internal protocol; both sides must have the same one.
constexpr std::uint16_t wireVersion = 1;

/// Role of a daemon.
enum class DaemonRole : std::uint8_t { Entry, Agent };
/// Expected length of a request's service.
enum class CostClass : std::uint8_t { Short, Long };

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// First message of both sides of a link.
struct Hello
{
    DaemonId daemon;
    DaemonRole role = DaemonRole::Entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    ServerId server;
    Endpoint datagramEndpoint;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(daemon, role, incarnation, dataCentre, server, datagramEndpoint);
    }
};

/// Entry to agent: a waiting request that the agent may grant.
struct Offer
{
    OfferId offer;
    FlowId flow;
    ModelId model;
    Work expected;
    CostClass costClass = CostClass::Short;
    /// Time the request has left, in milliseconds.
    std::uint32_t deadlineMs = 0;
    /// Time the request has waited, in milliseconds.
    std::uint32_t waitedMs = 0;
    Fingerprint fingerprint;
    bool repeatable = true;
    /// Was running when a server died; runs alone.
    bool suspect = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offer, flow, model, expected, costClass, deadlineMs, waitedMs, fingerprint,
                repeatable, suspect);
    }
};

/// Entry to agent: the request no longer waits.
struct OfferWithdraw
{
    OfferId offer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offer);
    }
};

/// Agent to entry: the offer will not be granted here.
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

/// Agent to entry: a slot is held for the offer for a short time.
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

/// Entry to agent: the grant is not needed.
struct GrantDecline
{
    GrantId grant;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant);
    }
};

/// Entry to agent: the request itself, for a granted offer.
struct GrantAccept
{
    GrantId grant;
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
    /// Empty for repeatable services.
    IdempotencyKey idempotencyKey;
    /// Events of the stream that the caller already has.
    std::uint64_t resumeFromEvent = 0;
    std::uint32_t deadlineMs = 0;
    /// Bytes of answer that the agent may send before it gets Credit.
    std::uint32_t credit = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, method, path, headers, body, idempotencyKey, resumeFromEvent, deadlineMs,
                credit);
    }
};

/// Entry to agent: the caller left or another attempt won.
struct Cancel
{
    GrantId grant;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant);
    }
};

/// Entry to agent: more bytes of answer may be sent.
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

/// Agent to entry: start of an answer.
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

/// Agent to entry: part of an answer; whole events when it is an event stream.
struct AnswerData
{
    GrantId grant;
    /// Index of the first event in bytes; counts from the start of the whole stream.
    std::uint64_t firstEvent = 0;
    std::uint32_t eventCount = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, firstEvent, eventCount, bytes);
    }
};

/// Agent to entry: end of an answer, whole or not.
struct AnswerEnd
{
    GrantId grant;
    bool complete = false;
    /// Meaningful when the answer is not complete.
    Refusal refusal;
    Work cost;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, complete, refusal, cost);
    }
};

/// Agent to entry: what the entry needs to choose candidates; sent on change and as a heartbeat.
struct AgentState
{
    ServerId server;
    std::uint32_t limit = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
    bool serverUp = false;
    /// Mean time of service of the server's requests, in milliseconds.
    double serviceTimeMs = 0;
    NoteNumber note;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, limit, inFlight, queued, leaving, serverUp, serviceTimeMs, note);
    }
};

/// A request that was running when a backend server died.
struct Suspect
{
    Fingerprint fingerprint;
    /// Crashes at which it was running, as ids, so that repeated notices count once.
    std::vector<std::uint64_t> crashes;
    /// Set when it completed after the last crash.
    bool cleared = false;
    std::uint32_t expiresInMs = 0;
    /// At one of the crashes nothing else was running.
    bool crashedAlone = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(fingerprint, crashes, cleared, expiresInMs, crashedAlone);
    }
};

/// Both ways: crash suspects that the receiver may not know.
struct SuspectNotice
{
    std::vector<Suspect> suspects;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(suspects);
    }
};

/// Entry to agent: the agent's server leaves. An agent that is cut off from the platform learns it
/// in this way.
struct LeaveNotice
{
    /// The host list says so; otherwise the configuration does.
    bool byHostList = false;
    /// Configuration offset of the sender.
    LogOffset offset;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(byHostList, offset);
    }
};

/// Asks for a configuration state newer than the offset.
struct StateRequest
{
    LogOffset newerThan;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(newerThan);
    }
};

/// The sender's configuration state in its JSON form; empty when it has nothing newer.
struct StateReply
{
    LogOffset offset;
    std::string state;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(offset, state);
    }
};

/// What one daemon knows of another.
struct PeerEntry
{
    DaemonId daemon;
    DaemonRole role = DaemonRole::Entry;
    Incarnation incarnation;
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

/// Datagram: heartbeats and suspects.
struct Gossip
{
    std::vector<PeerEntry> peers;
    std::vector<Suspect> suspects;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(peers, suspects);
    }
};

/// One flow in a service report.
struct ServiceReportEntry
{
    FlowId flow;
    Share share;
    /// Service by this agent's incarnation since its start.
    Work cumulative;
    /// Position last heard from a home.
    Position knownPosition;
    /// Part of cumulative that knownPosition includes.
    Work included;
    bool backlogged = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(flow, share, cumulative, knownPosition, included, backlogged);
    }
};

/// Datagram, agent to home: cumulative service of active flows.
struct ServiceReport
{
    DaemonId agent;
    Incarnation incarnation;
    Position virtualTime;
    /// Service per second that this agent's server can do.
    Work capacityPerSecond;
    std::vector<ServiceReportEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(agent, incarnation, virtualTime, capacityPerSecond, entries);
    }
};

/// One flow in a home's answer.
struct FairTotalsEntry
{
    FlowId flow;
    Position position;
    /// The reporting agent's cumulative service that position includes.
    Work included;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(flow, position, included);
    }
};

/// Datagram, home to agent: fleet-wide positions.
struct FairTotals
{
    DaemonId home;
    /// Incarnation of the agent whose report is answered.
    Incarnation agentIncarnation;
    Position virtualTime;
    std::vector<FairTotalsEntry> entries;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(home, agentIncarnation, virtualTime, entries);
    }
};

/// One server in a router's report.
struct RouterServerLoad
{
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// Reading time of what this router sent there and is not read, in ms at the usual speed.
    std::uint16_t backlogMs = 0;
    /// Time by which this router's oldest answer is late.
    std::uint16_t overdueMs = 0;
    /// Tokens that this router sent there and that were not kept, since its start, modulo 2^32.
    std::uint32_t sentTokens = 0;
    std::uint16_t running = 0;
    /// What the server told last, in per cent of the usual duration of work; 0 when nothing.
    std::uint16_t slownessPercent = 0;
    std::uint16_t slownessAgeMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, backlogMs, overdueMs, sentTokens, running, slownessPercent, slownessAgeMs);
    }
};

/// One client account in a router's report.
struct RouterAccountLoad
{
    /// Hash of the account's id.
    std::uint32_t account = 0;
    /// Tokens within the window of fair shares.
    std::uint32_t requested = 0;
    std::uint32_t served = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(account, requested, served);
    }
};

/// Beginning of a prompt that a router sent to a server.
struct RouterSentPrefix
{
    std::uint32_t server = 0;
    std::uint64_t prefix = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, prefix);
    }
};

/// Datagram, router to router: what it sends to servers. Servers that it does not name are as they
/// were reported last.
struct RouterReport
{
    Endpoint datagrams;
    std::vector<RouterServerLoad> servers;
    /// Since the last report.
    std::vector<RouterSentPrefix> prefixes;
    /// The router stops and takes no more part.
    bool isLeaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(datagrams, servers, prefixes, isLeaving);
    }
};

/// Datagram, router to router: what client accounts asked for and got from it.
struct RouterShares
{
    std::vector<RouterAccountLoad> accounts;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(accounts);
    }
};

/// A router read the records of servers in a range of offsets, and they change nothing for a router
/// that knows all before it.
struct ServersUnchanged
{
    LogOffset from;
    /// Offset behind the last record.
    LogOffset to;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to);
    }
};

/// Every message between the system's own processes. New ones go to the end.
using Message =
        std::variant<Hello, Offer, OfferWithdraw, OfferRefused, Grant, GrantDecline, GrantAccept,
                     Cancel, Credit, AnswerHead, AnswerData, AnswerEnd, AgentState, SuspectNotice,
                     StateRequest, StateReply, Gossip, ServiceReport, FairTotals, LeaveNotice,
                     RouterReport, RouterShares, ServersUnchanged>;

} // namespace lovagecourse
