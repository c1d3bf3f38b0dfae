#include "direct/StoreFollower.h"

#include "core/Log.h"

#include <algorithm>
#include <array>

namespace lovagecourse {

namespace {

// The slowest answers that the platform's pages tell of take a third of this.
constexpr milliseconds answerTimeout{800};
// Two tries and an answer fit into the two seconds in which a change must be in force.
constexpr milliseconds firstRetry{100};
constexpr milliseconds longestRetry{400};

constexpr std::array<std::string_view, 3> topicNames{"configuration", "servers", "daemons"};
constexpr std::array<std::string_view, 5> faultNames{"no-answer", "overloaded", "unavailable",
                                                     "expired", "malformed"};

} // namespace

std::string_view toString(KeyedTopic topic)
{
    return topicNames[static_cast<std::size_t>(topic)];
}

std::string_view toString(StoreFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

StoreFollower::StoreFollower(EventLoop &loop, const Clock &clock, FleetStore &store,
                             KeyedTopic topic, FollowPace pace, Handlers handlers)
    : clock_(clock)
    , store_(store)
    , topic_(topic)
    , pace_(pace)
    , handlers_(std::move(handlers))
    , timer_(loop, [this] { read(); })
{}

void StoreFollower::start()
{
    read();
}

void StoreFollower::read()
{
    const bool isAll = !next_.has_value();
    isReading_ = true;
    const auto onDone = [this, isAll,
                         alive = std::weak_ptr<bool>(alive_)](const KeyedResult &result) {
        if (!alive.expired())
            onResult(result, isAll);
    };
    if (isAll)
        store_.readNewest(topic_, answerTimeout, onDone);
    else
        store_.readFrom(topic_, *next_, pace_.wait, pace_.wait + answerTimeout, onDone);
}

void StoreFollower::onResult(const KeyedResult &result, bool isAll)
{
    isReading_ = false;
    if (const auto *fault = std::get_if<StoreFault>(&result))
        return onFault(*fault);
    const auto &batch = std::get<KeyedBatch>(result);
    if (failures_ > 0) {
        const auto away = std::chrono::duration_cast<milliseconds>(clock_.now() - lostAt_);
        logInfo(LogPart::Platform, "event=store-returned topic=", toString(topic_),
                " away_ms=", away.count(), " failures=", failures_);
        failures_ = 0;
        handlers_.onReturned();
    }
    // Pages of all keys are no snapshot: they may hold changes from behind the offset that the next
    // read begins at. To a daemon that knows less, those are news.
    const LogOffset from = wasAll_ ? batch.next : next_.value_or(batch.next);
    wasAll_ = isAll;
    next_ = batch.next;
    timer_.startOnce(pace_.pause);
    if (isAll)
        handlers_.onAll(batch.records);
    else if (batch.records.empty())
        handlers_.onNothing(batch.next);
    else
        handlers_.onChanges(batch.records, from, batch.next);
}

void StoreFollower::onUnchanged(LogOffset from, LogOffset to)
{
    // A read that is under way brings the same records; after a failure only an own one tells that
    // the store is back.
    if (!next_ || isReading_ || failures_ > 0 || *next_ < from || to < *next_)
        return;
    next_ = to;
    timer_.startOnce(pace_.pause);
}

void StoreFollower::onFault(StoreFault fault)
{
    if (fault == StoreFault::Expired) {
        logInfo(LogPart::Platform, "event=records-expired topic=", toString(topic_),
                " from=", next_ ? next_->value : 0);
        next_.reset();
        timer_.startOnce(milliseconds(0));
        return;
    }
    if (failures_ == 0) {
        lostAt_ = clock_.now();
        logWarning(LogPart::Platform, "event=store-lost topic=", toString(topic_),
                   " fault=", toString(fault));
    }
    ++failures_;
    timer_.startOnce(std::min(longestRetry, firstRetry * static_cast<int>(failures_)));
}

} // namespace lovagecourse
