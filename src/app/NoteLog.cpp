#include "app/NoteLog.h"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <random>
#include <sstream>
#include <utility>

namespace lovagecourse {

namespace {

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

std::string toString(const PlatformFailure &failure)
{
    if (std::holds_alternative<PlatformAnswerMalformed>(failure))
        return "its answer has another form than expected";
    if (const auto *rejected = std::get_if<PlatformRejected>(&failure))
        return "it rejected the request with status " + std::to_string(rejected->httpStatus);
    const auto &unavailable = std::get<PlatformUnavailable>(failure);
    if (unavailable.httpStatus != 0)
        return "it answered with status " + std::to_string(unavailable.httpStatus);
    if (unavailable.curlCode != 0)
        return "transfer failure " + std::to_string(unavailable.curlCode) + " of libcurl";
    return "no answer came in time";
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

NoteLog::NoteLog(const std::string &platformUrl, milliseconds timeout, std::string stream)
    : http_(loop_)
    , client_(http_, platformUrl)
    , stream_(std::move(stream))
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
                    client_.read(stream_, all.next, milliseconds(0), std::move(onDone));
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
                    client_.append(stream_, recordId, body, limit, std::move(onDone));
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
