#include "daemon/ConfigurationFollower.h"

#include "core/Log.h"
#include "membership/PeerDiscovery.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr const char *configurationStream = "configuration";
constexpr std::size_t notesPerSnapshot = 64;
constexpr milliseconds appendTimeout{5000};
constexpr milliseconds housekeepingInterval{250};
// A fetch from a peer that takes longer is cancelled, so that another peer can be tried.
constexpr seconds fetchTimeout{2};
// Upper bound of the random delay before a snapshot; daemons then rarely append one at the same
// time.
constexpr int maxSnapshotDelayMs = 5000;
// Offsets of peers that were received longer ago are discarded.
constexpr seconds peerOffsetLifetime{5};
// No state is fetched for this long from a peer that did not answer a fetch.
constexpr seconds failedFetchBackoff{2};
// Once a peer has been ahead for this long, its state is fetched even if the log appears to be
// available: a read over a silently broken connection fails only after 15 s.
constexpr milliseconds maxLagBehindPeers{1000};
// Time before another append of a snapshot that is still due, such as after a failed append.
constexpr seconds snapshotRetryInterval{10};

} // namespace

struct ConfigurationFollower::Impl
{
    Impl(const WireContext &wireContext, const DaemonSettings &daemonSettings, LogClient &logClient,
         ChangeHandler changeHandler)
        : wire(wireContext)
        , settings(daemonSettings)
        , log(logClient)
        , onChange(std::move(changeHandler))
        , started(wireContext.clock.now())
        , follower(
                  wire.loop, log, configurationStream, LogOffset(0),
                  [this](const LogBatch &batch) { onBatch(batch); },
                  [this](bool available) { onAvailability(available); })
        , housekeeping(wire.loop, [this] { runHousekeeping(); })
    {
        housekeeping.startRepeating(housekeepingInterval);
    }

    struct PeerOffset
    {
        LogOffset offset;
        TimePoint receivedAt;
        /// No state is fetched from this peer before this time.
        TimePoint backoffUntil;
    };

    void onBatch(const LogBatch &batch);
    void onAvailability(bool available);
    void reportOutcome(const LogRecord &record, const ApplyOutcome &outcome);
    void runHousekeeping();
    void appendSnapshotWhenDue();
    bool isSnapshotDue() const;
    bool shouldFetchFromPeer() const;
    void fetchFromPeer();
    void endFetch(bool answered);
    void updateGap();
    void onPeerState(const ConfigurationStateReply &reply);
    bool hasNewerPeer() const;
    std::optional<Endpoint> selectFetchPeer() const;
    bool isPeerDiscoveryOver() const;
    void notifyIfChanged(LogOffset before);

    WireContext wire;
    const DaemonSettings &settings;
    LogClient &log;
    ChangeHandler onChange;
    ConfigurationStateMachine stateMachine;
    /// True when records that follow the state were missed, for example because they expired.
    bool hasGap = false;
    /// Offset of the log's oldest record at the last read.
    LogOffset oldest;
    /// When the first record that this daemon read was stored, or when it adopted its first state
    /// from a peer. The time until a snapshot is due counts from it if there is no newer snapshot.
    std::optional<WallTime> firstRecordTime;
    bool logAvailable = true;
    bool wasReady = false;
    std::map<Endpoint, PeerOffset> peerOffsets;
    /// Time since which some peer has had a newer state.
    std::optional<TimePoint> behindSince;
    TimePoint started;
    std::unique_ptr<Link> fetchLink;
    Endpoint fetchPeer;
    TimePoint fetchStarted;
    std::optional<TimePoint> snapshotAt;
    std::mt19937_64 random{std::random_device{}()};
    LogFollower follower;
    Timer housekeeping;
};

void ConfigurationFollower::Impl::onBatch(const LogBatch &batch)
{
    const LogOffset before = stateMachine.state().offset;
    for (const LogRecord &record : batch.records)
        reportOutcome(record, stateMachine.apply(record));
    oldest = batch.oldest;
    updateGap();
    // Not the time at which this process started: snapshots would never become due on daemons that
    // restart often.
    if (!firstRecordTime && !batch.records.empty())
        firstRecordTime = batch.records.front().time;
    notifyIfChanged(before);
}

/// Sets hasGap. The state machine can't detect that the records between its state and the log's
/// oldest record expired and that no snapshot covers them.
void ConfigurationFollower::Impl::updateGap()
{
    hasGap = stateMachine.hasGap() || stateMachine.state().offset < oldest;
}

void ConfigurationFollower::Impl::reportOutcome(const LogRecord &record,
                                                const ApplyOutcome &outcome)
{
    if (const auto *accepted = std::get_if<NoteAccepted>(&outcome)) {
        logInfo(LogPart::Configuration, "note ", accepted->number, " was applied");
    } else if (std::holds_alternative<RecordMalformed>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "malformed");
        logWarning(LogPart::Configuration, "record at offset ", record.offset,
                   " is malformed; skipped");
    } else if (std::holds_alternative<NoteOutdated>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "outdated");
    } else if (std::holds_alternative<NoteInvalid>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "invalid");
    }
}

void ConfigurationFollower::Impl::notifyIfChanged(LogOffset before)
{
    const bool changed = stateMachine.state().offset != before;
    if (changed)
        onChange(stateMachine.state());
}

void ConfigurationFollower::Impl::onAvailability(bool available)
{
    logAvailable = available;
    logInfo(LogPart::Configuration,
            available ? "the platform's log is available" : "the platform's log is not available");
}

void ConfigurationFollower::Impl::runHousekeeping()
{
    const TimePoint now = wire.clock.now();
    std::erase_if(peerOffsets, [now](const auto &item) {
        return now - item.second.receivedAt > peerOffsetLifetime;
    });
    if (!hasNewerPeer())
        behindSince.reset();
    else if (!behindSince)
        behindSince = now;
    if (fetchLink && now - fetchStarted > fetchTimeout)
        endFetch(false);
    if (!fetchLink && shouldFetchFromPeer())
        fetchFromPeer();
    appendSnapshotWhenDue();
}

/// An available log is the fastest source of the newest state, unless records are missing or reads
/// lag behind the peers.
bool ConfigurationFollower::Impl::shouldFetchFromPeer() const
{
    const bool isLagging = behindSince && wire.clock.now() - *behindSince > maxLagBehindPeers;
    return !logAvailable || hasGap || isLagging;
}

bool ConfigurationFollower::Impl::isSnapshotDue() const
{
    const bool mayAppend = settings.role == DaemonRole::Entry && logAvailable
                           && follower.isCaughtUp() && !hasGap
                           && stateMachine.state().note.value > 0;
    if (!mayAppend)
        return false;
    if (stateMachine.notesSinceSnapshot() >= notesPerSnapshot)
        return true;
    // The log keeps records for longer than the key window, so that this snapshot is stored before
    // the records that it covers expire.
    const WallTime since =
            std::max(stateMachine.lastSnapshotTime(), firstRecordTime.value_or(WallTime()));
    return wire.clock.wallNow() - since > settings.keyWindow / 2;
}

void ConfigurationFollower::Impl::appendSnapshotWhenDue()
{
    const TimePoint now = wire.clock.now();
    if (!isSnapshotDue()) {
        snapshotAt.reset();
        return;
    }
    if (!snapshotAt) {
        snapshotAt = now + milliseconds(random() % maxSnapshotDelayMs);
        return;
    }
    if (now < *snapshotAt)
        return;
    snapshotAt = now + snapshotRetryInterval;
    const std::string recordId = "snapshot-" + std::to_string(stateMachine.state().offset.value);
    log.append(configurationStream, recordId, snapshotRecordBody(stateMachine.state()),
               appendTimeout, [](const AppendResult &result) {
                   if (result.index() == 0)
                       logInfo(LogPart::Configuration, "appended a configuration snapshot");
               });
}

bool ConfigurationFollower::Impl::hasNewerPeer() const
{
    return std::any_of(peerOffsets.begin(), peerOffsets.end(), [this](const auto &item) {
        return item.second.offset > stateMachine.state().offset;
    });
}

/// The peer with the newest state, newer than this daemon's, among those not in backoff.
std::optional<Endpoint> ConfigurationFollower::Impl::selectFetchPeer() const
{
    const TimePoint now = wire.clock.now();
    std::optional<Endpoint> best;
    LogOffset bestOffset = stateMachine.state().offset;
    for (const auto &[endpoint, peer] : peerOffsets) {
        if (peer.offset <= bestOffset || now < peer.backoffUntil)
            continue;
        best = endpoint;
        bestOffset = peer.offset;
    }
    return best;
}

bool ConfigurationFollower::Impl::isPeerDiscoveryOver() const
{
    return wire.clock.now() - started > peerDiscoveryTime;
}

void ConfigurationFollower::Impl::fetchFromPeer()
{
    const auto peer = selectFetchPeer();
    if (!peer)
        return;
    fetchPeer = *peer;
    fetchStarted = wire.clock.now();
    const auto replacement = settings.addressTranslations.find(*peer);
    const Endpoint endpoint =
            replacement == settings.addressTranslations.end() ? *peer : replacement->second;
    Link::Handlers handlers;
    handlers.onReady = [this](const Hello &) {
        fetchLink->send(ConfigurationStateRequest{stateMachine.state().offset});
    };
    handlers.onMessage = [this](Message &&message) {
        if (const auto *reply = std::get_if<ConfigurationStateReply>(&message))
            onPeerState(*reply);
        endFetch(std::holds_alternative<ConfigurationStateReply>(message));
    };
    handlers.onClosed = [this](const LinkFailure &) { endFetch(false); };
    auto connected = Link::connect(wire, endpoint, std::move(handlers));
    if (const auto *failure = std::get_if<SocketFailure>(&connected)) {
        logWarning(LogPart::Configuration, "event=link-connect-failed peer=", toString(endpoint),
                   " error=", toString(*failure));
        return endFetch(false);
    }
    fetchLink = std::move(std::get<0>(connected));
}

void ConfigurationFollower::Impl::endFetch(bool answered)
{
    const auto peer = peerOffsets.find(fetchPeer);
    if (!answered && peer != peerOffsets.end())
        peer->second.backoffUntil = wire.clock.now() + failedFetchBackoff;
    fetchLink.reset();
}

void ConfigurationFollower::Impl::onPeerState(const ConfigurationStateReply &reply)
{
    // The peer has no newer state.
    if (reply.state.empty())
        return;
    const auto state = stateFromJson(reply.state);
    if (std::holds_alternative<RecordMalformed>(state)) {
        wire.metrics.count("lovagecourse_configuration_peer_states_malformed_total");
        return;
    }
    const LogOffset before = stateMachine.state().offset;
    if (!stateMachine.adopt(std::get<ConfigurationState>(state)))
        return;
    logInfo(LogPart::Configuration, "adopted the configuration at offset ",
            stateMachine.state().offset, " from a peer");
    follower.skipTo(stateMachine.state().offset);
    // Must not wait for onBatch(): the next batch may arrive only after a whole long poll.
    updateGap();
    if (!firstRecordTime)
        firstRecordTime = wire.clock.wallNow();
    notifyIfChanged(before);
}

ConfigurationFollower::ConfigurationFollower(const WireContext &wire,
                                             const DaemonSettings &settings, LogClient &log,
                                             ChangeHandler onChange)
    : impl_(std::make_unique<Impl>(wire, settings, log, std::move(onChange)))
{}

ConfigurationFollower::~ConfigurationFollower() = default;

const ConfigurationState &ConfigurationFollower::state() const
{
    return impl_->stateMachine.state();
}

bool ConfigurationFollower::isReady() const
{
    if (impl_->wasReady)
        return true;
    const bool hasLog = impl_->logAvailable && impl_->follower.isCaughtUp() && !impl_->hasGap;
    const bool hasPeerState = !impl_->logAvailable && impl_->stateMachine.state().offset.value > 0
                              && impl_->isPeerDiscoveryOver();
    impl_->wasReady = (hasLog || hasPeerState) && !impl_->hasNewerPeer();
    return impl_->wasReady;
}

bool ConfigurationFollower::isLogAvailable() const
{
    return impl_->logAvailable;
}

void ConfigurationFollower::onPeerOffset(const Endpoint &peer, LogOffset offset)
{
    Impl::PeerOffset &peerOffset = impl_->peerOffsets[peer];
    peerOffset.offset = offset;
    peerOffset.receivedAt = impl_->wire.clock.now();
}

ConfigurationStateReply
ConfigurationFollower::replyTo(const ConfigurationStateRequest &request) const
{
    const ConfigurationState &own = state();
    if (own.offset <= request.newerThan)
        return ConfigurationStateReply{own.offset, {}};
    return ConfigurationStateReply{own.offset, stateToJson(own)};
}

} // namespace lovagecourse
