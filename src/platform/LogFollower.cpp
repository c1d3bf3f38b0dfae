#include "platform/LogFollower.h"

#include "core/Log.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace lovagecourse {

namespace {

// How long the platform holds a read that finds nothing new.
constexpr milliseconds longPollWait{10000};
// Bounds the load of a platform that answers long polls at once though nothing is there.
constexpr milliseconds pauseAfterEmptyRead{20};
constexpr milliseconds firstRetryDelay{100};
constexpr milliseconds longestRetryDelay{2000};

} // namespace

/// State of the follower; callbacks of a running read hold it weakly.
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
        // The first read starts from the loop, so that no handler runs inside the constructor.
        retryTimer.startOnce(milliseconds(0));
    }

    void startRead()
    {
        readFrom = next;
        // Until all that is there was read, an empty answer must come at once.
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
        takeBatch(*batch);
        if (self.expired())
            return;
        if (batch->records.empty())
            retryTimer.startOnce(pauseAfterEmptyRead);
        else
            startRead();
    }

    void takeBatch(LogBatch batch)
    {
        if (batch.next < readFrom)
            logWarning(LogPart::Platform, "stream ", stream, " ends at ", batch.next,
                       ", before offset ", readFrom, " that was read already");
        isCaughtUp = isCaughtUp || batch.records.empty();
        // skipTo() may have moved on while the read was running.
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
            logWarning(LogPart::Platform, "stream ", stream, " can't be read");
        onAvailability(isAvailable);
    }

    /// Doubles from attempt to attempt; the jitter spreads the fleet's reconnects.
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
    /// Offset that the running read asked for.
    LogOffset readFrom;
    BatchHandler onBatch;
    AvailabilityHandler onAvailability;
    Timer retryTimer;
    std::optional<bool> available;
    bool isCaughtUp = false;
    int failures = 0;
    std::mt19937 random{std::random_device{}()};
    /// Expires with the follower, so that a read that ends later calls nothing.
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
