#include "app/BlockingLogClient.h"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <random>
#include <sstream>
#include <utility>

namespace lovagecourse {

namespace {

// An append without an answer after this time is retried.
constexpr milliseconds attemptTimeout{2000};
constexpr milliseconds initialBackoff{100};
constexpr milliseconds maxBackoff{2000};
// CURLE_COULDNT_RESOLVE_HOST and CURLE_COULDNT_CONNECT: no byte was sent to the platform.
constexpr int curlCouldNotResolveHost = 6;
constexpr int curlCouldNotConnect = 7;

/// False only if the failure proves that the platform did not store the record.
bool mayHaveTakenEffect(const PlatformFailure &failure)
{
    if (std::holds_alternative<PlatformRejected>(failure))
        return false;
    const auto *unavailable = std::get_if<PlatformUnavailable>(&failure);
    return unavailable == nullptr
           || (unavailable->curlCode != curlCouldNotResolveHost
               && unavailable->curlCode != curlCouldNotConnect);
}

milliseconds remainingTime(const Clock &clock, TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock.now());
    return std::max(left, milliseconds(1));
}

} // namespace

std::string toString(const PlatformFailure &failure)
{
    if (std::holds_alternative<PlatformAnswerMalformed>(failure))
        return "the answer is malformed";
    if (const auto *rejected = std::get_if<PlatformRejected>(&failure))
        return "the platform rejected the request with HTTP status "
               + std::to_string(rejected->httpStatus);
    const auto &unavailable = std::get<PlatformUnavailable>(failure);
    if (unavailable.httpStatus != 0)
        return "the platform answered with HTTP status " + std::to_string(unavailable.httpStatus);
    if (unavailable.curlCode != 0)
        return "transfer failed (libcurl error " + std::to_string(unavailable.curlCode) + ")";
    return "no answer before the timeout";
}

std::string randomRecordId(const std::string &prefix)
{
    std::random_device random;
    std::ostringstream id;
    id << prefix << std::hex;
    for (int word = 0; word < 4; ++word)
        id << std::setw(8) << std::setfill('0') << random();
    return id.str();
}

BlockingLogClient::BlockingLogClient(const std::string &platformUrl, milliseconds timeout,
                                     std::string stream)
    : http_(loop_)
    , client_(http_, platformUrl)
    , stream_(std::move(stream))
    , timeout_(timeout)
{}

template <class Result>
Result
BlockingLogClient::await(TimePoint deadline,
                         const std::function<void(std::function<void(const Result &)>)> &start)
{
    // Shared with the callback, because the answer may arrive after this call has timed out.
    auto result = std::make_shared<std::optional<Result>>();
    Timer deadlineTimer(loop_, [this] { loop_.stop(); });
    start([this, result](const Result &arrived) {
        *result = arrived;
        loop_.stop();
    });
    // The late answer to an earlier call also stops the loop, so check for a result each time.
    while (!*result && clock_.now() < deadline) {
        deadlineTimer.startOnce(remainingTime(clock_, deadline));
        loop_.run();
    }
    return result->value_or(PlatformFailure(PlatformUnavailable{}));
}

bool BlockingLogClient::backOff(int attempt, TimePoint deadline)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.);
    std::random_device random;
    const milliseconds full = std::min(initialBackoff * (1 << std::min(attempt, 5)), maxBackoff);
    const milliseconds wait(static_cast<std::int64_t>(full.count() * jitter(random)));
    Timer timer(loop_, [this] { loop_.stop(); });
    timer.startOnce(std::min(wait, remainingTime(clock_, deadline)));
    while (timer.isActive())
        loop_.run();
    return clock_.now() < deadline;
}

ReadResult BlockingLogClient::readAll(LogOffset from)
{
    const TimePoint deadline = clock_.now() + timeout_;
    LogBatch all{LogOffset(0), from, {}};
    int failures = 0;
    for (;;) {
        const ReadResult result =
                await<ReadResult>(deadline, [&](std::function<void(const ReadResult &)> onDone) {
                    client_.read(stream_, all.next, milliseconds(0), std::move(onDone));
                });
        const auto *batch = std::get_if<LogBatch>(&result);
        if (batch == nullptr) {
            const auto &failure = std::get<PlatformFailure>(result);
            if (std::holds_alternative<PlatformRejected>(failure) || !backOff(failures++, deadline))
                return failure;
            continue;
        }
        // Keep the first value: records that expire during the read are already in the result.
        if (all.records.empty())
            all.oldest = batch->oldest;
        all.next = std::max(all.next, batch->next);
        all.records.insert(all.records.end(), batch->records.begin(), batch->records.end());
        if (batch->records.empty())
            return all;
    }
}

std::variant<LogOffset, AppendFailure> BlockingLogClient::append(const std::string &recordId,
                                                                 const std::string &body)
{
    const TimePoint deadline = clock_.now() + timeout_;
    bool mayBeStored = false;
    for (int attempt = 0;; ++attempt) {
        const AppendResult result = await<AppendResult>(
                deadline, [&](std::function<void(const AppendResult &)> onDone) {
                    const milliseconds limit =
                            std::min(attemptTimeout, remainingTime(clock_, deadline));
                    client_.append(stream_, recordId, body, limit, std::move(onDone));
                });
        if (const auto *offset = std::get_if<LogOffset>(&result))
            return *offset;
        const auto &failure = std::get<PlatformFailure>(result);
        mayBeStored = mayBeStored || mayHaveTakenEffect(failure);
        if (std::holds_alternative<PlatformRejected>(failure) || !backOff(attempt, deadline))
            return AppendFailure{mayBeStored, failure};
    }
}

} // namespace lovagecourse
