#include "core/Log.h"
#include "direct/RouterNodeImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Delay of an incremental report after the first unreported send: a small part of the prefill time
// of a typical prompt. It grows with the number of peers, so that a router sends at most 2,000
// datagrams of incremental reports a second.
constexpr std::chrono::microseconds incrementalReportDelay{5000};
constexpr std::chrono::microseconds incrementalReportDelayPerPeer{500};
// Delay of a relay's report after the first change of its data centre's load. It grows with the
// number of peers, to which the other relays forward each report.
constexpr std::chrono::microseconds relayReportDelay{5000};
constexpr std::chrono::microseconds relayReportDelayPerPeer{1250};
// The interval of full reports grows by fullReportInterval with each further group of this many
// peers, up to a part of the time after which reports expire.
constexpr std::size_t peersPerInterval = 5;
constexpr std::size_t maxIntervalFactor = 4;
// This many accounts fit into one datagram of 1,400 bytes.
constexpr std::size_t maxReportedAccounts = 96;
// Records of the store that fit into one datagram, with the lengths of each.
constexpr std::size_t maxForwardedBytes = 1100;
constexpr std::size_t recordOverheadBytes = 9;
// Older than any read; does not postpone the receiver's next read.
constexpr std::uint32_t unknownAgeMs = UINT32_MAX;
constexpr seconds presenceInterval{1};
// After the start, this many presences go to all known routers, in case the first ones are lost.
constexpr unsigned startPresences = 5;

using AccountTotals = std::vector<std::pair<AccountHash, AccountTokens>>;

/// When the report is full, accounts with the highest demand are kept: they decide the fair share.
std::vector<RouterAccountLoad> reportedAccounts(const AccountTotals &totals)
{
    std::vector<RouterAccountLoad> accounts;
    accounts.reserve(totals.size());
    for (const auto &[account, tokens] : totals)
        accounts.push_back({account, static_cast<std::uint32_t>(tokens.requested),
                            static_cast<std::uint32_t>(tokens.admitted)});
    std::sort(accounts.begin(), accounts.end(),
              [](const auto &left, const auto &right) { return left.requested > right.requested; });
    if (accounts.size() > maxReportedAccounts)
        accounts.resize(maxReportedAccounts);
    return accounts;
}

AccountTotals totalsOf(const std::vector<RouterAccountLoad> &accounts)
{
    AccountTotals totals;
    totals.reserve(accounts.size());
    for (const RouterAccountLoad &load : accounts)
        totals.emplace_back(load.account, AccountTokens{static_cast<double>(load.requested),
                                                        static_cast<double>(load.admitted)});
    return totals;
}

/// Name of a data centre's sum among the senders of account reports.
std::string totalsName(const DataCentreId &dataCentre)
{
    return "data-centre/" + dataCentre.value;
}

} // namespace

RouterRegistry::Handlers RouterNode::Impl::registryHandlers()
{
    RouterRegistry::Handlers handlers;
    handlers.onRouter = [this](const DaemonId &router, const RouterRecord &record) {
        peers.onRegistered(router, record.datagramEndpoint, record.dataCentre);
    };
    handlers.onRead = [this] {
        areRoutersKnown = true;
        // Only this router may have read the record of one that started at the same time.
        presenceCount = 0;
        sendPresence();
    };
    return handlers;
}

/// Announces this router to the others of its data centre.
void RouterNode::Impl::sendPresence()
{
    presenceTimer.startOnce(presenceInterval);
    const bool isStarting = presenceCount < startPresences;
    presenceCount += isStarting ? 1 : 0;
    const TimePoint now = clock.now();
    datagramSocket->sendToAll(isStarting ? peers.knownPeers() : peers.activePeers(now),
                              presence(false));
    sendKnownTraits(fleetTargets());
    // The members of another data centre get the repetition from its relay.
    sendEvacuations(isRelaying ? fleetTargets() : peers.activePeers(now));
}

RouterPresence RouterNode::Impl::presence(bool isReply) const
{
    return RouterPresence{settings.datagrams, settings.dataCentre, settings.processorPermille,
                          isReply};
}

std::size_t RouterNode::Impl::reportIntervalFactor() const
{
    const std::size_t members = peers.activePeers(clock.now()).size();
    return std::min(1 + members / peersPerInterval, maxIntervalFactor);
}

void RouterNode::Impl::sendFullReport()
{
    const TimePoint now = clock.now();
    const std::vector<Endpoint> targets = peers.targets(now);
    incrementalReportTimer.stop();
    fullReportTimer.startOnce(fullReportInterval * reportIntervalFactor());
    sendReports(pool.makeReports(false, now), targets);
    datagramSocket->sendToAll(targets,
                              RouterAccountReport{reportedAccounts(shares.localTotals(now))});
    sendLimits(targets);
}

/// Reports the sends since the last report, so that routers don't all choose the same idle server.
void RouterNode::Impl::sendIncrementalReport()
{
    sendReports(pool.makeReports(true, clock.now()), peers.activePeers(clock.now()));
}

void RouterNode::Impl::sendReports(std::vector<RouterReport> reports,
                                   const std::vector<Endpoint> &targets)
{
    for (RouterReport &report : reports) {
        report.datagramEndpoint = settings.datagrams;
        report.isLeaving = terminatedAt.has_value();
        datagramSocket->sendToAll(targets, std::move(report));
    }
}

/// Begins or ends relaying when the routers that were heard have changed.
void RouterNode::Impl::updateRelay(TimePoint now)
{
    const bool isRelay = !terminatedAt && peers.isRelay(now);
    if (isRelay == isRelaying)
        return;
    isRelaying = isRelay;
    logInfo(LogPart::Membership, "event=", isRelay ? "relay-begun" : "relay-ended",
            " data_centre=", settings.dataCentre, " routers=", peers.memberCount(now));
    pool.setRelaying(isRelay);
    if (isRelay)
        sendFullRelayReport();
    else
        relayFullTimer.stop();
}

/// Reports the load of this data centre to the others.
void RouterNode::Impl::sendRelayReports(std::vector<DataCentreReport> reports,
                                        const std::vector<Endpoint> &targets)
{
    const std::size_t routers = peers.memberCount(clock.now());
    for (DataCentreReport &report : reports) {
        report.dataCentre = settings.dataCentre;
        report.relay = settings.name;
        report.relayEndpoint = settings.datagrams;
        report.routers = static_cast<std::uint16_t>(std::min<std::size_t>(routers, UINT16_MAX));
        datagramSocket->sendToAll(targets, std::move(report));
    }
}

void RouterNode::Impl::sendFullRelayReport()
{
    if (!isRelaying)
        return;
    const TimePoint now = clock.now();
    relayTimer.stop();
    relayFullTimer.startOnce(fullReportInterval * reportIntervalFactor());
    const std::vector<Endpoint> targets = peers.relayTargets(now);
    sendRelayReports(pool.makeDataCentreReports(false, now), targets);
    const auto totals = shares.groupTotals(
            [this](const std::string &peer) { return peers.isMember(DaemonId(peer)); }, now);
    datagramSocket->sendToAll(
            targets, DataCentreAccountReport{settings.dataCentre, reportedAccounts(totals), false});
    sendLimitsAsRelay(targets);
}

void RouterNode::Impl::sendIncrementalRelayReport()
{
    if (!isRelaying)
        return;
    const TimePoint now = clock.now();
    sendRelayReports(pool.makeDataCentreReports(true, now), peers.relayTargets(now));
}

void RouterNode::Impl::scheduleRelayReport()
{
    if (!isRelaying || !pool.hasUnrelayedLoad() || relayTimer.isActive())
        return;
    const auto peerCount = static_cast<int>(peers.activePeers(clock.now()).size());
    relayTimer.startOnce(std::max(relayReportDelay, relayReportDelayPerPeer * peerCount));
}

/// Routers to which this router tells what concerns the whole fleet: those of its data centre, and
/// one of each other, which passes it on.
std::vector<Endpoint> RouterNode::Impl::fleetTargets()
{
    const TimePoint now = clock.now();
    std::vector<Endpoint> targets = peers.activePeers(now);
    for (Endpoint &remote : peers.relayTargets(now))
        targets.push_back(std::move(remote));
    return targets;
}

/// Sends news whose offsets are of this era.
void RouterNode::Impl::sendInEra(const std::vector<Endpoint> &targets, std::optional<StoreEra> era,
                                 StoreNews news)
{
    if (era)
        return datagramSocket->sendToAll(targets, InStoreEra{*era, std::move(news)});
    std::visit([&](auto &content) { datagramSocket->sendToAll(targets, std::move(content)); },
               news);
}

/// Announces that the records of this range change nothing, which saves the other routers a read of
/// the store.
void RouterNode::Impl::announceUnchanged(const StorePosition &from, const StorePosition &to)
{
    sendInEra(fleetTargets(), to.era, ServersUnchanged{from.offset, to.offset, listAgeMs()});
}

/// Passes on the changes in this range of records, in as many datagrams as they need. A router that
/// misses one of them reads the rest itself.
void RouterNode::Impl::announceChanges(const std::vector<KeyedRecord> &changes,
                                       const StorePosition &from, const StorePosition &to)
{
    // An empty range follows a full read, whose records other routers may not have.
    if (from == to)
        return;
    const std::vector<Endpoint> targets = fleetTargets();
    // Before the last part, a receiver does not know all changes from before the read.
    ServersChanged part{from.offset, to.offset, unknownAgeMs, {}};
    std::size_t partBytes = 0;
    for (const KeyedRecord &record : changes) {
        const std::size_t bytes =
                record.key.size() + record.value.value_or("").size() + recordOverheadBytes;
        if (bytes > maxForwardedBytes)
            return;
        if (partBytes + bytes > maxForwardedBytes) {
            part.to = record.offset;
            sendInEra(targets, to.era, part);
            part = ServersChanged{record.offset, to.offset, unknownAgeMs, {}};
            partBytes = 0;
        }
        part.records.push_back({record.key, record.value.value_or(""), !record.value.has_value()});
        partBytes += bytes;
    }
    part.ageMs = listAgeMs();
    sendInEra(targets, to.era, std::move(part));
}

void RouterNode::Impl::onDatagram(const DaemonId &sender, Message &&message)
{
    std::visit([&](auto &received) { onMessage(sender, std::move(received)); }, message);
    scheduleRelayReport();
}

void RouterNode::Impl::onMessage(const DaemonId &sender, RouterPresence &&presence)
{
    const TimePoint now = clock.now();
    if (presence.dataCentre != settings.dataCentre)
        return peers.onRegistered(sender, presence.datagramEndpoint, presence.dataCentre);
    const bool wasInactive =
            peers.onPresence(sender, presence.datagramEndpoint, presence.processorPermille, now);
    if (!wasInactive)
        return;
    if (!presence.isReply)
        datagramSocket->send(presence.datagramEndpoint, this->presence(true));
    sendReports(pool.makeReports(false, now), {presence.datagramEndpoint});
    sendKnownTraits({presence.datagramEndpoint});
    sendEvacuations({presence.datagramEndpoint});
}

void RouterNode::Impl::onMessage(const DaemonId &sender, RouterReport &&report)
{
    const TimePoint now = clock.now();
    // The load of a router in another data centre is part of that data centre's sum.
    if (peers.isInOtherDataCentre(sender)) {
        metrics.count("lovagecourse_unexpected_messages_total", "other-data-centre");
        return;
    }
    // Before its peer entry is removed, a leaving router counts as a member for the last time.
    const bool isMember = peers.isMember(sender);
    if (report.isLeaving) {
        peers.onLeaving(sender);
        pool.limitParts().onRouterLeft(sender.value);
    } else {
        peers.onReportReceived(sender, report.datagramEndpoint, now);
    }
    pool.applyReport(sender, report, isMember, now);
}

void RouterNode::Impl::onMessage(const DaemonId &sender, RouterAccountReport &&report)
{
    shares.setPeerTotals(sender.value, totalsOf(report.accounts), clock.now());
}

void RouterNode::Impl::onMessage(const DaemonId &, DataCentreReport &&report)
{
    if (report.dataCentre == settings.dataCentre)
        return;
    const TimePoint now = clock.now();
    peers.onDataCentreReport(report.dataCentre, report.relayEndpoint, report.routers, now);
    pool.applyReport(report, now);
    if (report.isForwarded)
        return;
    report.isForwarded = true;
    datagramSocket->sendToAll(peers.activePeers(now), std::move(report));
}

void RouterNode::Impl::onMessage(const DaemonId &, DataCentreAccountReport &&report)
{
    if (report.dataCentre == settings.dataCentre)
        return;
    const TimePoint now = clock.now();
    shares.setPeerTotals(totalsName(report.dataCentre), totalsOf(report.accounts), now);
    if (report.isForwarded)
        return;
    report.isForwarded = true;
    datagramSocket->sendToAll(peers.activePeers(now), std::move(report));
}

/// Time that a message which is being handled gives as an age. The message may have waited in the
/// socket while this process was late.
TimePoint RouterNode::Impl::timeOf(std::uint32_t ageMs) const
{
    return clock.now() - loop.delay() - milliseconds(ageMs);
}

/// Age of a time as messages contain it, rounded up.
std::uint32_t RouterNode::Impl::ageMs(TimePoint time) const
{
    const auto age = std::chrono::ceil<milliseconds>(clock.now() - time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

/// Age of the servers' records in this process.
std::uint32_t RouterNode::Impl::listAgeMs() const
{
    return ageMs(serversFollower->asOf().value_or(clock.now()));
}

void RouterNode::Impl::onMessage(const DaemonId &sender, InStoreEra &&message)
{
    std::visit([&](auto &content) { onMessage(sender, std::move(content), message.era); },
               message.content);
}

void RouterNode::Impl::onMessage(const DaemonId &sender, ServersUnchanged &&unchanged,
                                 std::optional<StoreEra> era)
{
    metrics.count("lovagecourse_store_reads_saved_total");
    const TimePoint asOf = timeOf(unchanged.ageMs);
    unchanged.ageMs = ageMs(asOf);
    storeContact.onAnswer(asOf);
    if (serversFollower->skipUnchanged({era, unchanged.from}, {era, unchanged.to}, asOf))
        updateListTime();
    if (peers.isInOtherDataCentre(sender))
        sendInEra(peers.activePeers(clock.now()), era, unchanged);
}

void RouterNode::Impl::onMessage(const DaemonId &sender, ServersChanged &&changed,
                                 std::optional<StoreEra> era)
{
    const TimePoint asOf = timeOf(changed.ageMs);
    changed.ageMs = ageMs(asOf);
    if (peers.isInOtherDataCentre(sender))
        sendInEra(peers.activePeers(clock.now()), era, changed);
    storeContact.onAnswer(asOf);
    const StorePosition from{era, changed.from};
    const StorePosition to{era, changed.to};
    if (!serversFollower->takeOver(from, to, asOf))
        return;
    metrics.count("lovagecourse_store_reads_saved_total");
    logInfo(LogPart::Membership, "event=servers-passed-on by=", sender, " from=", from, " to=", to,
            " changes=", changed.records.size());
    UnreadableServers unreadable;
    for (const ForwardedRecord &forwarded : changed.records) {
        KeyedRecord record{forwarded.key, std::nullopt, {}};
        if (!forwarded.isDeleted)
            record.value = forwarded.value;
        applyServerRecord(ServerId(record.key), decodeServer(record, unreadable), std::nullopt);
    }
    reportUnreadable(unreadable);
    updateListTime();
}

void RouterNode::Impl::onMessage(const DaemonId &sender, ConfigurationRead &&read,
                                 std::optional<StoreEra> era)
{
    const StorePosition next{era, read.next};
    if (!announcedConfiguration || isAheadOf(next, *announcedConfiguration))
        announcedConfiguration = next;
    configurationFollower->onReadElsewhere(next);
    if (peers.isInOtherDataCentre(sender))
        sendInEra(peers.activePeers(clock.now()), era, read);
}

void RouterNode::Impl::onRequest(CallerRequest &&request)
{
    ++receivedRequests;
    router->onRequest(std::move(request));
    scheduleRelayReport();
    if (!pool.hasUnreportedSends() || incrementalReportTimer.isActive())
        return;
    const auto peerCount = static_cast<int>(peers.activePeers(clock.now()).size());
    incrementalReportTimer.startOnce(
            std::max(incrementalReportDelay, incrementalReportDelayPerPeer * peerCount));
}

} // namespace lovagecourse
