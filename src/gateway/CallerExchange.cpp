#include "gateway/GatewayImpl.h"
#include "gateway/Problem.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace lovagecourse {

namespace {

// A body over the limit is read and discarded up to this many times the limit: closing a connection
// with unread bytes resets it, and the caller may lose the 413 answer.
constexpr std::size_t discardFactor = 16;

std::string toLower(std::string_view text)
{
    std::string lower(text);
    for (char &letter : lower)
        if (letter >= 'A' && letter <= 'Z')
            letter = static_cast<char>(letter - 'A' + 'a');
    return lower;
}

} // namespace

void *HttpGateway::Impl::onRequestLine(void *self, const char *uri, MHD_Connection *connection)
{
    auto &impl = *static_cast<Impl *>(self);
    auto exchange = std::make_unique<Exchange>();
    exchange->gateway = &impl;
    exchange->connection = connection;
    exchange->request.id = CallerId(++impl.lastCaller);
    // The target as sent by the caller; the path that libmicrohttpd passes is percent-decoded.
    const std::string_view target(uri);
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    exchange->request.path = target.substr(0, queryStart);
    exchange->request.query = target.substr(queryStart);
    Exchange *raw = exchange.get();
    impl.exchanges.emplace(raw->request.id, std::move(exchange));
    return raw;
}

MHD_Result HttpGateway::Impl::onAccess(void *self, MHD_Connection *, const char *,
                                       const char *method, const char *, const char *body,
                                       std::size_t *bodyBytes, void **context)
{
    auto &impl = *static_cast<Impl *>(self);
    auto &exchange = *static_cast<Exchange *>(*context);
    if (impl.stopping)
        return MHD_NO;
    if (!exchange.headersReceived)
        return impl.receiveHeaders(exchange, method);
    if (*bodyBytes > 0) {
        impl.receiveBody(exchange, std::string_view(body, *bodyBytes));
        *bodyBytes = 0;
        const bool exceedsDiscardLimit =
                exchange.bodyBytes > discardFactor * impl.limits.maxBodyBytes;
        return exceedsDiscardLimit ? MHD_NO : MHD_YES;
    }
    return impl.finishRequest(exchange);
}

MHD_Result HttpGateway::Impl::onHeader(void *context, MHD_ValueKind, const char *name,
                                       const char *value)
{
    auto &exchange = *static_cast<Exchange *>(context);
    const char *text = value ? value : "";
    exchange.headerBytes += std::strlen(name) + std::strlen(text);
    exchange.request.headers.emplace_back(toLower(name), text);
    return MHD_YES;
}

MHD_Result HttpGateway::Impl::receiveHeaders(Exchange &exchange, const char *method)
{
    exchange.headersReceived = true;
    exchange.request.method = method;
    exchange.headerBytes = exchange.request.path.size() + exchange.request.query.size();
    MHD_get_connection_values(exchange.connection, MHD_HEADER_KIND, &Impl::onHeader, &exchange);
    if (exchange.headerBytes > limits.maxHeaderBytes) {
        prepareRefusal(exchange, Refusal{RefusalReason::MalformedRequest, Ran::No});
        return queueAnswer(exchange);
    }
    std::size_t declaredLength = 0;
    std::size_t lengthHeaders = 0;
    bool expectsContinue = false;
    for (const auto &[name, value] : exchange.request.headers) {
        if (name == "content-length")
            std::from_chars(value.data(), value.data() + value.size(), declaredLength);
        expectsContinue = expectsContinue || name == "expect";
        lengthHeaders += name == "content-length" || name == "transfer-encoding" ? 1 : 0;
    }
    if (lengthHeaders > 1) {
        // Prevents request smuggling: another HTTP parser could end the body elsewhere and parse
        // the rest as a request.
        exchange.hasAmbiguousLength = true;
        prepareRefusal(exchange, Refusal{RefusalReason::MalformedRequest, Ran::No});
        return queueAnswer(exchange);
    }
    exchange.bodyTooLarge = declaredLength > limits.maxBodyBytes;
    const bool answerNow = expectsContinue || declaredLength > discardFactor * limits.maxBodyBytes;
    if (!exchange.bodyTooLarge || !answerNow)
        return MHD_YES;
    prepareRefusal(exchange, Refusal{RefusalReason::BodyTooLarge, Ran::No});
    return queueAnswer(exchange);
}

void HttpGateway::Impl::receiveBody(Exchange &exchange, std::string_view bytes)
{
    exchange.bodyBytes += bytes.size();
    exchange.bodyTooLarge = exchange.bodyTooLarge || exchange.bodyBytes > limits.maxBodyBytes;
    if (exchange.bodyTooLarge)
        std::string().swap(exchange.request.body);
    else
        exchange.request.body.append(bytes);
}

MHD_Result HttpGateway::Impl::finishRequest(Exchange &exchange)
{
    if (exchange.callerLeft || (exchange.answerAborted && !exchange.responseQueued))
        return MHD_NO;
    if (exchange.response)
        return queueAnswer(exchange);
    if (exchange.bodyTooLarge) {
        prepareRefusal(exchange, Refusal{RefusalReason::BodyTooLarge, Ran::No});
        return queueAnswer(exchange);
    }
    if (!exchange.requestDelivered) {
        exchange.requestDelivered = true;
        metrics.count("lovagecourse_caller_requests_total");
        const MHD_ConnectionInfo *info =
                MHD_get_connection_info(exchange.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        // The caller may have disconnected while the request waited in the socket buffer.
        if (limits.dropHalfClosed && hasPeerClosed(info->connect_fd)) {
            metrics.count("lovagecourse_callers_left_unread_total");
            exchange.callerLeft = true;
            return MHD_NO;
        }
        peerCloseWatcher.add(exchange.request.id.value, info->connect_fd);
        CallerRequest request = std::move(exchange.request);
        exchange.request.id = request.id;
        exchange.request.method = request.method;
        events.emplace_back(std::move(request));
    }
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    return MHD_YES;
}

MHD_Result HttpGateway::Impl::queueAnswer(Exchange &exchange)
{
    const MHD_Result result = MHD_queue_response(
            exchange.connection, static_cast<unsigned>(exchange.status), exchange.response);
    exchange.responseQueued = true;
    MHD_destroy_response(exchange.response);
    exchange.response = nullptr;
    return result;
}

ssize_t HttpGateway::Impl::onRead(void *context, std::uint64_t, char *buffer, std::size_t size)
{
    auto &exchange = *static_cast<Exchange *>(context);
    return exchange.gateway->readUnsent(exchange, buffer, size);
}

ssize_t HttpGateway::Impl::readUnsent(Exchange &exchange, char *buffer, std::size_t size)
{
    if (exchange.answerAborted || exchange.callerLeft || stopping)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::size_t count = std::min(size, exchange.unsent.size() - exchange.unsentOffset);
    if (count > 0) {
        exchange.unsent.copy(buffer, count, exchange.unsentOffset);
        exchange.unsentOffset += count;
        if (exchange.unsentOffset == exchange.unsent.size()) {
            exchange.unsent.clear();
            exchange.unsentOffset = 0;
        }
        events.emplace_back(Consumed{exchange.request.id, count});
        return static_cast<ssize_t>(count);
    }
    if (exchange.answerEnded)
        return MHD_CONTENT_READER_END_OF_STREAM;
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    return 0;
}

void HttpGateway::Impl::onCompleted(void *self, MHD_Connection *, void **context,
                                    MHD_RequestTerminationCode)
{
    auto &impl = *static_cast<Impl *>(self);
    auto *exchange = static_cast<Exchange *>(*context);
    *context = nullptr;
    if (!exchange)
        return;
    impl.peerCloseWatcher.remove(exchange->request.id.value);
    if (exchange->response)
        MHD_destroy_response(exchange->response);
    if (exchange->requestDelivered && !exchange->answerEnded && !exchange->callerLeft)
        impl.events.emplace_back(CallerLeft{exchange->request.id});
    impl.exchanges.erase(exchange->request.id);
}

void HttpGateway::Impl::prepareRefusal(Exchange &exchange, const Refusal &refusal)
{
    metrics.count("lovagecourse_caller_requests_total");
    prepareAnswer(exchange, httpStatus(refusal.reason), {{"content-type", problemMediaType}},
                  makeProblemBody(refusal));
    metrics.count("lovagecourse_refusals_total", toString(refusal.reason));
}

void HttpGateway::Impl::onPeerClosed(CallerId caller)
{
    Exchange *exchange = find(caller);
    // The end of the answer may still be in transmission to a caller that closed only its sending
    // side.
    if (!exchange || exchange->answerEnded)
        return;
    exchange->callerLeft = true;
    events.emplace_back(CallerLeft{caller});
    resume(*exchange);
    scheduleRun();
}

} // namespace lovagecourse
