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

/// One attempt: a request sent to one server, and its answer so far.
struct DirectAttempt
{
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
    bool hasHead = false;
    bool hasBodyBytes = false;
    /// Not sent, because the server had begun to leave when the connection was ready.
    bool isWithdrawn = false;
    /// The answer has the wrong attempt id, no signature or no end.
    bool isInvalid = false;
    AnswerEvidence evidence;
    /// End of the answer's connection, while the server is checked.
    TimePoint endedAt;
    EventStreamSplitter splitter;
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
    std::chrono::nanoseconds waitedUnread{0};
    /// Arrival minus waitedUnread plus the lesser of the route's timeout and the caller's timeout
    /// with deadlineSlack.
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
    std::unique_ptr<DirectAttempt> attempt;
    /// Error answer of an earlier attempt; sent to the caller when no retry succeeds.
    std::unique_ptr<DirectAttempt> failedAnswer;

    /// The status and headers of a streamed answer were sent to the caller.
    bool isStreaming = false;
    /// Events that were forwarded to the caller.
    EventSequence events;
    /// Streamed bytes that the caller's connection has not taken yet.
    std::size_t unconsumedBytes = 0;
    /// Reading from the server is paused.
    bool isPaused = false;
};

} // namespace lovagecourse
