#pragma once

#include "direct/DirectRouter.h"
#include "direct/RouterNode.h"
#include "direct/RouterPeers.h"
#include "direct/StoreFollower.h"
#include "placing/IntakeLimit.h"
#include "wire/DatagramSocket.h"

#include <optional>

namespace lovagecourse {

/// Between reports of all that a router knows of its load, with few peers.
constexpr milliseconds reportInterval{100};

/// State of a router's process. RouterNode.cpp holds its sockets and its life, RouterKnowledge.cpp
/// what it learns from the store and from the other routers and what it tells them.
struct RouterNode::Impl
{
    Impl(EventLoop &eventLoop, const Clock &nodeClock, RouterSettings nodeSettings,
         PlatformBinding nodePlatform);

    std::optional<SocketFailure> openSockets();
    void start();
    FollowPace configurationPace() const;
    FollowPace serversPace() const;
    DirectContext routerContext();
    RetryLimits repeatLimits() const;
    HttpGateway::Handlers gatewayHandlers();
    void answerAdmin(HttpGateway &gateway, const CallerRequest &request);

    void onConfigurationRecords(const std::vector<KeyedRecord> &records);
    void onAllServers(const std::vector<KeyedRecord> &records);
    void onServerRecords(const std::vector<KeyedRecord> &records, LogOffset from, LogOffset to);
    void tellUnchanged(LogOffset from, LogOffset to);
    std::optional<ServerEntry> decodeServer(const KeyedRecord &record);
    void applyChanges(const std::vector<ServerChange> &changes);

    void listSelf();
    void readRouters();
    void sendReport();
    void sendNews();
    void sendReports(std::vector<RouterReport> reports, const std::vector<Endpoint> &targets);
    void onRequest(CallerRequest &&request);
    void onDatagram(const DaemonId &sender, const Message &message);

    void logState();
    bool isReady() const;
    void reloadSettings();
    void restartFollowers();
    void onTerminate();
    void watchLateness(TimePoint now);
    void limitIntake(double lateMs, TimePoint now);
    void onTick();

    EventLoop &loop;
    const Clock &clock;
    RouterSettings settings;
    PlatformBinding platform;
    Metrics metrics;
    Authenticator fleetKey;
    WireContext wire;
    HttpClient http;
    std::unique_ptr<FleetStore> store;
    std::shared_ptr<const DirectConfiguration> configuration;
    ServerDirectory directory;
    bool serversKnown = false;
    ServerPool pool;
    FairShares shares;
    RouterPeers peers;
    std::unique_ptr<DirectRouter> router;
    std::unique_ptr<StoreFollower> configurationFollower;
    std::unique_ptr<StoreFollower> serversFollower;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<HttpGateway> gateway;
    std::unique_ptr<HttpGateway> readyGateway;
    std::unique_ptr<HttpGateway> adminGateway;
    std::optional<TimePoint> terminated;
    TimePoint lastTick;
    /// Mean lateness of the ticks, in ms.
    double lateness = 0;
    bool isOverloaded = false;
    IntakeLimit intake;
    /// When callers were last turned away for lateness.
    TimePoint turnedAway;
    Timer tick;
    Timer reportTimer;
    Timer newsTimer;
    Timer listTimer;
    Timer routersTimer;
    Timer stateLogTimer;
    SignalWatcher onTerm;
    SignalWatcher onInterrupt;
    SignalWatcher onHangUp;
    Timer settingsTimer;
};

} // namespace lovagecourse
