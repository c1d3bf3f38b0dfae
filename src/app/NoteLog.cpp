#include "app/NoteLog.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace lovagecourse {

namespace {

const std::string streamName = "configuration";
// An answer later than this is treated as lost and the append is repeated.
constexpr milliseconds attemptTimeout{2000};
constexpr milliseconds firstPause{100};
constexpr milliseconds longestPause{2000};
// CURLE_COULDNT_RESOLVE_HOST and CURLE_COULDNT_CONNECT: no byte reached the platform.
constexpr int couldNotResolve = 6;
constexpr int couldNotConnect = 7;

bool mayHaveTakenEffect(const PlatformFailure &failure)
{
    if (std::holds_alternative<PlatformRejected>(failure))
        return false;
    const auto *unavailable = std::get_if<PlatformUnavailable>(&failure);
    return unavailable == nullptr
           || (unavailable->curlCode != couldNotResolve
               && unavailable->curlCode != couldNotConnect);
}

milliseconds remaining(const Clock &clock, TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock.now());
    return std::max(left, milliseconds(1));
}

} // namespace

NoteLog::NoteLog(const std::string &platformUrl, milliseconds timeout)
    : http_(loop_)
    , client_(http_, platformUrl)
    , timeout_(timeout)
{}

template <class Result>
Result NoteLog::await(TimePoint deadline,
                      const std::function<void(std::function<void(const Result &)>)> &start)
{
    // Shared, because the answer may come after this call gave up.
    auto result = std::make_shared<std::optional<Result>>();
    Timer deadlineTimer(loop_, [this] { loop_.stop(); });
    start([this, result](const Result &arrived) {
        *result = arrived;
        loop_.stop();
    });
    // A late answer of an earlier call also stops the loop.
    while (!*result && clock_.now() < deadline) {
        deadlineTimer.startOnce(remaining(clock_, deadline));
        loop_.run();
    }
    return result->value_or(PlatformFailure(PlatformUnavailable{}));
}

bool NoteLog::pause(int attempt, TimePoint deadline)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.);
    std::random_device random;
    const milliseconds full = std::min(firstPause * (1 << std::min(attempt, 5)), longestPause);
    const milliseconds wait(static_cast<std::int64_t>(full.count() * jitter(random)));
    Timer timer(loop_, [this] { loop_.stop(); });
    timer.startOnce(std::min(wait, remaining(clock_, deadline)));
    while (timer.isActive())
        loop_.run();
    return clock_.now() < deadline;
}

ReadResult NoteLog::readAll(LogOffset from)
{
    const TimePoint deadline = clock_.now() + timeout_;
    LogBatch all{LogOffset(0), from, {}};
    int failures = 0;
    for (;;) {
        const ReadResult result =
                await<ReadResult>(deadline, [&](std::function<void(const ReadResult &)> onDone) {
                    client_.read(streamName, all.next, milliseconds(0), std::move(onDone));
                });
        const auto *batch = std::get_if<LogBatch>(&result);
        if (batch == nullptr) {
            const auto &failure = std::get<PlatformFailure>(result);
            if (std::holds_alternative<PlatformRejected>(failure) || !pause(failures++, deadline))
                return failure;
            continue;
        }
        // Records that expired while the command was reading stay, for they were read in order.
        if (all.records.empty())
            all.oldest = batch->oldest;
        all.next = std::max(all.next, batch->next);
        all.records.insert(all.records.end(), batch->records.begin(), batch->records.end());
        if (batch->records.empty())
            return all;
    }
}

std::variant<LogOffset, NoteAppendFailure> NoteLog::append(const std::string &recordId,
                                                           const std::string &body)
{
    const TimePoint deadline = clock_.now() + timeout_;
    bool mayBeStored = false;
    for (int attempt = 0;; ++attempt) {
        const AppendResult result = await<AppendResult>(
                deadline, [&](std::function<void(const AppendResult &)> onDone) {
                    const milliseconds limit =
                            std::min(attemptTimeout, remaining(clock_, deadline));
                    client_.append(streamName, recordId, body, limit, std::move(onDone));
                });
        if (const auto *offset = std::get_if<LogOffset>(&result))
            return *offset;
        const auto &failure = std::get<PlatformFailure>(result);
        mayBeStored = mayBeStored || mayHaveTakenEffect(failure);
        if (std::holds_alternative<PlatformRejected>(failure) || !pause(attempt, deadline))
            return NoteAppendFailure{mayBeStored, failure};
    }
}

} // namespace lovagecourse
