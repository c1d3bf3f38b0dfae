#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "placing/PromptPart.h"
#include "wire/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Decoded headers of a caller's request, without the headers that only the system may set.
struct ClientRequest
{
    /// Id that the caller gives each of its attempts; empty when it sent none.
    std::string attemptId;
    std::string host;
    /// Time that the caller waits for the answer; empty when it sent none.
    std::optional<milliseconds> callerTimeout;
    /// API key of the client account; empty when the caller sent none.
    std::string key;
    /// Requested model; empty for plain services.
    std::string model;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    /// The caller's estimate of the output tokens; 0 without one.
    double expectedOutputTokens = 0;
    std::vector<PromptPart> prompt;
    /// Id of the caller's attempt that brought the first event of the stream that this one takes
    /// up; empty when it takes up none.
    std::string resumes;
    /// Id of the last event that the caller has received; empty without one.
    std::string lastEventId;
    /// Headers that are forwarded to the server unchanged.
    HeaderList forwarded;
};

/// Values that the router adds to the caller's headers when it sends the request to a server.
struct ServerRequest
{
    AccountId account;
    /// Server that the request is meant for.
    ServerId expectedServer;
    /// Time that the server has for its answer.
    milliseconds remainingTime{0};
    /// Id of the last event that the caller received; empty unless a stream is resumed.
    std::string resumeAfter;
};

/// Load that a server reports in its answer headers.
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Duration of the server's work relative to its normal duration.
    double slowness = 1;
};

/// Decoded headers of a server's answer.
struct ServerAnswer
{
    /// Attempt id that the server returned; empty when it sent none.
    std::string attemptId;
    /// The server states that it did not run the request.
    bool notExecuted = false;
    /// The server's signature is present; it is not verified.
    bool isSigned = false;
    std::optional<ReportedLoad> load;
    /// The server states that it leaves.
    bool isLeaving = false;
    /// Of status 503: the server wants no request from this router for so long.
    std::optional<milliseconds> pause;
    /// Requests a second that the server takes from all routers together.
    std::optional<double> limitPerSecond;
    /// The server names a limit; true without limitPerSecond if it can't be read.
    bool namesLimit = false;
    /// Time for which the server says that it warms up.
    std::optional<milliseconds> warmingLeft;
    /// Headers that are forwarded to the caller unchanged.
    HeaderList forwarded;
};

/// Translates between the platform's headers and the types above.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    /// Decodes a caller's headers; their names must be in lower case.
    virtual ClientRequest decodeRequest(const HeaderList &headers) const = 0;
    /// Returns all headers of the request to the server.
    virtual HeaderList encodeRequest(const ClientRequest &client,
                                     const ServerRequest &server) const = 0;
    /// Returns whether the answer names the attempt that it belongs to.
    virtual bool namesAttempt(const HeaderList &headers) const = 0;
    virtual ServerAnswer decodeAnswer(int status, const HeaderList &headers) const = 0;
};

} // namespace lovagecourse
