#include "resuming/ResumableStreams.h"

#include "core/Log.h"
#include "placing/VersionHistory.h"
#include "resuming/StreamOriginRecord.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagecourse {

namespace {

// All routers together append at most 125 times a second; a partition of the store takes 500.
constexpr milliseconds minAppendInterval{100};
constexpr milliseconds appendIntervalPerRouter{8};
constexpr milliseconds appendTimeout{1000};
constexpr milliseconds retryInterval{500};
// More than one router begins in the time in which the store answers again; the oldest are dropped.
constexpr std::size_t maxUntold = 20000;
// Origins in one record; 12 bytes each.
constexpr std::size_t maxOriginsPerRecord = 8000;
// A client that takes up a stream waits for the read.
constexpr milliseconds readTimeout{300};
// A read returns up to 1 MB; this covers more than streamMemory.
constexpr unsigned maxReads = 8;

} // namespace

struct ResumableStreams::Impl : std::enable_shared_from_this<Impl>
{
    /// A take-up that is being decided.
    struct TakeUp
    {
        std::string resumes;
        std::vector<ServiceId> services;
        std::function<void(const TakeUpDecision &)> onDecided;
        ServerListState list = ServerListState::Unread;
        bool isRecordRead = false;
        TimePoint arrived;
    };

    Impl(EventLoop &loop, const Clock &clock, Metrics &metrics, DaemonId self,
         std::function<std::size_t()> routerCount)
        : loop(loop)
        , clock(clock)
        , metrics(metrics)
        , self(std::move(self))
        , routerCount(std::move(routerCount))
        , appendTimer(loop, [this] { append(); })
    {}

    void tell(const std::vector<StreamOrigin> &origins);
    void append();
    void onAppended(const std::vector<StreamOrigin> &origins, const WriteResult &fault);
    void read(std::function<void()> onRead);
    void startRead();
    void readOn(unsigned reads);
    void onRecords(const KeyedResult &result, unsigned reads);
    void endRead();
    void readInTime(const ServersReader &reader, std::function<void(bool isRead)> onRead);
    void decide(TakeUp takeUp);

    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    DaemonId self;
    std::function<std::size_t()> routerCount;
    FleetStore *store = nullptr;
    VersionHistory versions;
    StreamOrigins origins;
    /// Own origins that are not in the store yet.
    std::vector<StreamOrigin> untold;
    /// Own origins that have been appended; the store may lose them.
    StreamOrigins told;
    bool isAppending = false;
    Timer appendTimer;
    /// Where the next read begins; offset 0 before the first one.
    StorePosition next;
    bool isReading = false;
    /// For the read in progress, and for one that begins after it: what a request asks for may have
    /// been appended since the one in progress began.
    std::vector<std::function<void()>> readers;
    std::vector<std::function<void()>> laterReaders;
    ServersReader serversReader;
};

/// Queues origins for the store.
void ResumableStreams::Impl::tell(const std::vector<StreamOrigin> &added)
{
    untold.insert(untold.end(), added.begin(), added.end());
    if (untold.size() > maxUntold) {
        metrics.count("lovagecourse_stream_origins_dropped_total");
        untold.erase(untold.begin(), untold.end() - maxUntold);
    }
    if (!store || untold.empty() || isAppending || appendTimer.isActive())
        return;
    const auto routers = static_cast<int>(routerCount());
    appendTimer.startOnce(std::max(minAppendInterval, appendIntervalPerRouter * routers));
}

void ResumableStreams::Impl::append()
{
    const std::size_t count = std::min(untold.size(), maxOriginsPerRecord);
    const auto end = untold.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<StreamOrigin> batch(untold.begin(), end);
    untold.erase(untold.begin(), end);
    isAppending = true;
    store->append(KeyedTopic::StreamOrigins, self.value, formatStreamOrigins(batch), appendTimeout,
                  [impl = weak_from_this(), batch](const WriteResult &fault) {
                      if (const auto alive = impl.lock())
                          alive->onAppended(batch, fault);
                  });
}

void ResumableStreams::Impl::onAppended(const std::vector<StreamOrigin> &batch,
                                        const WriteResult &fault)
{
    isAppending = false;
    if (!fault) {
        metrics.count("lovagecourse_stream_origin_appends_total");
        for (const StreamOrigin &origin : batch)
            told.add(origin, clock.now());
        return tell({});
    }
    logWarning(LogPart::Routing, "event=stream-origins-not-told fault=", toString(*fault),
               " origins=", batch.size(), " untold=", untold.size());
    // A record that was written nevertheless does no harm.
    untold.insert(untold.begin(), batch.begin(), batch.end());
    appendTimer.startOnce(retryInterval);
}

/// Reads what other routers have told until now, then calls onRead.
void ResumableStreams::Impl::read(std::function<void()> onRead)
{
    if (isReading) {
        laterReaders.push_back(std::move(onRead));
        return;
    }
    readers.push_back(std::move(onRead));
    startRead();
}

void ResumableStreams::Impl::startRead()
{
    isReading = true;
    readOn(1);
}

void ResumableStreams::Impl::readOn(unsigned reads)
{
    if (!store)
        return endRead();
    ReadOptions options;
    options.timeout = readTimeout;
    options.skipsExpired = true;
    store->readFrom(KeyedTopic::StreamOrigins, next, options,
                    [impl = weak_from_this(), reads](const KeyedResult &result) {
                        if (const auto alive = impl.lock())
                            alive->onRecords(result, reads);
                    });
}

void ResumableStreams::Impl::onRecords(const KeyedResult &result, unsigned reads)
{
    if (const auto *fault = std::get_if<StoreFault>(&result)) {
        logWarning(LogPart::Routing, "event=stream-origins-unread fault=", toString(*fault),
                   " next=", next);
        // Offsets are given out again after the store has lost records.
        if (*fault == StoreFault::HistoryLost || *fault == StoreFault::Expired
            || *fault == StoreFault::EraChanged)
            next = {};
        if (*fault == StoreFault::EraChanged && reads < maxReads)
            return readOn(reads + 1);
        return endRead();
    }
    const auto &batch = std::get<KeyedBatch>(result);
    next = batch.next;
    for (const KeyedRecord &record : batch.records) {
        for (const StreamOrigin &origin : parseStreamOrigins(record.value.value_or("")))
            origins.add(origin, clock.now());
    }
    if (batch.records.empty() || reads >= maxReads)
        return endRead();
    readOn(reads + 1);
}

void ResumableStreams::Impl::endRead()
{
    isReading = false;
    const auto done = std::exchange(readers, std::exchange(laterReaders, {}));
    if (!readers.empty())
        startRead();
    for (const auto &onRead : done)
        onRead();
}

/// Calls a reader; calls onRead with its result, or with false after readTimeout.
void ResumableStreams::Impl::readInTime(const ServersReader &reader,
                                        std::function<void(bool isRead)> onRead)
{
    if (!reader)
        return onRead(false);
    struct Wait
    {
        std::function<void(bool)> onRead;
        std::unique_ptr<Timer> limit;
    };
    const auto wait = std::make_shared<Wait>();
    wait->onRead = std::move(onRead);
    const auto end = [impl = weak_from_this()](Wait &ending, bool isRead) {
        ending.limit->stop();
        const auto done = std::exchange(ending.onRead, nullptr);
        const auto alive = impl.lock();
        if (done && alive)
            done(isRead);
    };
    wait->limit = std::make_unique<Timer>(loop, [weak = std::weak_ptr(wait), end] {
        if (const auto waiting = weak.lock())
            end(*waiting, false);
    });
    wait->limit->startOnce(readTimeout);
    reader([wait, end](bool isRead) { end(*wait, isRead); });
}

void ResumableStreams::Impl::decide(TakeUp takeUp)
{
    const TimePoint now = clock.now();
    TakeUpInput input;
    if (!takeUp.resumes.empty())
        input.origin = origins.find(attemptHash(takeUp.resumes), now);
    input.soleVersion = versions.soleVersion(takeUp.services, now);
    input.list = takeUp.list;
    input.isRecordRead = takeUp.isRecordRead;
    const TakeUpDecision decision = decideTakeUp(input);
    metrics.count("lovagecourse_take_ups_total", toString(decision.action));
    if (decision.action == TakeUpAction::GoOn || decision.action == TakeUpAction::Refuse)
        metrics.count("lovagecourse_take_up_lists_total", toString(takeUp.list));
    logInfo(LogPart::Routing, "event=take-up resumes=", takeUp.resumes,
            " service=", takeUp.services.front(), " services=", takeUp.services.size(),
            " action=", toString(decision.action), " origin_known=", input.origin.has_value(),
            " sole_version=", input.soleVersion.has_value(), " list=", toString(takeUp.list),
            " record_read=", takeUp.isRecordRead, " waited_ms=", toMs(now - takeUp.arrived),
            " version=", decision.version);
    if (decision.action == TakeUpAction::ReadServers) {
        const auto onRead = [this, takeUp = std::move(takeUp)](bool isCurrent) mutable {
            takeUp.list = isCurrent ? ServerListState::Current : ServerListState::Unreadable;
            decide(std::move(takeUp));
        };
        return readInTime(serversReader, onRead);
    }
    if (decision.action == TakeUpAction::ReadRecord) {
        const auto readRecord = [this](std::function<void(bool)> onRead) {
            read([onRead = std::move(onRead)] { onRead(true); });
        };
        const auto onRead = [this, takeUp = std::move(takeUp)](bool) mutable {
            takeUp.isRecordRead = true;
            decide(std::move(takeUp));
        };
        return readInTime(readRecord, onRead);
    }
    takeUp.onDecided(decision);
}

ResumableStreams::ResumableStreams(EventLoop &loop, const Clock &clock, Metrics &metrics,
                                   DaemonId self, std::function<std::size_t()> routerCount)
    : impl_(std::make_shared<Impl>(loop, clock, metrics, std::move(self), std::move(routerCount)))
{}

ResumableStreams::~ResumableStreams() = default;

void ResumableStreams::setStore(FleetStore &store)
{
    impl_->store = &store;
    // An offset of another store.
    impl_->next = {};
}

void ResumableStreams::onOlderCopy()
{
    impl_->next = {};
    const std::vector<StreamOrigin> told = impl_->told.all(impl_->clock.now());
    logInfo(LogPart::Routing, "event=stream-origins-told-again origins=", told.size());
    impl_->tell(told);
}

void ResumableStreams::setServersReader(ServersReader reader)
{
    impl_->serversReader = std::move(reader);
}

void ResumableStreams::onStarted()
{
    impl_->versions.onStarted(impl_->clock.now());
}

void ResumableStreams::onPastEntry(const ServerEntry &entry)
{
    impl_->versions.onSeen(entry.service, entry.version, impl_->clock.now());
}

void ResumableStreams::onPastRead()
{
    impl_->versions.onHistoryRead();
}

void ResumableStreams::onRegistered(const ServerEntry &entry)
{
    const TimePoint now = impl_->clock.now();
    if (impl_->versions.onRegistered(entry.id, entry.service, entry.version, now)) {
        logInfo(LogPart::Routing, "event=versions-mixed service=", entry.service,
                " version=", entry.version, " server=", entry.id);
        impl_->tell(impl_->origins.all(now));
    }
}

void ResumableStreams::onRemoved(const ServerId &server)
{
    impl_->versions.onRemoved(server, impl_->clock.now());
}

void ResumableStreams::onBegun(const std::string &attemptId, const ServiceId &service,
                               const SoftwareVersion &version,
                               std::span<const ServiceId> routeServices)
{
    if (attemptId.empty())
        return;
    const TimePoint now = impl_->clock.now();
    const StreamOrigin origin{attemptHash(attemptId), versionHash(service, version)};
    impl_->origins.add(origin, now);
    if (impl_->versions.isMixed(routeServices, now))
        impl_->tell({origin});
}

std::optional<ServiceId> ResumableStreams::serviceOf(VersionHash version) const
{
    return impl_->versions.serviceOf(version);
}

void ResumableStreams::decide(const std::string &resumes, const std::vector<ServiceId> &services,
                              std::function<void(const TakeUpDecision &)> onDecided)
{
    Impl::TakeUp takeUp{resumes, services, std::move(onDecided)};
    // An attempt that is not named can't be found.
    takeUp.isRecordRead = resumes.empty();
    takeUp.arrived = impl_->clock.now();
    impl_->decide(std::move(takeUp));
}

} // namespace lovagecourse
