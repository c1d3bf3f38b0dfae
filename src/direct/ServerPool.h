#pragma once

#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/LoadSources.h"
#include "direct/PlacementRequest.h"
#include "direct/ServerDirectory.h"
#include "placing/CrashTraits.h"
#include "placing/EngineMemory.h"
#include "placing/Evacuations.h"
#include "placing/LimitParts.h"
#include "placing/PeerLoads.h"
#include "placing/PlacementChoice.h"
#include "placing/PrefixCacheModel.h"
#include "placing/PrefixHolders.h"
#include "placing/ServerModel.h"
#include "placing/ServerWords.h"
#include "placing/WarmingShare.h"
#include "placing/WarmingState.h"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Request that an answer belongs to.
struct AnswerOrigin
{
    ServerId server;
    /// Run of the server that the request was sent to; what an earlier run said does not concern
    /// the present one.
    ServerRunHash run = 0;
    TimePoint sentAt;
    std::string_view attemptId;
};

/// What a server said of its limit, at the router that heard it.
struct HeardLimit
{
    ServerRunHash run = 0;
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// Empty when the server names no limit any more.
    std::optional<double> perSecond;
    TimePoint heardAt;
};

/// Why no server of a service gets a request now, and for how long.
struct ServersWithheld
{
    Withheld reason = Withheld::No;
    milliseconds wait{0};
};

/// Servers that are warming up.
struct WarmingServers
{
    std::size_t count = 0;
    /// Those that have begun or ended to warm up since the last call.
    std::size_t begun = 0;
    std::size_t ended = 0;
};

/// The backend servers of the fleet: registrations, performance models, estimated prompt caches and
/// the load that other routers report. Chooses the server for a request. Events of servers that are
/// no longer registered are ignored.
class ServerPool
{
public:
    explicit ServerPool(DataCentreId dataCentre);

    /// Sets the cache capacities of the services and the fleet's token rate.
    void setConfiguration(std::shared_ptr<const DirectConfiguration> configuration, TimePoint now);
    /// True when the configuration limits the requests to warming servers of some service.
    bool hasWarmingLimits() const { return hasWarmingLimits_; }
    void apply(const RegistrationChange &change, TimePoint now);
    /// A data centre's evacuation was requested or withdrawn.
    void onEvacuationRecord(const DataCentreId &dataCentre, bool isEvacuated, TimePoint now);
    /// Replaces the set of evacuated data centres after a full read of the store.
    void setEvacuated(const std::set<DataCentreId> &evacuated, TimePoint now);
    std::size_t evacuatedCount() const { return evacuations_.count(); }
    /// Sets the time of the store's list of servers that the changes so far amount to.
    void setListTime(TimePoint asOf);
    std::optional<TimePoint> listTime() const { return listTime_; }
    /// Sets by which routers warming servers are used. Call it several times a second: an old view
    /// allows no request to them.
    void setWarmingView(const WarmingView &view, TimePoint now);
    /// Logs which servers have begun or ended to warm up.
    WarmingServers updateWarming(TimePoint now);
    /// isMember: the router is in this data centre, so its load is part of the data centre's sum.
    void applyReport(const DaemonId &router, const RouterReport &report, bool isMember,
                     TimePoint now);
    /// Applies the sum of another data centre, in place of reports of its routers.
    void applyReport(const DataCentreReport &report, TimePoint now);
    /// Returns at least one report, each small enough for one datagram, and clears
    /// hasUnreportedSends(). onlyUnreported: only servers with unreported sends, else all servers
    /// that are busy or were so in their last report.
    std::vector<RouterReport> makeReports(bool onlyUnreported, TimePoint now);
    /// True when a send since the last report is large enough for an incremental report.
    bool hasUnreportedSends() const { return !unreportedServers_.empty(); }
    /// Starts or stops collecting what the reports of this data centre contain.
    void setRelaying(bool isRelaying);
    /// Returns reports of the load of this router and of the members together, each small enough
    /// for one datagram, and clears hasUnrelayedLoad(). onlyUnrelayed: only servers with changes
    /// since their last report, else all servers that are busy or were so in their last report.
    std::vector<DataCentreReport> makeDataCentreReports(bool onlyUnrelayed, TimePoint now);
    /// True when the data centre's load has changed since the last of its reports.
    bool hasUnrelayedLoad() const { return !unrelayedServers_.empty(); }

    std::optional<Placement> choose(const PlacementRequest &request, TimePoint now) const;
    /// Returns the send's number, which later calls pass; 0 for an unknown server.
    SendNumber onSent(const Placement &placement, const std::vector<PromptPrefix> &prompt,
                      TimePoint now);
    /// isExact: the event loop delay has not distorted the time, so it is a sample of the service's
    /// speed.
    void onFirstByte(const ServerId &server, SendNumber number, TimePoint now, bool isExact);
    /// Sets the current event loop delay of this process; an answer is not overdue because of it.
    void setLoopDelay(std::chrono::nanoseconds delay);
    void onLoad(const ServerId &server, const ReportedLoad &load, TimePoint now);
    void onEnded(const ServerId &server, SendNumber number);
    void onOutcome(const ServerId &server, bool failed);
    void onUnreachable(const ServerId &server, TimePoint now);
    /// A connection to the server has broken or could not be opened.
    void onConnectionBroken(const ServerId &server, ServerRunHash run, TimePoint now);
    bool warmsUp(const ServerId &server, TimePoint now) const;
    /// Takes what an answer says about further requests to its server.
    void onWords(const AnswerOrigin &origin, const ServerAnswer &answer, TimePoint now);
    /// Longest pause that is taken from an answer.
    void setMaxPause(milliseconds pause) { maxPause_ = pause; }
    /// Time until the first server of the service may get a request, after a pause, within its
    /// limit or when it has warmed up. If there is none of these, but some are evacuated, the
    /// reason with a wait of zero, because the end of an evacuation is not known; otherwise empty.
    std::optional<ServersWithheld> withheldFor(const ServiceId &service, TimePoint now) const;
    /// By which the limits of servers are divided among the routers.
    LimitParts &limitParts() { return limitParts_; }
    /// Updates this router's parts of all limits.
    void updateLimitParts(const RouterCounts &counts, TimePoint now);
    /// Another router has told what a server said.
    void onLimitReported(const HeardLimit &heard, TimePoint now);
    /// Limits of servers and those that have ended a short time ago, the latest changes first.
    std::vector<HeardLimit> heardLimits(std::size_t maxCount, TimePoint now) const;
    /// True when a limit has changed since the last call.
    bool takeLimitsChanged() { return std::exchange(haveLimitsChanged_, false); }
    /// Logs one line per service with the learned speed and one per server with slowness and load.
    void logState(TimePoint now) const;
    std::size_t count(const ServiceId &service) const;
    /// Identifies the server's present run among those of all servers.
    ServerRunHash runOf(const ServerId &server) const;
    /// Empty if the server is not registered or its registration does not tell its runs apart.
    std::optional<ServerRunHash> registeredRun(const ServerId &server) const;
    /// True when the server is registered, is not leaving, has not asked for a pause and is not in
    /// an evacuated data centre. sentAt: when the request was given to the server; a request from
    /// before the server began to warm up has taken no token and is not accepted.
    bool accepts(const ServerId &server, TimePoint now,
                 std::optional<TimePoint> sentAt = std::nullopt) const;
    /// Requests of this router in flight at the server; 0 for an unknown server.
    unsigned running(const ServerId &server) const;

private:
    struct Server
    {
        ServerEntry entry;
        ServerWords words;
        ServerModel model;
        PrefixCacheModel cache;
        EngineMemory memory;
        /// Load that the other routers report.
        PeerLoads peerLoads;
        /// Number of the last placement whose prompt the server may have cached.
        mutable std::uint64_t holderMark = 0;
        /// Its data centre is evacuated. Kept here because each placement needs it of all servers.
        bool isEvacuated = false;
        WarmingState warming;
        /// At the last updateWarming().
        bool wasWarming = false;
        /// Counter for reports: prompt tokens sent there that were not cached, modulo 2^32.
        std::uint32_t sentTokens = 0;
        /// The same of the members, as far as this router has counted them.
        std::uint32_t memberTokens = 0;
        /// When this router received the server's own report of its slowness.
        TimePoint slownessReceived;
        /// When a member last reported a slowness that it had received itself.
        TimePoint memberSlownessReceived;
        /// The last report with this server reported it as busy.
        bool wasReported = false;
        bool wasRelayed = false;
        /// A send since the last report is large enough for an incremental report.
        bool hasUnreportedSends = false;
        /// The data centre's load has changed since the last of its reports.
        bool hasUnrelayedLoad = false;
    };

    /// What is kept of a run while its registration is gone.
    struct DepartedRun
    {
        ServerWords words;
        WarmingState warming;
        bool wasWarming = false;
        /// Of its last registration.
        milliseconds warmingLeft{0};
        TimePoint departedAt;
    };

    /// Candidates of the current placement. Kept between placements, because otherwise each of them
    /// allocates the id of every server.
    struct Candidates
    {
        /// Returns the next candidate, to be filled.
        PlacementCandidate &add(const Server &server, const PrefillWork &work);
        void clear();
        std::span<const PlacementCandidate> all() const { return {entries.data(), servers.size()}; }

        /// The elements after the last candidate are left from earlier placements.
        std::vector<PlacementCandidate> entries;
        std::vector<const Server *> servers;
        std::vector<PrefillWork> works;
    };

    Withheld withheld(const Server &server, TimePoint now) const;
    WarmingLimits warmingLimits(const ServiceId &service) const;
    void updateWarmingShare(Server &server, TimePoint now) const;
    void onEvacuationChanged(const EvacuationChange &change, TimePoint now);
    void onLimitHeard(Server &server, const ServerAnswer &answer, const AnswerOrigin &origin,
                      TimePoint now);
    double limitPart(const Server &server, TimePoint now) const;
    void keepDeparted(const ServerId &id, const Server &server, TimePoint now);
    void restoreDeparted(Server &server, const RegistrationChange &change, TimePoint now);
    Server *find(const ServerId &id);
    const std::vector<const Server *> &serversOf(const ServiceId &service) const;
    Server *findByHash(std::uint32_t hash);
    void applyLoads(const std::string &sender, std::uint32_t counter,
                    const std::vector<RouterServerLoad> &loads, bool isMember, TimePoint now);
    void applyPrefixes(const std::vector<RouterSentPrefix> &prefixes, bool isMember);
    void insertReportedPrefix(Server &server, std::uint64_t prefix);
    /// Remembers that the server's cache holds the prefix, and forgets expired ones.
    void addPrefixHolder(std::uint64_t prefix, Server &server);
    RouterServerLoad ownLoad(Server &server, TimePoint now);
    RouterServerLoad dataCentreLoad(Server &server, TimePoint now);
    void markUnreported(Server &server);
    void markUnrelayed(Server &server);
    double cacheTokens(const ServiceId &service) const;
    double meanRequestTokens(const ServiceId &service) const;
    PrefillSpeed &speed(const ServiceId &service) const;

    DataCentreId dataCentre_;
    std::shared_ptr<const DirectConfiguration> configuration_;
    std::map<ServerId, Server> servers_;
    /// Servers by service; cleared when a server is added, removed or changes its service.
    mutable std::unordered_map<ServiceId, std::vector<const Server *>> serversByService_;
    mutable std::unordered_map<ServiceId, PrefillSpeed> speeds_;
    std::unordered_map<ServiceId, MeanRequestTokens> meanRequestTokens_;
    PrefixHolders<Server> prefixHolders_;
    mutable std::uint64_t lastPlacement_ = 0;
    mutable Candidates candidates_;
    /// By the hash of the server's id.
    std::unordered_map<std::uint32_t, Server *> serversByHash_;
    LoadSources sources_;
    std::vector<RouterSentPrefix> unreportedPrefixes_;
    /// Servers for the next incremental report; each has hasUnreportedSends.
    std::vector<Server *> unreportedServers_;
    bool isRelaying_ = false;
    std::vector<RouterSentPrefix> unrelayedPrefixes_;
    /// Servers for the data centre's next incremental report; each has hasUnrelayedLoad.
    std::vector<Server *> unrelayedServers_;
    std::chrono::nanoseconds loopDelay_{0};
    std::optional<TimePoint> listTime_;
    /// Runs of servers whose registration is gone and may come back.
    std::unordered_map<ServerRunHash, DepartedRun> departedRuns_;
    milliseconds maxPause_{60000};
    Evacuations evacuations_;
    bool hasWarmingLimits_ = false;
    WarmingView warmingView_;
    TimePoint warmingViewAt_;
    LimitParts limitParts_;
    RouterCounts routerCounts_;
    bool haveLimitsChanged_ = false;
};

} // namespace lovagecourse
