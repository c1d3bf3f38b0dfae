#include "platform/LogFollower.h"

#include "core/Log.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace lovagecourse {

namespace {

// How long the platform waits for a new record before it returns an empty batch.
constexpr milliseconds longPollWait{10000};
// Limits the request rate if the platform answers long polls at once without records.
constexpr milliseconds pauseAfterEmptyRead{20};
constexpr milliseconds firstRetryDelay{100};
constexpr milliseconds longestRetryDelay{2000};

} // namespace

/// State of the follower; callbacks of a running read do nothing once `alive` has expired.
struct LogFollower::Impl
{
    Impl(EventLoop &loop, LogClient &logClient, std::string streamName, LogOffset from,
         BatchHandler batchHandler, AvailabilityHandler availabilityHandler)
        : client(logClient)
        , stream(std::move(streamName))
        , next(from)
        , onBatch(std::move(batchHandler))
        , onAvailability(std::move(availabilityHandler))
        , retryTimer(loop, [this] { startRead(); })
    {
        // Starts the first read from the event loop, so that no handler is called inside the
        // constructor.
        retryTimer.startOnce(milliseconds(0));
    }

    void startRead()
    {
        readFrom = next;
        // Before all existing records are read, an empty batch must be returned at once.
        const milliseconds wait = isCaughtUp ? longPollWait : milliseconds(0);
        client.read(stream, next, wait,
                    [self = std::weak_ptr<bool>(alive), this](const ReadResult &result) {
                        if (!self.expired())
                            onRead(result);
                    });
    }

    void onRead(const ReadResult &result)
    {
        const std::weak_ptr<bool> self = alive;
        const auto *batch = std::get_if<LogBatch>(&result);
        setAvailable(batch != nullptr);
        // A handler may destroy the follower.
        if (self.expired())
            return;
        if (batch == nullptr) {
            retryTimer.startOnce(nextRetryDelay());
            return;
        }
        failures = 0;
        processBatch(*batch);
        if (self.expired())
            return;
        if (batch->records.empty())
            retryTimer.startOnce(pauseAfterEmptyRead);
        else
            startRead();
    }

    void processBatch(LogBatch batch)
    {
        if (batch.next < readFrom)
            logWarning(LogPart::Platform, "stream ", stream, " ends at offset ", batch.next,
                       ", but records before offset ", readFrom, " were already read");
        isCaughtUp = isCaughtUp || batch.records.empty();
        // skipTo() may have advanced the offset while the read was running.
        std::erase_if(batch.records,
                      [this](const LogRecord &record) { return record.offset < next; });
        next = std::max({next, batch.next, batch.oldest});
        batch.next = next;
        onBatch(batch);
    }

    void setAvailable(bool isAvailable)
    {
        if (available == isAvailable)
            return;
        available = isAvailable;
        if (!isAvailable)
            logWarning(LogPart::Platform, "stream ", stream,
                       ": read failed; retrying with backoff");
        onAvailability(isAvailable);
    }

    /// Exponential backoff; the jitter spreads the reconnects of the fleet.
    milliseconds nextRetryDelay()
    {
        const int doublings = std::min(failures++, 5);
        const milliseconds full = std::min(firstRetryDelay * (1 << doublings), longestRetryDelay);
        std::uniform_real_distribution<double> jitter(0.5, 1.);
        return milliseconds(static_cast<std::int64_t>(full.count() * jitter(random)));
    }

    LogClient &client;
    std::string stream;
    LogOffset next;
    /// Offset from which the running read starts.
    LogOffset readFrom;
    BatchHandler onBatch;
    AvailabilityHandler onAvailability;
    Timer retryTimer;
    std::optional<bool> available;
    bool isCaughtUp = false;
    int failures = 0;
    std::mt19937 random{std::random_device{}()};
    /// Expires with the follower, so that a read that ends later calls no handler.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

LogFollower::LogFollower(EventLoop &loop, LogClient &client, std::string stream, LogOffset from,
                         BatchHandler onBatch, AvailabilityHandler onAvailability)
    : impl_(std::make_unique<Impl>(loop, client, std::move(stream), from, std::move(onBatch),
                                   std::move(onAvailability)))
{}

LogFollower::~LogFollower() = default;

bool LogFollower::isCaughtUp() const
{
    return impl_->isCaughtUp;
}

LogOffset LogFollower::next() const
{
    return impl_->next;
}

void LogFollower::skipTo(LogOffset offset)
{
    impl_->next = std::max(impl_->next, offset);
}

} // namespace lovagecourse
