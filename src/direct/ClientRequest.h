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

/// What a caller's headers say, without the headers that only the system may set.
struct ClientRequest
{
    /// Unique for each attempt of a caller; empty when the caller sent none.
    std::string attemptId;
    std::string host;
    /// Time that the caller will wait; empty when it gave none.
    std::optional<milliseconds> patience;
    /// Key of the client account; empty when there is none.
    std::string key;
    /// Model that is asked for; empty for plain services.
    std::string model;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    /// Sent to the server as they came.
    HeaderList forwarded;
};

/// What the system tells a server beside the caller's own headers.
struct ServerRequest
{
    AccountId account;
    ServerId expectedServer;
    milliseconds timeLeft{0};
    /// Event after which a resumed stream goes on; empty for the first attempt.
    std::string resumeAfter;
};

/// Load as a server reported it with an answer.
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Duration of work relative to the usual one.
    double slowness = 1;
};

/// What the headers of a server's answer say.
struct ServerAnswer
{
    /// Attempt that the answer belongs to; empty when the server named none.
    std::string attemptId;
    /// The server states that it did not run the request.
    bool notExecuted = false;
    /// The server's signature is there.
    bool isSigned = false;
    std::optional<ReportedLoad> load;
    /// Sent to the caller as they came.
    HeaderList forwarded;
};

/// Translates between the platform's headers and the types above.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    /// Names in lower case.
    virtual ClientRequest decodeRequest(const HeaderList &headers) const = 0;
    /// All headers that the server gets.
    virtual HeaderList encodeRequest(const ClientRequest &client,
                                     const ServerRequest &server) const = 0;
    virtual ServerAnswer decodeAnswer(int status, const HeaderList &headers) const = 0;
    /// Id of the last whole event in a piece of an event stream; empty when there is none.
    virtual std::string lastEventId(std::string_view events) const = 0;
};

} // namespace lovagecourse
