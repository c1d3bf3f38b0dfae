#pragma once

#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/ServerDirectory.h"
#include "placing/PlacementChoice.h"
#include "placing/PrefixCacheModel.h"
#include "placing/ServerModel.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// What a request asks of a server.
struct PlacementRequest
{
    ServiceId service;
    std::vector<PromptPrefix> prompt;
    double promptTokens = 0;
    double objectiveMs = 0;
    /// Servers that must not get it again.
    std::set<ServerId> excluded;
};

/// The server that was chosen, and why.
struct Placement
{
    ServerId server;
    Endpoint address;
    /// Tokens of the prompt that the server must read.
    double uncachedTokens = 0;
    /// Tokens of the prompt that the server keeps.
    double cachedTokens = 0;
    PlacementCandidate prediction;
    std::size_t candidates = 0;
    /// Mean wait at all of them, in ms.
    double meanWaitMs = 0;
};

/// The backend servers as this daemon knows them: entries, models, other daemons' load.
class ServerPool
{
public:
    explicit ServerPool(DataCentreId dataCentre);

    /// Takes the capacities of the services.
    void setConfiguration(std::shared_ptr<const DirectConfiguration> configuration);
    void apply(const ServerChange &change, TimePoint now);
    void applyReport(const std::string &peer, const RouterReport &report, TimePoint now);
    /// This daemon's reports, each small enough for one datagram; at least one. Either all busy
    /// servers, or only those that it sent something since the last report.
    std::vector<RouterReport> makeReports(bool onlyNews, TimePoint now);
    /// Something was sent since the last report.
    bool hasNews() const { return hasNews_; }

    std::optional<Placement> choose(const PlacementRequest &request, TimePoint now) const;
    /// Below: calls for servers that are gone are ignored.
    SendNumber onSent(const Placement &placement, const std::vector<PromptPrefix> &prompt,
                      TimePoint now);
    /// isExact: the time was not spoilt by a delay in this process, so it may teach the speed.
    void onFirstByte(const ServerId &server, SendNumber number, TimePoint now, bool isExact);
    /// Events of this process wait for so long now; answers are not overdue for that reason.
    void setLoopDelay(std::chrono::nanoseconds delay);
    void onLoad(const ServerId &server, const ReportedLoad &load, TimePoint now);
    void onEnded(const ServerId &server, SendNumber number);
    void onOutcome(const ServerId &server, bool failed);
    void onUnreachable(const ServerId &server, TimePoint now);
    /// One line per service with the learned speed, one per server with slowness and load.
    void logState(TimePoint now) const;
    std::size_t count(const ServiceId &service) const;

private:
    struct PeerReport
    {
        TimePoint received;
        PeerLoad load;
        std::uint32_t sentTokens = 0;
        bool isKnown = false;
    };

    struct Server
    {
        ServerEntry entry;
        ServerModel model;
        PrefixCacheModel cache;
        std::uint32_t sentTokens = 0;
        /// The last report named the server.
        bool wasReported = false;
        /// Something was sent since the last report.
        bool hasNews = false;
        std::unordered_map<std::string, PeerReport> peers;
    };

    Server *find(const ServerId &id);
    double cacheTokens(const ServiceId &service) const;
    PrefillSpeed &speed(const ServiceId &service) const;
    PeerLoad peerLoad(const Server &server, TimePoint now) const;

    DataCentreId dataCentre_;
    std::shared_ptr<const DirectConfiguration> configuration_;
    std::map<ServerId, Server> servers_;
    mutable std::unordered_map<ServiceId, PrefillSpeed> speeds_;
    std::unordered_map<std::uint32_t, ServerId> byHash_;
    std::vector<RouterSentPrefix> unreported_;
    bool hasNews_ = false;
};

/// Hash by which daemons name servers and accounts in their reports.
std::uint32_t reportHash(const std::string &id);

} // namespace lovagecourse
