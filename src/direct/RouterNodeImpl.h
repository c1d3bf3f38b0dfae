#pragma once

#include "direct/DirectRouter.h"
#include "direct/RouterNode.h"
#include "direct/RouterPeers.h"
#include "direct/RouterRegistry.h"
#include "placing/EvacuationReads.h"
#include "placing/IntakeLimit.h"
#include "placing/Readiness.h"
#include "placing/RotationPause.h"
#include "store/StoreFollower.h"
#include "wire/DatagramSocket.h"

#include <optional>

namespace lovagecourse {

/// Interval of full load reports to the other routers; longer with many peers.
constexpr milliseconds fullReportInterval{100};

/// Records of servers that can't be decoded, of one read. They are logged as one line, since a read
/// may hold more than 100,000.
struct UnreadableServers
{
    std::size_t count = 0;
    std::string firstKey;
    std::string firstField;
};

/// Implementation of RouterNode. RouterNode.cpp contains sockets, settings and lifecycle,
/// RouterNodeSync.cpp what is read from the store, RouterNodePeers.cpp the exchange of state with
/// the other routers, RouterNodeTraits.cpp of it what concerns requests that crash servers,
/// RouterNodeLimits.cpp what concerns limits of servers, RouterNodeEvacuations.cpp what concerns
/// evacuated data centres.
struct RouterNode::Impl
{
    Impl(EventLoop &eventLoop, const Clock &nodeClock, RouterSettings nodeSettings,
         PlatformBinding nodePlatform);

    std::optional<SocketFailure> openSockets();
    void start();
    double pollStagger() const;
    DirectContext routerContext();
    RetryLimits retryLimits() const;
    HttpGateway::Handlers gatewayHandlers();
    void answerAdmin(HttpGateway &gateway, const CallerRequest &request);

    void onConfigurationRecords(const std::vector<KeyedRecord> &records);
    void onAllEvacuationRecords(const std::vector<KeyedRecord> &records);
    void onEvacuationRecords(const std::vector<KeyedRecord> &records, const StorePosition &next);
    void applyEvacuations();
    void sendEvacuations(const std::vector<Endpoint> &targets);
    void readServerHistory(const StorePosition &from, unsigned reads);
    void onAllServers(const std::vector<KeyedRecord> &records);
    void onServerRecords(const std::vector<KeyedRecord> &records, const StorePosition &from,
                         const StorePosition &to);
    void onEraChanged(std::optional<StoreEra> before, std::optional<StoreEra> era);
    void onConfigurationRead();
    void announceConfiguration();
    std::vector<Endpoint> fleetTargets();
    void sendInEra(const std::vector<Endpoint> &targets, std::optional<StoreEra> era,
                   StoreNews news);
    void announceUnchanged(const StorePosition &from, const StorePosition &to);
    void announceChanges(const std::vector<KeyedRecord> &changes, const StorePosition &from,
                         const StorePosition &to);
    std::optional<ServerEntry> decodeServer(const KeyedRecord &record,
                                            UnreadableServers &unreadable);
    void reportUnreadable(const UnreadableServers &unreadable);
    void applyChanges(const std::vector<RegistrationChange> &changes);
    void onServersReadAgain(std::chrono::nanoseconds unread);
    void applyServerRecord(const ServerId &id, const std::optional<ServerEntry> &entry,
                           std::optional<TimePoint> writtenAfter);
    void updateListTime();
    TimePoint timeOf(std::uint32_t ageMs) const;
    std::uint32_t ageMs(TimePoint time) const;
    std::uint32_t listAgeMs() const;

    RouterRegistry::Handlers registryHandlers();
    void sendPresence();
    RouterPresence presence(bool isReply) const;
    std::size_t reportIntervalFactor() const;
    void sendFullReport();
    void sendIncrementalReport();
    void sendReports(std::vector<RouterReport> reports, const std::vector<Endpoint> &targets);
    void updateRelay(TimePoint now);
    void scheduleRelayReport();
    void sendFullRelayReport();
    void sendIncrementalRelayReport();
    void sendRelayReports(std::vector<DataCentreReport> reports,
                          const std::vector<Endpoint> &targets);
    void onRequest(CallerRequest &&request);
    void onDatagram(const DaemonId &sender, Message &&message);
    void onMessage(const DaemonId &sender, RouterPresence &&presence);
    void onMessage(const DaemonId &sender, RouterReport &&report);
    void onMessage(const DaemonId &sender, RouterAccountReport &&report);
    void onMessage(const DaemonId &sender, DataCentreReport &&report);
    void onMessage(const DaemonId &sender, DataCentreAccountReport &&report);
    void onMessage(const DaemonId &sender, InStoreEra &&message);
    /// era: empty if the message names none.
    void onMessage(const DaemonId &sender, ServersUnchanged &&unchanged,
                   std::optional<StoreEra> era = {});
    void onMessage(const DaemonId &sender, ServersChanged &&changed,
                   std::optional<StoreEra> era = {});
    void onMessage(const DaemonId &sender, ConfigurationRead &&read,
                   std::optional<StoreEra> era = {});
    void onMessage(const DaemonId &sender, CrashTraitReport &&report);
    void onMessage(const DaemonId &sender, RouterLimitReport &&report);
    void onMessage(const DaemonId &sender, EvacuatedDataCentres &&report);
    RouterCounts limitCounts() const;
    void sendLimits(const std::vector<Endpoint> &targets);
    void sendLimitsAsRelay(const std::vector<Endpoint> &targets);
    void sendLimitReport(RouterLimitReport report, const std::vector<Endpoint> &targets);
    void onTraitCrash(const TraitCrash &crash);
    void onTraitCleared(TraitHash trait);
    void scheduleTraitReport();
    void sendTraitReport();
    void sendKnownTraits(const std::vector<Endpoint> &targets);
    CrashEvidence toEvidence(const TraitCrash &crash) const;
    TraitCrash toCrash(const CrashEvidence &evidence) const;
    void reportCleared(TraitHash trait, TimePoint clearedAt);
    /// Messages between other roles.
    template <class Other>
    void onMessage(const DaemonId &, Other &&)
    {
        metrics.count("lovagecourse_unexpected_messages_total");
    }

    void logState();
    ReadinessInput readiness() const;
    void logReadiness();
    void reloadSettings();
    void restartFollowers();
    void onTerminate();
    void updateProcessLoad(TimePoint now);
    void updateWarming(TimePoint now);
    void updateWarmingView(TimePoint now);
    void updateIntakeLimit(const ProcessLoad &load, TimePoint now);
    void onTick();

    EventLoop &loop;
    const Clock &clock;
    RouterSettings settings;
    PlatformBinding platform;
    /// Declared before all that holds reservations.
    MemoryAccount memory;
    Metrics metrics;
    Authenticator fleetKey;
    WireContext wire;
    HttpClient http;
    /// Of the store; its answers are handled before callers' requests.
    HttpClient storeHttp;
    std::unique_ptr<FleetStore> store;
    /// Of that store.
    std::shared_ptr<StoreEras> storeEras;
    std::shared_ptr<const DirectConfiguration> configuration;
    ServerDirectory directory;
    StoreContact storeContact;
    /// All server records were read at least once.
    bool serversLoaded = false;
    ServerPool pool;
    FairShares shares;
    CrashTraits crashTraits;
    /// Seen by this router and not yet reported to the others.
    std::vector<TraitCrash> unreportedCrashes;
    std::vector<std::pair<TraitHash, TimePoint>> unreportedClears;
    RouterPeers peers;
    RouterRegistry registry;
    ResumableStreams streams;
    LiveRouters liveRouters;
    /// This router relays the load of its data centre to the others.
    bool isRelaying = false;
    unsigned presenceCount = 0;
    /// The other routers' records in the store were read.
    bool areRoutersKnown = false;
    std::unique_ptr<DirectRouter> router;
    std::unique_ptr<StoreFollower> configurationFollower;
    /// Up to where some router has announced that it has read the configuration.
    std::optional<StorePosition> announcedConfiguration;
    Timer configurationAnnouncement;
    EvacuationReads evacuationReads;
    std::unique_ptr<StoreFollower> serversFollower;
    std::unique_ptr<DatagramSocket> datagramSocket;
    std::unique_ptr<HttpGateway> gateway;
    std::unique_ptr<HttpGateway> readyGateway;
    std::unique_ptr<HttpGateway> adminGateway;
    /// When SIGTERM or SIGINT arrived.
    std::optional<TimePoint> terminatedAt;
    TimePoint startedAt;
    TimePoint lastTick;
    /// Moving average of the event loop delay.
    double meanLoopDelayMs = 0;
    /// Moving average of the share of time that is spent in callbacks.
    double meanBusyShare = 0;
    /// Callers' requests since the last tick.
    std::size_t receivedRequests = 0;
    bool isOverloaded = false;
    IntakeLimit intake;
    RotationPause rotationPause;
    /// Much of the last interval went into answers of the store.
    bool hadStoreWork = false;
    std::optional<ReadinessInput> loggedReadiness;
    Timer tickTimer;
    Timer fullReportTimer;
    Timer incrementalReportTimer;
    Timer relayFullTimer;
    Timer relayTimer;
    Timer presenceTimer;
    Timer traitReportTimer;
    Timer stateLogTimer;
    SignalWatcher onTerm;
    SignalWatcher onInterrupt;
    SignalWatcher onHangUp;
    Timer settingsTimer;
};

} // namespace lovagecourse
