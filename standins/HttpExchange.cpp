#include "HttpExchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace lovagecourse {

HttpExchange::HttpExchange(MHD_Connection *connection, std::string method, std::string path)
    : connection_(connection)
    , method_(std::move(method))
    , path_(std::move(path))
{}

std::string HttpExchange::header(const char *name) const
{
    if (connection_ == nullptr)
        return {};
    const char *value = MHD_lookup_connection_value(connection_, MHD_HEADER_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

void HttpExchange::respond(int status, std::string body, std::string contentType)
{
    if (state_ != State::Open)
        return;
    state_ = State::Complete;
    status_ = status;
    pending_ = std::move(body);
    contentType_ = std::move(contentType);
    resume();
}

void HttpExchange::beginStream(std::string contentType)
{
    if (state_ != State::Open)
        return;
    state_ = State::Streaming;
    contentType_ = std::move(contentType);
    resume();
}

void HttpExchange::send(std::string_view bytes)
{
    if (state_ != State::Streaming)
        return;
    pending_.append(bytes);
    resume();
}

void HttpExchange::end()
{
    if (state_ != State::Streaming)
        return;
    state_ = State::Ended;
    resume();
}

void HttpExchange::abort()
{
    if (connection_ == nullptr)
        return;
    state_ = State::Aborted;
    resume();
}

void HttpExchange::resume()
{
    if (!suspended_ || connection_ == nullptr)
        return;
    suspended_ = false;
    MHD_resume_connection(connection_);
    if (scheduleServerRun_)
        scheduleServerRun_();
}

void HttpExchange::suspend()
{
    suspended_ = true;
    MHD_suspend_connection(connection_);
}

bool HttpExchange::hasPeerClosed() const
{
    const auto *info = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr)
        return false;
    char byte = 0;
    const ssize_t size = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void HttpExchange::onConnectionClosed()
{
    connection_ = nullptr;
    suspended_ = false;
    const bool isComplete = state_ == State::Complete || state_ == State::Ended;
    const auto callback = std::move(closedCallback_);
    closedCallback_ = nullptr;
    if (!isComplete && callback)
        callback();
}

MHD_Result HttpExchange::queueAnswer()
{
    if (state_ == State::Aborted)
        return MHD_NO;
    MHD_Response *response = nullptr;
    if (state_ == State::Complete) {
        response = MHD_create_response_from_buffer(pending_.size(), pending_.data(),
                                                   MHD_RESPMEM_MUST_COPY);
    } else {
        constexpr std::size_t blockSize = 4096;
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, blockSize,
                                                     &HttpExchange::readStream, this, nullptr);
    }
    MHD_add_response_header(response, "Content-Type", contentType_.c_str());
    const MHD_Result result =
            MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
    return result;
}

ssize_t HttpExchange::readStream(void *self, std::uint64_t, char *buffer, std::size_t size)
{
    auto &exchange = *static_cast<HttpExchange *>(self);
    if (exchange.state_ == State::Aborted)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::size_t left = exchange.pending_.size() - exchange.pendingOffset_;
    if (left == 0 && exchange.state_ == State::Ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
    if (left == 0) {
        exchange.suspend();
        return 0;
    }
    const std::size_t count = std::min(left, size);
    std::memcpy(buffer, exchange.pending_.data() + exchange.pendingOffset_, count);
    exchange.pendingOffset_ += count;
    if (count == left) {
        exchange.pending_.clear();
        exchange.pendingOffset_ = 0;
    }
    return static_cast<ssize_t>(count);
}

} // namespace lovagecourse
