#include "core/Log.h"
#include "direct/RouterNodeImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Server records are polled at an interval, because the heartbeats of all servers would end a long
// poll many times a second. The interval is this part of maxLeavingDelay; the rest is left for the
// answer and one retransmission.
constexpr double serversPollShare = 0.55;
// The router that reads first announces to the others that nothing has changed, and they postpone
// their own read. Poll intervals differ by up to this part of maxLeavingDelay, so that routers
// don't read at the same time.
constexpr double serversPollStagger = 0.1;
// Delay of an incremental report after the first unreported send: a small part of the prefill time
// of a typical prompt. It grows with the number of peers, so that a router sends at most 2,000
// datagrams of incremental reports a second.
constexpr std::chrono::microseconds incrementalReportDelay{5000};
constexpr std::chrono::microseconds incrementalReportDelayPerPeer{500};
// The interval of full reports grows by fullReportInterval with each further group of this many
// peers, so that the fleet's report traffic grows with the number of routers and not with its
// square.
constexpr std::size_t peersPerInterval = 5;
// This many accounts fit into one datagram of 1,400 bytes.
constexpr std::size_t maxReportedAccounts = 96;
constexpr milliseconds registryRetryInterval{500};
constexpr milliseconds registryTimeout{1000};
// Added to the idle timeout, so that a caller that keeps to it never sends on a connection that is
// being closed.
constexpr seconds idleTimeoutSlack{1};

} // namespace

/// A long poll returns changes at once; its wait time bounds how long a dead connection stays
/// undetected.
PollTiming RouterNode::Impl::configurationPollTiming() const
{
    return PollTiming{milliseconds(0), settings.maxConfigurationDelay};
}

/// A fixed interval without long poll; a hash of the router's name staggers it.
PollTiming RouterNode::Impl::serversPollTiming() const
{
    constexpr double hashRange = 4294967296.;
    const double stagger = serversPollStagger * reportHash(settings.name.value) / hashRange;
    const auto interval = std::chrono::duration_cast<milliseconds>(settings.maxLeavingDelay
                                                                   * (serversPollShare + stagger));
    return PollTiming{interval, milliseconds(0)};
}

void RouterNode::Impl::restartFollowers()
{
    store = platform.openStore(http, settings.platformUrl);
    StoreFollower::Handlers forConfiguration;
    forConfiguration.onFullRead = [this](const auto &records) { onConfigurationRecords(records); };
    forConfiguration.onRecords = [this](const auto &records, LogOffset, LogOffset) {
        onConfigurationRecords(records);
    };
    forConfiguration.onEmptyRead = [](LogOffset) {};
    forConfiguration.onStoreRecovered = [] {};
    configurationFollower =
            std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Configuration,
                                            configurationPollTiming(), std::move(forConfiguration));
    StoreFollower::Handlers forServers;
    forServers.onFullRead = [this](const auto &records) { onAllServers(records); };
    forServers.onRecords = [this](const auto &records, LogOffset from, LogOffset to) {
        onServerRecords(records, from, to);
    };
    forServers.onEmptyRead = [this](LogOffset next) { announceUnchanged(next, next); };
    forServers.onStoreRecovered = [this] { directory.onStoreRecovered(clock.now()); };
    serversFollower = std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Servers,
                                                      serversPollTiming(), std::move(forServers));
    configurationFollower->start();
    serversFollower->start();
}

void RouterNode::Impl::onConfigurationRecords(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        if (record.key != platform.configurationKey || !record.value)
            continue;
        auto decoded = platform.decodeConfiguration(*record.value);
        if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
            metrics.count("lovagecourse_configuration_faults_total");
            logError(LogPart::Configuration, "event=configuration-unreadable field=", fault->field);
            continue;
        }
        auto &next = std::get<DirectConfiguration>(decoded);
        const std::uint64_t current = configuration ? configuration->version : 0;
        if (configuration && next.version <= current)
            continue;
        logInfo(LogPart::Configuration, "event=configuration version=", next.version,
                " before=", current, " routes=", next.routes.size(),
                " keys=", next.accounts.size());
        metrics.gauge("lovagecourse_configuration_version", static_cast<double>(next.version));
        configuration = std::make_shared<const DirectConfiguration>(std::move(next));
        pool.setConfiguration(configuration);
        router->setConfiguration(configuration);
        if (configuration->idleTimeout.count() > 0)
            gateway->setIdleTimeout(std::chrono::ceil<seconds>(configuration->idleTimeout)
                                    + idleTimeoutSlack);
    }
}

std::optional<ServerEntry> RouterNode::Impl::decodeServer(const KeyedRecord &record)
{
    if (!record.value)
        return std::nullopt;
    auto decoded = platform.decodeServer(record.key, *record.value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        metrics.count("lovagecourse_server_entry_faults_total");
        logWarning(LogPart::Membership, "event=server-unreadable server=", record.key,
                   " field=", fault->field);
        return std::nullopt;
    }
    return std::get<ServerEntry>(std::move(decoded));
}

void RouterNode::Impl::onAllServers(const std::vector<KeyedRecord> &records)
{
    std::map<ServerId, ServerEntry> entries;
    for (const KeyedRecord &record : records) {
        if (auto entry = decodeServer(record))
            entries.emplace(entry->id, std::move(*entry));
    }
    serversLoaded = true;
    applyChanges(directory.applyAll(entries, clock.now()));
}

void RouterNode::Impl::onServerRecords(const std::vector<KeyedRecord> &records, LogOffset from,
                                       LogOffset to)
{
    bool hasChanges = false;
    for (const KeyedRecord &record : records) {
        const ServerId id(record.key);
        const auto entry = decodeServer(record);
        hasChanges = hasChanges || directory.isChange(id, entry);
        applyChanges(directory.apply(id, entry, clock.now()));
    }
    if (!hasChanges)
        announceUnchanged(from, to);
}

/// Announces to the active peers that the records of this range change nothing, which saves them a
/// read of the store.
void RouterNode::Impl::announceUnchanged(LogOffset from, LogOffset to)
{
    for (const Endpoint &peer : peers.activePeers(clock.now()))
        datagramSocket->send(peer, ServersUnchanged{from, to});
}

void RouterNode::Impl::applyChanges(const std::vector<RegistrationChange> &changes)
{
    for (const RegistrationChange &change : changes)
        pool.apply(change, clock.now());
    metrics.gauge("lovagecourse_servers", static_cast<double>(directory.size()));
}

/// Writes this router's own record, by which other routers find it; retries until it succeeds.
void RouterNode::Impl::registerSelf()
{
    store->writeDaemon(settings.name.value, toString(settings.datagrams), registryTimeout,
                       [this](const WriteResult &fault) {
                           if (!fault)
                               return;
                           logWarning(LogPart::Membership,
                                      "event=not-listed fault=", toString(*fault));
                           registerTimer.startOnce(registryRetryInterval);
                       });
}

void RouterNode::Impl::readRouterRecords()
{
    store->readNewest(KeyedTopic::Daemons, registryTimeout, [this](const KeyedResult &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            logWarning(LogPart::Membership, "event=routers-unknown fault=", toString(*fault));
            routerRecordsTimer.startOnce(registryRetryInterval);
            return;
        }
        for (const KeyedRecord &record : std::get<KeyedBatch>(result).records) {
            const auto endpoint = parseEndpoint(record.value.value_or(""));
            if (endpoint && record.key != settings.name.value)
                peers.onRegistered(DaemonId(record.key), *endpoint);
        }
    });
}

void RouterNode::Impl::sendFullReport()
{
    const TimePoint now = clock.now();
    const std::vector<Endpoint> targets = peers.targets(now);
    const std::size_t intervalFactor = 1 + targets.size() / peersPerInterval;
    incrementalReportTimer.stop();
    fullReportTimer.startOnce(fullReportInterval * intervalFactor);
    RouterAccountReport accountReport;
    for (const auto &[account, tokens] : shares.localTotals(now))
        accountReport.accounts.push_back({account, static_cast<std::uint32_t>(tokens.requested),
                                          static_cast<std::uint32_t>(tokens.admitted)});
    // When the report is full, accounts with the highest demand are kept: they decide the fair
    // share.
    std::sort(accountReport.accounts.begin(), accountReport.accounts.end(),
              [](const auto &left, const auto &right) { return left.requested > right.requested; });
    if (accountReport.accounts.size() > maxReportedAccounts)
        accountReport.accounts.resize(maxReportedAccounts);
    sendReports(pool.makeReports(false, now), targets);
    for (const Endpoint &target : targets)
        datagramSocket->send(target, accountReport);
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
        for (const Endpoint &target : targets)
            datagramSocket->send(target, report);
    }
}

void RouterNode::Impl::onDatagram(const DaemonId &sender, const Message &message)
{
    const TimePoint now = clock.now();
    if (const auto *report = std::get_if<RouterReport>(&message)) {
        if (report->isLeaving)
            peers.onLeaving(sender);
        else
            peers.onReportReceived(sender, report->datagramEndpoint, now);
        pool.applyReport(sender.value, *report, now);
    } else if (const auto *reported = std::get_if<RouterAccountReport>(&message)) {
        std::vector<std::pair<AccountHash, AccountTokens>> accounts;
        for (const RouterAccountLoad &load : reported->accounts)
            accounts.emplace_back(load.account, AccountTokens{static_cast<double>(load.requested),
                                                              static_cast<double>(load.admitted)});
        shares.setPeerTotals(sender.value, std::move(accounts), now);
    } else if (const auto *unchanged = std::get_if<ServersUnchanged>(&message)) {
        metrics.count("lovagecourse_store_reads_saved_total");
        serversFollower->skipUnchanged(unchanged->from, unchanged->to);
    } else {
        metrics.count("lovagecourse_unexpected_messages_total");
    }
}

void RouterNode::Impl::onRequest(CallerRequest &&request)
{
    router->onRequest(std::move(request));
    if (!pool.hasUnreportedSends() || incrementalReportTimer.isActive())
        return;
    const auto peerCount = static_cast<int>(peers.activePeers(clock.now()).size());
    incrementalReportTimer.startOnce(
            std::max(incrementalReportDelay, incrementalReportDelayPerPeer * peerCount));
}

} // namespace lovagecourse
