#include "backend/BackendRequest.h"

#include <curl/curl.h>

namespace lovagecourse {

BackendRequest::BackendRequest(HttpClient &http, const HttpRequest &request,
                               std::uint64_t resumeFromEvent, std::uint32_t credit,
                               Handlers handlers)
    : http_(http)
    , handlers_(std::move(handlers))
    , nextEvent_(resumeFromEvent)
    , credit_(credit)
{
    HttpClient::Handlers transferHandlers;
    transferHandlers.onConnected = [this] {
        if (handlers_.onConnected)
            handlers_.onConnected();
        return true;
    };
    transferHandlers.onHead = [this](const HttpHead &head) {
        isEventStream_ = isEventStream(head.headers);
        endsWithConnection_ = head.framing == BodyFraming::ConnectionEnd;
        handlers_.onHead(head.status, head.headers);
    };
    transferHandlers.onData = [this](std::string_view bytes) { onData(bytes); };
    transferHandlers.onDone = [this](const std::optional<HttpFailure> &failure) {
        onDone(failure);
    };
    transfer_ = http_.start(request, std::move(transferHandlers));
}

BackendRequest::~BackendRequest()
{
    if (!ended_)
        http_.cancel(transfer_);
}

void BackendRequest::addCredit(std::uint32_t bytes)
{
    const bool wasPaused = credit_ <= 0;
    credit_ += bytes;
    if (wasPaused && credit_ > 0)
        http_.resume(transfer_);
}

void BackendRequest::onData(std::string_view bytes)
{
    credit_ -= static_cast<std::int64_t>(bytes.size());
    if (credit_ <= 0)
        http_.pause(transfer_);
    AnswerPart part;
    if (!isEventStream_) {
        part.bytes = std::string(bytes);
    } else {
        CompleteEvents events = splitter_.append(bytes);
        if (events.count == 0)
            return;
        receivedDone_ = events.done;
        part.firstEvent = nextEvent_;
        part.eventCount = events.count;
        part.isDone = events.done;
        part.bytes = std::move(events.bytes);
        nextEvent_ += part.eventCount;
    }
    handlers_.onPart(std::move(part));
}

void BackendRequest::onDone(const std::optional<HttpFailure> &failure)
{
    ended_ = true;
    BackendOutcome outcome = BackendOutcome::Complete;
    if (failure && !failure->maybeSent)
        outcome = BackendOutcome::NotSent;
    else if (failure && failure->curlCode == CURLE_OPERATION_TIMEDOUT)
        outcome = BackendOutcome::TimedOut;
    else if (failure || (isEventStream_ && !receivedDone_))
        outcome = BackendOutcome::Broken;
    else if (endsWithConnection_ && !isEventStream_)
        outcome = BackendOutcome::Unproven;
    // The handler may destroy this object.
    const auto onEnd = handlers_.onEnd;
    onEnd(outcome);
}

} // namespace lovagecourse
