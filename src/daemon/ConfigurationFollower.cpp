#include "daemon/ConfigurationFollower.h"

#include "core/Log.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr const char *configurationStream = "configuration";
constexpr std::size_t notesPerSnapshot = 64;
constexpr milliseconds appendTimeout{5000};
constexpr milliseconds housekeepingInterval{250};
// A fetch from a peer that takes longer is given up, so that another peer is asked.
constexpr seconds fetchTimeout{2};
// Random delay before a snapshot, so that daemons rarely append one at the same time.
constexpr int maxSnapshotDelayMs = 5000;
// A peer's offset counts for readiness as long as it was heard within this time.
constexpr seconds peerOffsetLifetime{5};
// Another peer is asked first for this long after a peer did not answer a fetch.
constexpr seconds failedFetchPause{2};
// A read that hangs on a silently broken path fails only after 15 s; once a peer has been ahead for
// this long, its state is fetched although the log seems to answer.
constexpr milliseconds maxBehindPeers{1000};
// Without the log, a daemon hears about a dozen peers in this time, so that one of them tells of a
// newer state than that of the first peer.
constexpr seconds peerHearingTime{3};
// Retry of a snapshot whose append failed.
constexpr seconds snapshotRetry{10};

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
        , housekeeping(wire.loop, [this] { keepHouse(); })
    {
        housekeeping.startRepeating(housekeepingInterval);
    }

    struct PeerOffset
    {
        LogOffset offset;
        TimePoint heard;
        /// Until then other peers are asked first.
        TimePoint avoidUntil;
    };

    void onBatch(const LogBatch &batch);
    void onAvailability(bool available);
    void reportOutcome(const LogRecord &record, const ApplyOutcome &outcome);
    void keepHouse();
    void appendSnapshotWhenDue();
    bool isSnapshotDue() const;
    bool isLogBehind() const;
    void fetchFromPeer();
    void endFetch(bool answered);
    void updateGap();
    void onPeerState(const StateReply &reply);
    bool hasNewerPeer() const;
    std::optional<Endpoint> peerToAsk() const;
    bool hasHeardPeers() const;
    void notifyIfChanged(LogOffset before);

    WireContext wire;
    const DaemonSettings &settings;
    LogClient &log;
    ChangeHandler onChange;
    ConfigurationStateMachine fold;
    /// Records that the state lacks have expired.
    bool hasGap = false;
    /// Oldest offset that the log kept at the last read.
    LogOffset oldest;
    /// When the oldest record that this daemon read was stored, or when it took its first state
    /// from a peer; starts the time to the first snapshot.
    std::optional<WallTime> firstNoteTime;
    bool logAvailable = true;
    bool wasReady = false;
    std::map<Endpoint, PeerOffset> peerOffsets;
    /// Since when some peer has had a newer state.
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
    const LogOffset before = fold.state().offset;
    for (const LogRecord &record : batch.records)
        reportOutcome(record, fold.apply(record));
    oldest = batch.oldest;
    updateGap();
    // The record's own time: with the time of this start, daemons that restart often would never
    // find a snapshot due.
    if (!firstNoteTime && !batch.records.empty())
        firstNoteTime = batch.records.front().time;
    notifyIfChanged(before);
}

/// Records between the state and the oldest one may have expired with no snapshot that covers them.
void ConfigurationFollower::Impl::updateGap()
{
    hasGap = fold.hasGap() || fold.state().offset < oldest;
}

void ConfigurationFollower::Impl::reportOutcome(const LogRecord &record,
                                                const ApplyOutcome &outcome)
{
    if (const auto *accepted = std::get_if<NoteAccepted>(&outcome)) {
        logInfo(LogPart::Configuration, "note ", accepted->number, " is in force");
    } else if (std::holds_alternative<RecordMalformed>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "malformed");
        logWarning(LogPart::Configuration, "record ", record.offset, " can't be read; skipped");
    } else if (std::holds_alternative<NoteOutdated>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "outdated");
    } else if (std::holds_alternative<NoteInvalid>(outcome)) {
        wire.metrics.count("lovagecourse_configuration_records_skipped_total", "invalid");
    }
}

void ConfigurationFollower::Impl::notifyIfChanged(LogOffset before)
{
    const bool changed = fold.state().offset != before;
    if (changed)
        onChange(fold.state());
}

void ConfigurationFollower::Impl::onAvailability(bool available)
{
    logAvailable = available;
    logInfo(LogPart::Configuration, available ? "log is available" : "log is not available");
}

void ConfigurationFollower::Impl::keepHouse()
{
    const TimePoint now = wire.clock.now();
    std::erase_if(peerOffsets,
                  [now](const auto &item) { return now - item.second.heard > peerOffsetLifetime; });
    if (!hasNewerPeer())
        behindSince.reset();
    else if (!behindSince)
        behindSince = now;
    if (fetchLink && now - fetchStarted > fetchTimeout)
        endFetch(false);
    if (!fetchLink && isLogBehind())
        fetchFromPeer();
    appendSnapshotWhenDue();
}

/// While the log answers, it is the shortest way to the newest state.
bool ConfigurationFollower::Impl::isLogBehind() const
{
    const bool isLate = behindSince && wire.clock.now() - *behindSince > maxBehindPeers;
    return !logAvailable || hasGap || isLate;
}

bool ConfigurationFollower::Impl::isSnapshotDue() const
{
    const bool mayAppend = settings.role == DaemonRole::Entry && logAvailable
                           && follower.isCaughtUp() && !hasGap && fold.state().note.value > 0;
    if (!mayAppend)
        return false;
    if (fold.notesSinceSnapshot() >= notesPerSnapshot)
        return true;
    // The log keeps records longer than keys are accepted.
    const WallTime since = std::max(fold.lastSnapshotTime(), firstNoteTime.value_or(WallTime()));
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
    snapshotAt = now + snapshotRetry;
    const std::string recordId = "snapshot-" + std::to_string(fold.state().offset.value);
    log.append(configurationStream, recordId, snapshotRecordBody(fold.state()), appendTimeout,
               [](const AppendResult &result) {
                   if (result.index() == 0)
                       logInfo(LogPart::Configuration, "appended a snapshot");
               });
}

bool ConfigurationFollower::Impl::hasNewerPeer() const
{
    return std::any_of(peerOffsets.begin(), peerOffsets.end(), [this](const auto &item) {
        return item.second.offset > fold.state().offset;
    });
}

/// The peer with the newest state among those that are not avoided.
std::optional<Endpoint> ConfigurationFollower::Impl::peerToAsk() const
{
    const TimePoint now = wire.clock.now();
    std::optional<Endpoint> best;
    LogOffset bestOffset = fold.state().offset;
    for (const auto &[endpoint, peer] : peerOffsets) {
        if (peer.offset <= bestOffset || now < peer.avoidUntil)
            continue;
        best = endpoint;
        bestOffset = peer.offset;
    }
    return best;
}

bool ConfigurationFollower::Impl::hasHeardPeers() const
{
    return wire.clock.now() - started > peerHearingTime;
}

void ConfigurationFollower::Impl::fetchFromPeer()
{
    const auto peer = peerToAsk();
    if (!peer)
        return;
    fetchPeer = *peer;
    fetchStarted = wire.clock.now();
    const auto detour = settings.via.find(*peer);
    const Endpoint endpoint = detour == settings.via.end() ? *peer : detour->second;
    Link::Handlers handlers;
    handlers.onReady = [this](const Hello &) {
        fetchLink->send(StateRequest{fold.state().offset});
    };
    handlers.onMessage = [this](Message &&message) {
        if (const auto *reply = std::get_if<StateReply>(&message))
            onPeerState(*reply);
        endFetch(std::holds_alternative<StateReply>(message));
    };
    handlers.onClosed = [this](const LinkFailure &) { endFetch(false); };
    fetchLink = Link::connect(wire, endpoint, std::move(handlers));
}

void ConfigurationFollower::Impl::endFetch(bool answered)
{
    const auto peer = peerOffsets.find(fetchPeer);
    if (!answered && peer != peerOffsets.end())
        peer->second.avoidUntil = wire.clock.now() + failedFetchPause;
    fetchLink.reset();
}

void ConfigurationFollower::Impl::onPeerState(const StateReply &reply)
{
    // The peer has nothing newer.
    if (reply.state.empty())
        return;
    const auto state = stateFromJson(reply.state);
    if (std::holds_alternative<RecordMalformed>(state)) {
        wire.metrics.count("lovagecourse_configuration_peer_states_malformed_total");
        return;
    }
    const LogOffset before = fold.state().offset;
    if (!fold.adopt(std::get<ConfigurationState>(state)))
        return;
    logInfo(LogPart::Configuration, "took the state at offset ", fold.state().offset,
            " from a peer");
    follower.skipTo(fold.state().offset);
    // The next batch may be a long poll away.
    updateGap();
    if (!firstNoteTime)
        firstNoteTime = wire.clock.wallNow();
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
    return impl_->fold.state();
}

bool ConfigurationFollower::isReady() const
{
    if (impl_->wasReady)
        return true;
    const bool hasLog = impl_->logAvailable && impl_->follower.isCaughtUp() && !impl_->hasGap;
    const bool hasPeerState =
            !impl_->logAvailable && impl_->fold.state().offset.value > 0 && impl_->hasHeardPeers();
    impl_->wasReady = (hasLog || hasPeerState) && !impl_->hasNewerPeer();
    return impl_->wasReady;
}

bool ConfigurationFollower::isLogAvailable() const
{
    return impl_->logAvailable;
}

void ConfigurationFollower::onPeerOffset(const Endpoint &peer, LogOffset offset)
{
    Impl::PeerOffset &known = impl_->peerOffsets[peer];
    known.offset = offset;
    known.heard = impl_->wire.clock.now();
}

StateReply ConfigurationFollower::replyTo(const StateRequest &request) const
{
    const ConfigurationState &own = state();
    if (own.offset <= request.newerThan)
        return StateReply{own.offset, {}};
    return StateReply{own.offset, stateToJson(own)};
}

} // namespace lovagecourse
