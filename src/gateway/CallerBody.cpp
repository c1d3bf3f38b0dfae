#include "core/Log.h"
#include "gateway/GatewayImpl.h"
#include "gateway/PressureDecision.h"
#include "gateway/Problem.h"

#include <sys/socket.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Closed when a reservation finds no memory, once per interval; each has buffers of up to 48 KB.
constexpr std::size_t idleConnectionsPerShortage = 16;
constexpr seconds idleCloseInterval{1};

int descriptorOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

std::size_t roundUpToStep(std::size_t bytes)
{
    return (bytes + progressStep - 1) / progressStep * progressStep;
}

/// Complete message that rejects a request before its body has ended.
std::string rejectionText(CallerId caller, RefusalReason reason, bool hasBody)
{
    const auto status = static_cast<unsigned>(httpStatus(reason));
    const std::string body = makeProblemBody(Refusal{reason, Ran::No});
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += MHD_get_reason_phrase_for(status);
    text += "\r\nContent-Type: ";
    text += problemMediaType;
    text += "\r\nConnection: close\r\n";
    if (reason == RefusalReason::MemoryShort)
        text += "Retry-After: " + memoryRetryAfter(caller) + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return hasBody ? text + body : text;
}

} // namespace

std::string memoryRetryAfter(CallerId caller)
{
    constexpr std::uint64_t minMs = 1000;
    constexpr std::uint64_t stepMs = 64;
    constexpr std::uint64_t steps = 16;
    const std::uint64_t millis = minMs + caller.value % steps * stepMs;
    return std::to_string(millis / 1000) + '.' + std::to_string(1000 + millis % 1000).substr(1);
}

/// Decides whether a body is read, before any byte of it is.
MHD_Result HttpGateway::Impl::beginBody(Exchange &exchange, std::size_t announcedBytes,
                                        bool expectsContinue)
{
    exchange.announcedBodyBytes = announcedBytes;
    exchange.maxBodyBytes = limits.maxBodyBytes;
    exchange.bodyMemory = MemoryReservation(limits.memory, MemoryHolder::RequestBodies);
    exchange.lastProgress = std::chrono::steady_clock::now();
    BodyAdmissionInput input{announcedBytes, limits.maxBodyBytes, true};
    if (limits.memory && announcedBytes > 0 && announcedBytes <= limits.maxBodyBytes) {
        input.fits = !exceedsAddressShare(exchange, announcedBytes);
        if (input.fits) {
            relieveMemory(announcedBytes, announcedBytes, &exchange);
            input.fits = limits.memory->fits(announcedBytes, announcedBytes);
        }
    }
    const BodyAdmission admission = decideBodyAdmission(input);
    if (admission == BodyAdmission::Read)
        return MHD_YES;
    if (admission == BodyAdmission::NoMemory)
        noteMemoryRefused(exchange);
    const RefusalReason reason = admission == BodyAdmission::TooLarge ? RefusalReason::BodyTooLarge
                                                                      : RefusalReason::MemoryShort;
    if (!expectsContinue) {
        rejectBody(exchange, reason);
        return MHD_YES;
    }
    // The caller waits for this answer before it sends the body.
    prepareRefusal(exchange, Refusal{reason, Ran::No});
    return queueAnswer(exchange);
}

MHD_Result HttpGateway::Impl::receiveBody(Exchange &exchange, std::string_view bytes)
{
    if (exchange.isBodyRejected) {
        // Closing a connection with unread bytes resets it, and the caller may lose the rejection.
        exchange.discardedBytes += bytes.size();
        return exchange.discardedBytes > exchange.maxBodyBytes ? MHD_NO : MHD_YES;
    }
    exchange.bodyBytes += bytes.size();
    if (exchange.bodyBytes > exchange.maxBodyBytes)
        rejectBody(exchange, RefusalReason::BodyTooLarge);
    else if (reserveBody(exchange))
        exchange.body.append(bytes);
    else {
        noteMemoryRefused(exchange);
        rejectBody(exchange, RefusalReason::MemoryShort);
    }
    return MHD_YES;
}

/// Reserves memory for the received bytes; false if there is none.
bool HttpGateway::Impl::reserveBody(Exchange &exchange)
{
    if (exchange.bodyBytes > exchange.bodyMemory.bytes()) {
        exchange.lastProgress = std::chrono::steady_clock::now();
        std::size_t bytes = std::min(roundUpToStep(exchange.bodyBytes), exchange.maxBodyBytes);
        if (exchange.announcedBodyBytes >= exchange.bodyBytes)
            bytes = std::min(bytes, exchange.announcedBodyBytes);
        if (exceedsAddressShare(exchange, bytes - exchange.bodyMemory.bytes()))
            return false;
        if (exchange.bodyMemory.growTo(bytes) == ReserveResult::Full) {
            relieveMemory(bytes, bytes - exchange.bodyMemory.bytes(), &exchange);
            if (exchange.bodyMemory.growTo(bytes) == ReserveResult::Full)
                return false;
        }
    }
    if (exchange.body.capacity() < exchange.bodyBytes) {
        // Growth by doubling would hold a large body twice. Pages that are not written to yet take
        // no memory.
        if (exchange.announcedBodyBytes >= exchange.bodyBytes)
            exchange.body.reserve(exchange.announcedBodyBytes);
        else if (exchange.bodyBytes > maxSmallReservation)
            exchange.body.reserve(exchange.maxBodyBytes);
    }
    return true;
}

/// Sends the rejection at once, although the body has not ended: libmicrohttpd can't answer while a
/// body arrives. The handlers never see the request.
void HttpGateway::Impl::rejectBody(Exchange &exchange, RefusalReason reason)
{
    exchange.isBodyRejected = true;
    std::string().swap(exchange.body);
    exchange.bodyMemory.release();
    const int descriptor = descriptorOf(exchange.connection);
    const std::string text = rejectionText(exchange.request.id, reason,
                                           exchange.request.method != MHD_HTTP_METHOD_HEAD);
    const ssize_t sent = send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(descriptor, SHUT_WR);
    metrics.count("lovagecourse_caller_requests_total");
    metrics.count("lovagecourse_refusals_total", toString(reason));
    metrics.count("lovagecourse_bodies_rejected_total", toString(reason));
    logInfo(LogPart::Gateway, "event=body-rejected reason=", toString(reason),
            " received=", exchange.bodyBytes, " announced=", exchange.announcedBodyBytes,
            " answered=", sent == static_cast<ssize_t>(text.size()),
            " memory_used=", limits.memory ? limits.memory->used() : 0);
}

/// Ends an answer that its caller does not read.
void HttpGateway::Impl::endUnreadAnswer(Exchange &exchange)
{
    metrics.count("lovagecourse_answers_aborted_total", "unread");
    logInfo(LogPart::Gateway, "event=answer-aborted reason=unread stream=", exchange.streaming,
            " bytes=", exchange.answerBody.size() + exchange.unsentMemory.bytes(),
            " read=", exchange.answerBytesRead,
            " memory_used=", limits.memory ? limits.memory->used() : 0);
    exchange.answerBody = SharedBody();
    std::string().swap(exchange.unsent);
    exchange.unsentOffset = 0;
    exchange.unsentMemory.release();
    exchange.answerAborted = true;
    // libmicrohttpd then closes the connection.
    shutdown(descriptorOf(exchange.connection), SHUT_RDWR);
}

/// Ends streams that their callers have not read for too long: each keeps a server's slot.
void HttpGateway::Impl::endUnreadStreams()
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (const auto &[caller, exchange] : exchanges) {
        const bool isUnread = !exchange->unsent.empty() && !exchange->answerAborted
                              && now - exchange->lastProgress > limits.maxUnreadTime;
        if (isUnread)
            endUnreadAnswer(*exchange);
    }
}

/// Ends bodies and answers without progress until a reservation fits.
void HttpGateway::Impl::relieveMemory(std::size_t reservationBytes, std::size_t additionalBytes,
                                      const Exchange *except)
{
    if (!limits.memory || limits.memory->fits(reservationBytes, additionalBytes))
        return;
    const TimePoint now = std::chrono::steady_clock::now();
    // The buffers of idle connections are not in the account, so closing them only makes room for
    // the rest of the process.
    if (now - idleClosedAt >= idleCloseInterval) {
        idleClosedAt = now;
        closeQuietConnections(idleConnectionsPerShortage);
    }
    std::vector<HeldBytes> held;
    std::vector<Exchange *> holders;
    for (const auto &[caller, exchange] : exchanges) {
        const bool isBody = exchange->bodyMemory.bytes() > 0;
        const std::size_t bytes =
                isBody ? exchange->bodyMemory.bytes()
                       : exchange->answerBody.size() + exchange->unsentMemory.bytes();
        if (bytes == 0 || exchange.get() == except)
            continue;
        held.push_back({isBody ? HeldBytes::Kind::ArrivingBody : HeldBytes::Kind::UnreadAnswer,
                        bytes, now - exchange->lastProgress});
        holders.push_back(exchange.get());
    }
    while (!limits.memory->fits(reservationBytes, additionalBytes)) {
        const auto chosen = chooseHeldBytesToEnd(held);
        if (!chosen)
            break;
        held[*chosen].bytes = 0;
        endHeldBytes(*holders[*chosen]);
    }
    if (except)
        cutAddresses(reservationBytes, additionalBytes, *except);
}

void HttpGateway::Impl::endHeldBytes(Exchange &exchange)
{
    if (exchange.bodyMemory.bytes() > 0)
        rejectBody(exchange, RefusalReason::MemoryShort);
    else
        endUnreadAnswer(exchange);
}

/// Records that the caller's address finds no memory, so that others are held to their share. An
/// address that exceeds its own share does not count.
void HttpGateway::Impl::noteMemoryRefused(const Exchange &exchange)
{
    if (!limits.memory)
        return;
    const std::size_t wanted = std::max(exchange.announcedBodyBytes, progressStep);
    const std::size_t additional = wanted - std::min(wanted, exchange.bodyMemory.bytes());
    if (exceedsShare(heldByAddress(), exchange.address, additional, boundOfAddress()))
        return;
    lastRefusedAddress = exchange.address;
    lastRefusedAt = std::chrono::steady_clock::now();
}

std::size_t HttpGateway::Impl::boundOfAddress() const
{
    return addressBound(limits.memory->limits().totalBytes, limits.addressMemoryPercent,
                        limits.maxBodyBytes);
}

std::vector<AddressBytes> HttpGateway::Impl::heldByAddress() const
{
    std::vector<AddressBytes> held;
    held.reserve(exchanges.size());
    for (const auto &[caller, exchange] : exchanges)
        held.push_back({exchange->address, exchange->heldBytes(), !exchange->requestDelivered});
    return held;
}

/// Returns whether the caller's address would hold more than its bound while another one is refused
/// memory.
bool HttpGateway::Impl::exceedsAddressShare(const Exchange &exchange,
                                            std::size_t additionalBytes) const
{
    // A refused caller comes back after 1 to 2 s.
    constexpr seconds wantedTime{5};
    const bool othersWantMemory = limits.memory && limits.memory->isUnderPressure() && lastRefusedAt
                                  && lastRefusedAddress != exchange.address
                                  && std::chrono::steady_clock::now() - *lastRefusedAt < wantedTime;
    return othersWantMemory
           && exceedsShare(heldByAddress(), exchange.address, additionalBytes, boundOfAddress());
}

/// Ends arriving bodies of addresses over their bound, until a reservation of another one fits.
void HttpGateway::Impl::cutAddresses(std::size_t reservationBytes, std::size_t additionalBytes,
                                     const Exchange &wanting)
{
    if (limits.memory->fits(reservationBytes, additionalBytes))
        return;
    // Otherwise an address that is cut could take the memory again at once.
    noteMemoryRefused(wanting);
    std::vector<AddressBytes> held = heldByAddress();
    std::vector<Exchange *> holders;
    for (const auto &[caller, exchange] : exchanges)
        holders.push_back(exchange.get());
    while (!limits.memory->fits(reservationBytes, additionalBytes)) {
        const auto chosen = chooseOverShare(held, wanting.address, boundOfAddress());
        if (!chosen)
            return;
        held[*chosen].bytes = 0;
        metrics.count("lovagecourse_address_cuts_total");
        endHeldBytes(*holders[*chosen]);
    }
}

ssize_t HttpGateway::Impl::onReadWhole(void *context, std::uint64_t position, char *buffer,
                                       std::size_t size)
{
    auto &exchange = *static_cast<Exchange *>(context);
    return exchange.gateway->readWhole(exchange, position, buffer, size);
}

ssize_t HttpGateway::Impl::readWhole(Exchange &exchange, std::size_t position, char *buffer,
                                     std::size_t size)
{
    if (exchange.answerAborted || stopping)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::string &body = exchange.answerBody.str();
    const std::size_t count = body.copy(buffer, size, position);
    exchange.answerBytesRead = position + count;
    exchange.lastProgress = std::chrono::steady_clock::now();
    return count > 0 ? static_cast<ssize_t>(count) : MHD_CONTENT_READER_END_OF_STREAM;
}

} // namespace lovagecourse
