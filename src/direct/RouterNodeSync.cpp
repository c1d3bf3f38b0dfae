#include "core/Log.h"
#include "direct/RouterNodeImpl.h"
#include "wire/ReportHash.h"

#include <algorithm>
#include <set>

namespace lovagecourse {

namespace {

// Time over which routers spread their announcements of a configuration; the first one makes the
// others needless.
constexpr milliseconds announcementSpread{100};
// Added to the idle timeout, so that a caller that keeps to it never sends on a connection that is
// being closed.
constexpr seconds idleTimeoutSlack{1};
// The history of the servers may fill several reads of up to 1 MB.
constexpr milliseconds historyTimeout{2000};
constexpr unsigned maxHistoryReads = 8;
// Time over which routers write their records again after the store has lost them.
constexpr seconds registrationSpread{1};

} // namespace

/// Spreads the reads of routers by a hash of their names; from 0 to 1.
double RouterNode::Impl::pollStagger() const
{
    constexpr double hashRange = 4294967296.;
    return reportHash(settings.name.value) / hashRange;
}

void RouterNode::Impl::restartFollowers()
{
    if (serversFollower)
        serversFollower->cancelReaders();
    // Both refer to the store that is replaced.
    configurationFollower.reset();
    serversFollower.reset();
    if (storeEras)
        storeEras->stop();
    storeEras = std::make_shared<StoreEras>(
            [this](auto before, auto era) { onEraChanged(before, era); });
    store = platform.openStore(storeHttp, settings.platformUrl, storeEras);
    registry.setStore(*store);
    streams.setStore(*store);
    announcedConfiguration.reset();
    StoreFollower::Handlers forConfiguration;
    forConfiguration.onOlderCopy = [this] { evacuationReads.onOlderCopy(clock.now()); };
    forConfiguration.onFullRead = [this](const auto &records) {
        // Before the configuration, after which the router sends requests.
        onAllEvacuationRecords(records);
        onConfigurationRecords(records);
        onConfigurationRead();
    };
    forConfiguration.onRecords = [this](const auto &records, const auto &, const auto &to) {
        onEvacuationRecords(records, to);
        onConfigurationRecords(records);
        onConfigurationRead();
    };
    forConfiguration.onEmptyRead = [this](const auto &next) { onEvacuationRecords({}, next); };
    forConfiguration.onAnswer = [this] { storeContact.onAnswer(clock.now()); };
    forConfiguration.onStoreReturned = [](std::chrono::nanoseconds) {};
    configurationFollower = std::make_unique<StoreFollower>(
            loop, clock, *store, KeyedTopic::Configuration,
            configurationPollTiming(settings.maxConfigurationDelay, pollStagger()),
            std::move(forConfiguration));
    StoreFollower::Handlers forServers;
    forServers.onOlderCopy = [this] {
        directory.onOlderCopy(clock.now());
        logInfo(LogPart::Membership, "event=older-copy-read servers=", directory.size(),
                " holds_removals_ms=", ServerDirectory::reregistrationGrace.count());
    };
    forServers.onFullRead = [this](const auto &records) {
        // Servers may have come and left since the last read.
        if (serversLoaded)
            streams.onStarted();
        onAllServers(records);
    };
    forServers.onRecords = [this](const auto &records, const auto &from, const auto &to) {
        onServerRecords(records, from, to);
    };
    forServers.onEmptyRead = [this](const auto &next) {
        updateListTime();
        announceUnchanged(next, next);
    };
    forServers.onHistoryLost = [this] { streams.onStarted(); };
    forServers.onAnswer = [this] { storeContact.onAnswer(clock.now()); };
    forServers.onStoreReturned = [this](std::chrono::nanoseconds unread) {
        onServersReadAgain(unread);
    };
    serversFollower = std::make_unique<StoreFollower>(
            loop, clock, *store, KeyedTopic::Servers,
            serversPollTiming(settings.maxLeavingDelay, pollStagger()), std::move(forServers));
    configurationFollower->start();
    serversFollower->start();
}

/// The store has come back from an older copy: what it has returned so far may be lost, and the
/// offsets of lost records are given to others.
void RouterNode::Impl::onEraChanged(std::optional<StoreEra> before, std::optional<StoreEra> era)
{
    const auto text = [](std::optional<StoreEra> named) {
        return named ? std::to_string(named->value) : "none";
    };
    const auto nextOf = [](const StoreFollower &follower) {
        return follower.next().value_or(StorePosition());
    };
    metrics.count("lovagecourse_store_era_changes_total");
    logWarning(LogPart::Platform, "event=store-era-changed before=", text(before),
               " era=", text(era), " configuration_next=", nextOf(*configurationFollower),
               " servers_next=", nextOf(*serversFollower),
               " reads_again=configuration,servers,routers");
    announcedConfiguration.reset();
    configurationFollower->onEraChanged(era);
    serversFollower->onEraChanged(era);
    registry.onOlderCopy(
            std::chrono::duration_cast<milliseconds>(registrationSpread * pollStagger()));
    streams.onOlderCopy();
}

/// Tells the other routers what this one has read, unless one of them has done so meanwhile.
/// Without it, a router whose connection to the store has gone silent learns of a change late.
void RouterNode::Impl::onConfigurationRead()
{
    const auto spread =
            std::chrono::duration_cast<milliseconds>(announcementSpread * pollStagger());
    if (!configurationAnnouncement.isActive())
        configurationAnnouncement.startOnce(spread);
}

void RouterNode::Impl::announceConfiguration()
{
    const auto next = configurationFollower->next();
    if (!next || (announcedConfiguration && covers(*announcedConfiguration, *next)))
        return;
    announcedConfiguration = next;
    const std::vector<Endpoint> targets = fleetTargets();
    sendInEra(targets, next->era, ConfigurationRead{next->offset});
    sendEvacuations(targets);
}

void RouterNode::Impl::onConfigurationRecords(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        if (record.key != platform.configurationKey || !record.value)
            continue;
        auto decoded = platform.decodeConfiguration(*record.value);
        if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
            metrics.count("lovagecourse_configuration_faults_total");
            logError(LogPart::Configuration, "event=configuration-unreadable field=", fault->field,
                     " path=", fault->path, " expected=\"", fault->expected, '"');
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
        pool.setConfiguration(configuration, clock.now());
        router->setConfiguration(configuration);
        if (configuration->maxBodyBytes > 0)
            gateway->setMaxBodyBytes(configuration->maxBodyBytes);
        if (configuration->idleTimeout.count() > 0)
            gateway->setIdleTimeout(std::chrono::ceil<seconds>(configuration->idleTimeout)
                                    + idleTimeoutSlack);
    }
}

std::optional<ServerEntry> RouterNode::Impl::decodeServer(const KeyedRecord &record,
                                                          UnreadableServers &unreadable)
{
    if (!record.value)
        return std::nullopt;
    auto decoded = platform.decodeServer(record.key, *record.value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        if (unreadable.count++ == 0) {
            unreadable.firstKey = record.key;
            unreadable.firstField = fault->field;
        }
        return std::nullopt;
    }
    return std::get<ServerEntry>(std::move(decoded));
}

void RouterNode::Impl::reportUnreadable(const UnreadableServers &unreadable)
{
    if (unreadable.count == 0)
        return;
    metrics.count("lovagecourse_server_entry_faults_total", {},
                  static_cast<double>(unreadable.count));
    logWarning(LogPart::Membership, "event=server-unreadable count=", unreadable.count,
               " server=", unreadable.firstKey, " field=", unreadable.firstField);
}

/// Reads the retained records of servers, from which it follows which software versions served
/// before this router started.
void RouterNode::Impl::readServerHistory(const StorePosition &from, unsigned reads)
{
    ReadOptions options;
    options.timeout = historyTimeout;
    options.skipsExpired = true;
    store->readFrom(KeyedTopic::Servers, from, options, [this, reads](const KeyedResult &result) {
        const auto *batch = std::get_if<KeyedBatch>(&result);
        const bool isEraChanged = !batch && std::get<StoreFault>(result) == StoreFault::EraChanged;
        if (isEraChanged && reads < maxHistoryReads)
            return readServerHistory(StorePosition(), reads + 1);
        if (!batch) {
            logWarning(LogPart::Membership, "event=server-history-unread fault=",
                       toString(std::get<StoreFault>(result)));
            return;
        }
        std::set<std::string> decoded;
        UnreadableServers unreadable;
        for (const KeyedRecord &record : batch->records) {
            // Further records of a server are renewals.
            if (!record.value || decoded.contains(record.key))
                continue;
            const auto entry = decodeServer(record, unreadable);
            if (!entry)
                continue;
            decoded.insert(record.key);
            streams.onPastEntry(*entry);
        }
        reportUnreadable(unreadable);
        if (batch->isAtEnd)
            return streams.onPastRead();
        if (reads < maxHistoryReads)
            readServerHistory(batch->next, reads + 1);
    });
}

void RouterNode::Impl::onAllServers(const std::vector<KeyedRecord> &records)
{
    std::map<ServerId, ServerEntry> entries;
    UnreadableServers unreadable;
    for (const KeyedRecord &record : records) {
        if (auto entry = decodeServer(record, unreadable))
            entries.emplace(entry->id, std::move(*entry));
    }
    reportUnreadable(unreadable);
    serversLoaded = true;
    applyChanges(directory.applyAll(entries, clock.now()));
    updateListTime();
}

void RouterNode::Impl::onServerRecords(const std::vector<KeyedRecord> &records,
                                       const StorePosition &from, const StorePosition &to)
{
    std::vector<KeyedRecord> changes;
    UnreadableServers unreadable;
    for (const KeyedRecord &record : records) {
        const ServerId id(record.key);
        const auto entry = decodeServer(record, unreadable);
        if (directory.isChange(id, entry))
            changes.push_back(record);
        applyServerRecord(id, entry, serversFollower->writtenAfter());
    }
    reportUnreadable(unreadable);
    updateListTime();
    if (changes.empty())
        announceUnchanged(from, to);
    else
        announceChanges(changes, from, to);
}

/// Decides after failed reads whether registrations may have expired for lack of the store.
void RouterNode::Impl::onServersReadAgain(std::chrono::nanoseconds unread)
{
    const auto silence = storeContact.takeLongestSilence();
    const bool holds = directory.onStoreReturned(unread, silence, clock.now());
    logInfo(LogPart::Membership, "event=store-absence unread_ms=", toMs(unread),
            " silence_ms=", toMs(silence),
            " renewal_interval_ms=", settings.renewalInterval.count(), " holds_removals=", holds);
}

void RouterNode::Impl::applyServerRecord(const ServerId &id,
                                         const std::optional<ServerEntry> &entry,
                                         std::optional<TimePoint> writtenAfter)
{
    if (!entry && directory.holdsRemoval(id, clock.now())) {
        metrics.count("lovagecourse_removals_held_total");
        logInfo(LogPart::Membership, "event=removal-held server=", id,
                " reason=may-have-expired max_ms=", ServerDirectory::reregistrationGrace.count());
    }
    applyChanges(directory.apply(id, entry, writtenAfter, clock.now()));
}

void RouterNode::Impl::updateListTime()
{
    // What was learned of the store before this read concerns this read only.
    storeContact.takeLongestSilence();
    if (const auto asOf = serversFollower->asOf())
        pool.setListTime(*asOf);
}

void RouterNode::Impl::applyChanges(const std::vector<RegistrationChange> &changes)
{
    for (const RegistrationChange &change : changes) {
        pool.apply(change, clock.now());
        if (change.entry)
            streams.onRegistered(*change.entry);
        else
            streams.onRemoved(change.id);
        if (!change.entry)
            metrics.latency("lovagecourse_server_removal_seconds",
                            clock.now() - change.writtenAfter);
    }
    metrics.gauge("lovagecourse_servers", static_cast<double>(directory.size()));
}

} // namespace lovagecourse
