#pragma once

#include "daemon/Daemon.h"
#include "entry/AgentLinks.h"
#include "entry/PendingRequest.h"

#include <functional>
#include <memory>

namespace lovagecourse {

/// Callbacks that send an answer or a refusal to a caller.
struct AnswerSink
{
    std::function<void(CallerId, int status, const HeaderList &, SharedBody body)> answer;
    std::function<void(CallerId, const Refusal &)> refuse;
    std::function<void(CallerId, int status, const HeaderList &)> beginStream;
    std::function<void(CallerId, std::string_view bytes)> sendData;
    std::function<void(CallerId)> endStream;
    std::function<void(CallerId)> abortStream;
    /// Ends what callers hold without progress until this many more bytes fit, if possible.
    std::function<void(std::size_t bytes)> relieveMemory;
};

/// Routes requests to backend servers: offers each request to several agents, sends it to the first
/// that grants the offer and forwards the answer. Retries and hedges within budgets. Each request
/// ends with an answer, a refusal or an aborted stream, unless its caller leaves.
class RequestRouter
{
public:
    RequestRouter(Daemon &daemon, AgentLinks &links, AnswerSink sink);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    /// Adds a validated request; the sink gets its answer or refusal, at once or later.
    void add(CallerRequest &&request, RequestDetails details);
    void onCallerLeft(CallerId caller);
    /// The caller's connection consumed bytes of a streamed answer; gives the server new credit.
    void onConsumed(CallerId caller, std::size_t bytes);
    void onAgentState(const ServerId &server);
    void onAgentDown(const ServerId &server);
    void onAgentMessage(const ServerId &server, Message &&message);
    std::size_t openRequests() const;
    void fillStatus(nlohmann::json &page) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
