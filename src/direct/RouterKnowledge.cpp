#include "core/Log.h"
#include "direct/RouterNodeImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Heartbeats of all servers would end a long poll many times a second, so their entries are read at
// a pace. This part of the bound leaves the rest for the answer and a lost packet.
constexpr double leavingPaceShare = 0.55;
// The router that reads first tells the others when nothing has changed, and they put off their own
// read. Their paces differ by up to this part of the bound, so that they don't read at once.
constexpr double leavingPaceStagger = 0.1;
// News of sends go out this soon, a small part of the time in which an engine reads a usual prompt,
// and later with many peers, so that a router sends at most 2,000 datagrams of news a second.
constexpr std::chrono::microseconds newsDelay{5000};
constexpr std::chrono::microseconds newsDelayPerPeer{500};
// Above this number of peers, reports are rarer, so that their traffic grows with the number of
// routers and not with its square.
constexpr std::size_t peersPerInterval = 5;
// Fit into one datagram of 1,400 bytes.
constexpr std::size_t maxReportedAccounts = 96;
constexpr milliseconds listRetryInterval{500};
constexpr milliseconds listTimeout{1000};
// A caller that keeps to the limit never meets the close.
constexpr seconds idleTimeoutSlack{1};

} // namespace

/// A long poll brings changes at once; its wait bounds the time after which a silent connection is
/// noticed.
FollowPace RouterNode::Impl::configurationPace() const
{
    return FollowPace{milliseconds(0), settings.configurationBound};
}

FollowPace RouterNode::Impl::serversPace() const
{
    constexpr double hashes = 4294967296.;
    const double stagger = leavingPaceStagger * reportHash(settings.name.value) / hashes;
    const auto pause = std::chrono::duration_cast<milliseconds>(settings.leavingBound
                                                                * (leavingPaceShare + stagger));
    return FollowPace{pause, milliseconds(0)};
}

void RouterNode::Impl::restartFollowers()
{
    store = platform.openStore(http, settings.platformUrl);
    StoreFollower::Handlers forConfiguration;
    forConfiguration.onAll = [this](const auto &records) { onConfigurationRecords(records); };
    forConfiguration.onChanges = [this](const auto &records, LogOffset, LogOffset) {
        onConfigurationRecords(records);
    };
    forConfiguration.onNothing = [](LogOffset) {};
    forConfiguration.onReturned = [] {};
    configurationFollower =
            std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Configuration,
                                            configurationPace(), std::move(forConfiguration));
    StoreFollower::Handlers forServers;
    forServers.onAll = [this](const auto &records) { onAllServers(records); };
    forServers.onChanges = [this](const auto &records, LogOffset from, LogOffset to) {
        onServerRecords(records, from, to);
    };
    forServers.onNothing = [this](LogOffset next) { tellUnchanged(next, next); };
    forServers.onReturned = [this] { directory.onStoreReturned(clock.now()); };
    serversFollower = std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Servers,
                                                      serversPace(), std::move(forServers));
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
    serversKnown = true;
    applyChanges(directory.applyAll(entries, clock.now()));
}

void RouterNode::Impl::onServerRecords(const std::vector<KeyedRecord> &records, LogOffset from,
                                       LogOffset to)
{
    bool hasNews = false;
    for (const KeyedRecord &record : records) {
        const ServerId id(record.key);
        const auto entry = decodeServer(record);
        hasNews = hasNews || directory.isNews(id, entry);
        applyChanges(directory.apply(id, entry, clock.now()));
    }
    if (!hasNews)
        tellUnchanged(from, to);
}

/// Saves the other routers a call to the store.
void RouterNode::Impl::tellUnchanged(LogOffset from, LogOffset to)
{
    for (const Endpoint &peer : peers.heard(clock.now()))
        datagrams->send(peer, ServersUnchanged{from, to});
}

void RouterNode::Impl::applyChanges(const std::vector<ServerChange> &changes)
{
    for (const ServerChange &change : changes)
        pool.apply(change, clock.now());
    metrics.gauge("lovagecourse_servers", static_cast<double>(directory.size()));
}

/// Other routers find this one by its record.
void RouterNode::Impl::listSelf()
{
    store->writeDaemon(settings.name.value, toString(settings.datagrams), listTimeout,
                       [this](const WriteResult &fault) {
                           if (!fault)
                               return;
                           logWarning(LogPart::Membership,
                                      "event=not-listed fault=", toString(*fault));
                           listTimer.startOnce(listRetryInterval);
                       });
}

void RouterNode::Impl::readRouters()
{
    store->readNewest(KeyedTopic::Daemons, listTimeout, [this](const KeyedResult &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            logWarning(LogPart::Membership, "event=routers-unknown fault=", toString(*fault));
            routersTimer.startOnce(listRetryInterval);
            return;
        }
        for (const KeyedRecord &record : std::get<KeyedBatch>(result).records) {
            const auto endpoint = parseEndpoint(record.value.value_or(""));
            if (endpoint && record.key != settings.name.value)
                peers.onListed(DaemonId(record.key), *endpoint);
        }
    });
}

void RouterNode::Impl::sendReport()
{
    const TimePoint now = clock.now();
    const std::vector<Endpoint> targets = peers.targets(now);
    const std::size_t slower = 1 + targets.size() / peersPerInterval;
    newsTimer.stop();
    reportTimer.startOnce(reportInterval * slower);
    RouterShares accounts;
    for (const auto &[account, tokens] : shares.localTotals(now))
        accounts.accounts.push_back({account, static_cast<std::uint32_t>(tokens.requested),
                                     static_cast<std::uint32_t>(tokens.served)});
    // Accounts that ask for most decide the fair share.
    std::sort(accounts.accounts.begin(), accounts.accounts.end(),
              [](const auto &left, const auto &right) { return left.requested > right.requested; });
    if (accounts.accounts.size() > maxReportedAccounts)
        accounts.accounts.resize(maxReportedAccounts);
    sendReports(pool.makeReports(false, now), targets);
    for (const Endpoint &target : targets)
        datagrams->send(target, accounts);
}

/// What was sent to servers a moment ago, so that routers don't all choose the same idle one.
void RouterNode::Impl::sendNews()
{
    sendReports(pool.makeReports(true, clock.now()), peers.heard(clock.now()));
}

void RouterNode::Impl::sendReports(std::vector<RouterReport> reports,
                                   const std::vector<Endpoint> &targets)
{
    for (RouterReport &report : reports) {
        report.datagrams = settings.datagrams;
        report.isLeaving = terminated.has_value();
        for (const Endpoint &target : targets)
            datagrams->send(target, report);
    }
}

void RouterNode::Impl::onDatagram(const DaemonId &sender, const Message &message)
{
    const TimePoint now = clock.now();
    if (const auto *report = std::get_if<RouterReport>(&message)) {
        if (report->isLeaving)
            peers.onLeaving(sender);
        else
            peers.onHeard(sender, report->datagrams, now);
        pool.applyReport(sender.value, *report, now);
    } else if (const auto *reported = std::get_if<RouterShares>(&message)) {
        std::vector<std::pair<AccountHash, AccountTokens>> accounts;
        for (const RouterAccountLoad &load : reported->accounts)
            accounts.emplace_back(load.account, AccountTokens{static_cast<double>(load.requested),
                                                              static_cast<double>(load.served)});
        shares.setPeerTotals(sender.value, std::move(accounts), now);
    } else if (const auto *unchanged = std::get_if<ServersUnchanged>(&message)) {
        metrics.count("lovagecourse_store_reads_saved_total");
        serversFollower->onUnchanged(unchanged->from, unchanged->to);
    } else {
        metrics.count("lovagecourse_unexpected_messages_total");
    }
}

void RouterNode::Impl::onRequest(CallerRequest &&request)
{
    router->onRequest(std::move(request));
    if (!pool.hasNews() || newsTimer.isActive())
        return;
    const auto peerCount = static_cast<int>(peers.heard(clock.now()).size());
    newsTimer.startOnce(std::max(newsDelay, newsDelayPerPeer * peerCount));
}

} // namespace lovagecourse
