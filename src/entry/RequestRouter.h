#pragma once

#include "daemon/Daemon.h"
#include "entry/AgentLinks.h"
#include "entry/PendingRequest.h"

#include <functional>
#include <memory>

namespace lovagecourse {

/// Where answers go.
struct AnswerSink
{
    std::function<void(CallerId, int status, const HeaderList &, const std::string &body)> answer;
    std::function<void(CallerId, const Refusal &)> refuse;
    std::function<void(CallerId, int status, const HeaderList &)> beginStream;
    std::function<void(CallerId, std::string_view bytes)> sendData;
    std::function<void(CallerId)> endStream;
    std::function<void(CallerId)> abortStream;
};

/// Brings waiting requests to backend servers by offers and grants, and their answers back.
class RequestRouter
{
public:
    RequestRouter(Daemon &daemon, AgentLinks &links, AnswerSink sink);
    ~RequestRouter();
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter &operator=(const RequestRouter &) = delete;

    /// Takes a checked request; it gets an answer or a refusal later.
    void add(CallerRequest &&request, RequestDetails details);
    void onCallerLeft(CallerId caller);
    /// The caller's connection took bytes of a streamed answer.
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
