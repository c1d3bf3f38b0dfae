#include "core/Ascii.h"
#include "gateway/GatewayImpl.h"
#include "gateway/Problem.h"
#include "gateway/RequestHead.h"

#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace lovagecourse {

namespace {

// libmicrohttpd keeps seven words for each header line in the connection's pool, aligned to two
// words.
constexpr std::size_t poolBytesPerField = 8 * sizeof(void *);
// A head is kept as it was received, as it is forwarded, and as libcurl's list of lines.
constexpr std::size_t headCopies = 3;
// Strings and list entries of one field in these copies.
constexpr std::size_t fieldOverheadBytes = 256;
// Larger heads share a part of the memory and are refused beyond it.
constexpr std::size_t usualHeadBytes = 16U << 10;
constexpr std::size_t headMemoryDivisor = 4;

ClientAddress addressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (!info || !info->client_addr || info->client_addr->sa_family != AF_INET)
        return 0;
    sockaddr_in address{};
    std::memcpy(&address, info->client_addr, sizeof(address));
    return address.sin_addr.s_addr;
}

} // namespace

void *HttpGateway::Impl::onRequestLine(void *self, const char *uri, MHD_Connection *connection)
{
    auto &impl = *static_cast<Impl *>(self);
    auto exchange = std::make_unique<Exchange>();
    impl.quietConnections.remove(connection);
    exchange->gateway = &impl;
    exchange->connection = connection;
    exchange->address = addressOf(connection);
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
                                       const char *method, const char *version, const char *body,
                                       std::size_t *bodyBytes, void **context)
{
    auto &impl = *static_cast<Impl *>(self);
    auto &exchange = *static_cast<Exchange *>(*context);
    if (impl.stopping)
        return MHD_NO;
    if (!exchange.headersReceived)
        return impl.receiveHeaders(exchange, method, version);
    if (*bodyBytes > 0) {
        const std::string_view bytes(body, *bodyBytes);
        *bodyBytes = 0;
        return impl.receiveBody(exchange, bytes);
    }
    return impl.finishRequest(exchange);
}

MHD_Result HttpGateway::Impl::onHeader(void *context, MHD_ValueKind, const char *name,
                                       std::size_t nameBytes, const char *value,
                                       std::size_t valueBytes)
{
    auto &head = *static_cast<RequestHead *>(context);
    head.fields.emplace_back(std::string_view(name, nameBytes),
                             value ? std::string_view(value, valueBytes) : std::string_view());
    return MHD_YES;
}

/// Reserves memory for the head. Returns false if it is larger than usual and such heads take their
/// part of the memory already.
bool HttpGateway::Impl::reserveHead(Exchange &exchange, std::size_t fields)
{
    exchange.headMemory = MemoryReservation(limits.memory, MemoryHolder::RequestHeads);
    const std::size_t bytes = headCopies * exchange.headerBytes + fields * fieldOverheadBytes;
    if (limits.memory && bytes > usualHeadBytes) {
        const std::size_t mostBytes = limits.memory->limits().totalBytes / headMemoryDivisor;
        return limits.memory->used(MemoryHolder::RequestHeads) + bytes <= mostBytes
               && exchange.headMemory.growTo(bytes) == ReserveResult::Reserved;
    }
    exchange.headMemory.resize(bytes);
    return true;
}

MHD_Result HttpGateway::Impl::receiveHeaders(Exchange &exchange, const char *method,
                                             const char *version)
{
    exchange.headersReceived = true;
    CallerRequest &request = exchange.request;
    request.method = method;
    const std::string target = request.path + request.query;
    const MHD_ConnectionInfo *size =
            MHD_get_connection_info(exchange.connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    RequestHead head;
    head.bytes = std::string_view(method, size ? size->header_size : 0);
    head.method = method;
    head.target = target;
    head.version = version;
    MHD_get_connection_values_n(exchange.connection, MHD_HEADER_KIND, &Impl::onHeader, &head);
    exchange.headPoolBytes = head.bytes.size() + head.fields.size() * poolBytesPerField;
    exchange.headerBytes = target.size();
    for (const auto &[name, value] : head.fields)
        exchange.headerBytes += name.size() + value.size();
    if (exchange.headerBytes > limits.maxHeaderBytes) {
        // Its framing was not checked.
        return rejectMalformed(exchange);
    }
    if (!reserveHead(exchange, head.fields.size())) {
        noteMemoryRefused(exchange);
        rejectBody(exchange, RefusalReason::MemoryShort);
        return MHD_YES;
    }
    for (const auto &[name, value] : head.fields)
        request.headers.emplace_back(toLower(name), value);
    auto fault = findFault(head);
    RequestStream *stream = streamOf(exchange.connection);
    if (!fault && (!stream || stream->takeHead() != head.bytes.size()))
        fault = HeadFault::Layout;
    if (fault) {
        metrics.count("lovagecourse_malformed_heads_total", toString(*fault));
        return rejectMalformed(exchange);
    }
    std::size_t declaredLength = 0;
    bool expectsContinue = false;
    for (const auto &[name, value] : request.headers) {
        if (name == "content-length")
            std::from_chars(value.data(), value.data() + value.size(), declaredLength);
        expectsContinue = expectsContinue || name == "expect";
    }
    return beginBody(exchange, declaredLength, expectsContinue);
}

/// Rejects a request of which it is uncertain where it ends.
MHD_Result HttpGateway::Impl::rejectMalformed(Exchange &exchange)
{
    exchange.isMalformed = true;
    prepareRefusal(exchange, Refusal{RefusalReason::MalformedRequest, Ran::No});
    return queueAnswer(exchange);
}

/// Returns what was received on the connection; null if that is unknown.
RequestStream *HttpGateway::Impl::streamOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const auto found = info ? streams.find(info->connect_fd) : streams.end();
    return found == streams.end() ? nullptr : &found->second;
}

MHD_Result HttpGateway::Impl::finishRequest(Exchange &exchange)
{
    if (exchange.isBodyRejected || exchange.callerLeft
        || (exchange.answerAborted && !exchange.responseQueued))
        return MHD_NO;
    if (exchange.response)
        return queueAnswer(exchange);
    if (!exchange.requestDelivered) {
        const RequestStream *stream = streamOf(exchange.connection);
        if (!stream || !stream->isBodyComplete()) {
            metrics.count("lovagecourse_malformed_heads_total", toString(HeadFault::Framing));
            return rejectMalformed(exchange);
        }
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
        exchange.bodyMemory.resize(exchange.body.size());
        exchange.deliveredBytes = exchange.body.size();
        CallerRequest request = std::move(exchange.request);
        request.body = SharedBody(std::move(exchange.body), std::move(exchange.bodyMemory));
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
        exchange.lastProgress = std::chrono::steady_clock::now();
        if (exchange.unsentOffset == exchange.unsent.size()) {
            // Keeps no capacity that the memory account does not count.
            std::string().swap(exchange.unsent);
            exchange.unsentOffset = 0;
        }
        exchange.unsentMemory.resize(exchange.unsent.size() - exchange.unsentOffset);
        events.emplace_back(Consumed{exchange.request.id, count});
        return static_cast<ssize_t>(count);
    }
    if (exchange.answerEnded)
        return MHD_CONTENT_READER_END_OF_STREAM;
    exchange.suspended = true;
    MHD_suspend_connection(exchange.connection);
    return 0;
}

void HttpGateway::Impl::onCompleted(void *self, MHD_Connection *connection, void **context,
                                    MHD_RequestTerminationCode code)
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
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
        impl.quietConnections.addIdle(connection, std::chrono::steady_clock::now());
}

void HttpGateway::Impl::prepareRefusal(Exchange &exchange, const Refusal &refusal)
{
    metrics.count("lovagecourse_caller_requests_total");
    HeaderList headers{{"content-type", problemMediaType}};
    if (refusal.reason == RefusalReason::MemoryShort) {
        headers.emplace_back("retry-after", memoryRetryAfter(exchange.request.id));
        headers.emplace_back("connection", "close");
    }
    prepareAnswer(exchange, httpStatus(refusal.reason), headers, makeProblemBody(refusal));
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
