#pragma once

#include "backend/EventStreamSplitter.h"
#include "direct/AnswerEvidence.h"
#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/EventSequence.h"
#include "direct/ServerPool.h"
#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"
#include "placing/Admission.h"
#include "placing/CrashTraits.h"
#include "placing/FairShares.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lovagecourse {

/// Identifies an attempt among those of one exchange.
using AttemptKey = StrongId<struct AttemptKeyTag, std::uint64_t>;

/// One attempt: a request sent to one server, and its answer so far.
struct DirectAttempt
{
    AttemptKey key;
    /// Sent while an earlier attempt was not answered yet.
    bool isHedge = false;
    Placement placement;
    /// Run of the server at the send.
    ServerRunHash serverRun = 0;
    SendNumber number = 0;
    HttpTransferId transfer;
    TimePoint sentAt;
    /// Event loop delay at the send: upper bound of the time that the request waited in this
    /// process before it.
    std::chrono::nanoseconds loopDelayAtSend{0};
    int status = 0;
    ServerAnswer answer;
    /// Buffered body of an answer that is not an event stream.
    std::string body;
    MemoryReservation bodyMemory;
    bool hasHead = false;
    bool hasBodyBytes = false;
    /// Not sent, because the server had begun to leave when the connection was ready.
    bool isWithdrawn = false;
    /// The answer has the wrong attempt id, no signature or no end.
    bool isInvalid = false;
    AnswerEvidence evidence;
    /// Last sign of the server: the send, bytes of the answer, or its end.
    TimePoint lastHeardAt;
    /// End of the answer's connection, while the server is checked.
    TimePoint endedAt;
    /// The server has accepted a connection after the end.
    TimePoint checkedAt;
    EventStreamSplitter splitter;
    /// Ends the attempt after its answer was rejected.
    std::unique_ptr<Timer> rejectTimer;
    /// Waits for a newer registration of the server, while it is checked.
    std::unique_ptr<Timer> checkTimer;
};

/// A hedge whose outcome is open.
struct OpenHedge
{
    TimePoint firstSentAt;
    /// Predicted time to first byte of the first attempt, in ms.
    double firstPredictedMs = 0;
};

/// State of one caller's request from its arrival to the end of its answer.
struct DirectExchange
{
    CallerId caller;
    CallerRequest request;
    ClientRequest client;
    /// Configuration that owns the route below.
    std::shared_ptr<const DirectConfiguration> configuration;
    const Route *route = nullptr;
    ServiceId service;
    AccountId account;
    AccountHash accountHash = 0;
    std::vector<PromptPrefix> prompt;
    double costTokens = 0;
    /// What the request may have in common with others that crash servers.
    std::vector<TraitHash> traits;
    TimePoint arrived;
    /// Upper bound of the time that the request waited unread in this process before its arrival.
    /// 0 after the deadline has passed.
    std::chrono::nanoseconds waitedUnread{0};
    /// Arrival minus waitedUnread plus the lesser of the route's timeout and the caller's timeout
    /// with deadlineSlack. An answer that is being streamed then ends waitedUnread later.
    TimePoint deadline;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> stallTimer;

    /// Servers that the request was sent to or that could not be reached.
    std::set<ServerId> triedServers;
    /// Attempts, without those whose connection could not be made.
    unsigned sendCount = 0;
    /// Input of the admission decision, and the number of servers that were compared.
    AdmissionInput admissionInput;
    std::size_t candidateCount = 0;
    /// The first attempt went to the fastest server instead of the one with the lowest cost.
    bool isSecondChoice = false;
    /// When it was rejected because of overload: the time that its client was told, and which limit
    /// it exceeded.
    milliseconds retryAfter{0};
    std::optional<AdmissionLimit> exceededLimit;
    /// Time from arrival to the first byte of an answer; 0 when none arrived.
    double firstByteMs = 0;
    /// Of the last attempt that was written: age of the list of servers at the choice of the
    /// server, and time from the choice to the first byte of the request.
    double listAgeMs = 0;
    double sendDelayMs = 0;
    /// Predicted time to the first byte of the last attempt.
    double predictedMs = 0;
    /// A server may have started to run the request.
    bool mayHaveRun = false;
    /// The only attempt, or of two concurrent ones that of the latest callback.
    std::unique_ptr<DirectAttempt> attempt;
    /// The other of two concurrent attempts; never set without attempt.
    std::unique_ptr<DirectAttempt> rival;
    std::uint64_t lastAttemptKey = 0;
    std::unique_ptr<Timer> hedgeTimer;
    std::optional<OpenHedge> openHedge;
    /// Error answer of an earlier attempt; sent to the caller when no retry succeeds.
    std::unique_ptr<DirectAttempt> failedAnswer;

    /// The status and headers of a streamed answer were sent to the caller.
    bool isStreaming = false;
    /// Software version that began the stream: it goes on at servers of this version only.
    std::optional<VersionHash> version;
    /// Events that were forwarded to the caller.
    EventSequence events;
    /// Streamed bytes that the caller's connection has not taken yet.
    std::size_t unconsumedBytes = 0;
    /// Reading from the server is paused.
    bool isPaused = false;
};

} // namespace lovagecourse
