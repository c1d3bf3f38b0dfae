#pragma once

#include "backend/EventStreamSplitter.h"
#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/ServerPool.h"
#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"
#include "placing/Admission.h"
#include "placing/FairShares.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lovagecourse {

/// One send of a request to one server.
struct DirectAttempt
{
    Placement placement;
    SendNumber number = 0;
    HttpTransferId transfer;
    TimePoint sentAt;
    /// Time that this process may add before it sends, as far as known.
    std::chrono::nanoseconds sendDelay{0};
    int status = 0;
    ServerAnswer answer;
    /// Body of an answer that is not streamed.
    std::string body;
    bool hasHead = false;
    bool hasBytes = false;
    /// The answer can't be the right one: wrong id or no signature.
    bool isGarbled = false;
    bool isEventStream = false;
    EventStreamSplitter splitter;
};

/// One caller's request on its way.
struct DirectExchange
{
    CallerId caller;
    CallerRequest request;
    ClientRequest client;
    /// Keeps the route alive.
    std::shared_ptr<const DirectConfiguration> configuration;
    const Route *route = nullptr;
    ServiceId service;
    AccountId account;
    AccountHash accountHash = 0;
    std::vector<PromptPrefix> prompt;
    double costTokens = 0;
    TimePoint arrived;
    /// The caller or the route gives up then.
    TimePoint deadline;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> stallTimer;

    /// Servers that got it or could not be reached.
    std::set<ServerId> tried;
    unsigned sends = 0;
    /// What the admission was decided on, and the number of servers that were compared.
    AdmissionInput decision;
    std::size_t candidates = 0;
    /// Time from arrival to the first byte of an answer; 0 when none began.
    double firstByteMs = 0;
    /// What the last attempt was predicted to take to its first byte.
    double predictedMs = 0;
    /// Some server may have begun to run it.
    bool mayHaveRun = false;
    std::unique_ptr<DirectAttempt> attempt;
    /// Failure answer of an earlier attempt, given to the caller when no other succeeds.
    std::unique_ptr<DirectAttempt> failedAnswer;

    /// The caller has the head of a streamed answer.
    bool isStreaming = false;
    std::string lastEventId;
    std::size_t unconsumed = 0;
    bool isPaused = false;
};

} // namespace lovagecourse
