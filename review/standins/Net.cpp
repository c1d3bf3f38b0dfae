#include "Net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

const auto processStart = std::chrono::steady_clock::now();

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trim(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now()
                                                     - processStart)
            .count();
}

void sleepMs(double milliseconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    if (descriptor_ >= 0)
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void Connection::setReadTimeout(double milliseconds)
{
    const auto whole = static_cast<long>(milliseconds);
    const timeval time{whole / 1000, (whole % 1000) * 1000};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::fill()
{
    std::array<char, 65536> bytes{};
    const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    hasTimedOut_ = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (count <= 0)
        return false;
    buffer_.erase(0, offset_);
    offset_ = 0;
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line)
{
    std::size_t end = buffer_.find('\n', offset_);
    while (end == std::string::npos) {
        if (!fill())
            return false;
        end = buffer_.find('\n', offset_);
    }
    line = buffer_.substr(offset_, end - offset_);
    offset_ = end + 1;
    if (line.ends_with('\r'))
        line.pop_back();
    return true;
}

bool Connection::readBytes(std::size_t count, std::string &bytes)
{
    while (buffer_.size() - offset_ < count) {
        if (!fill())
            return false;
    }
    bytes.append(buffer_, offset_, count);
    offset_ += count;
    return true;
}

bool Connection::readSome(std::string &bytes)
{
    if (offset_ == buffer_.size() && !fill())
        return false;
    bytes.append(buffer_, offset_);
    offset_ = buffer_.size();
    return true;
}

void Connection::shutdownSending() const
{
    shutdown(descriptor_, SHUT_WR);
}

std::pair<int, std::uint16_t> listenOnLoopback(std::uint16_t port)
{
    constexpr int backlog = 1000;
    const int on = 1;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) != 0
        || listen(descriptor, backlog) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("can't listen on 127.0.0.1");
    return {descriptor, ntohs(address.sin_port)};
}

int connectToLoopback(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

std::uint16_t freePort()
{
    const auto [descriptor, port] = listenOnLoopback();
    ::close(descriptor);
    return port;
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[headerName, value] : headers) {
        if (headerName == name)
            return value;
    }
    return {};
}

std::string Message::word(std::size_t index) const
{
    std::string_view rest = startLine;
    for (; index > 0; --index)
        rest.remove_prefix(std::min(rest.find(' '), rest.size() - 1) + 1);
    return std::string(rest.substr(0, rest.find(' ')));
}

bool readHead(Connection &connection, Message &message)
{
    message = Message();
    if (!connection.readLine(message.startLine) || message.startLine.empty())
        return false;
    std::string line;
    while (connection.readLine(line)) {
        if (line.empty())
            return true;
        const std::size_t colon = std::min(line.find(':'), line.size());
        const std::string value = colon < line.size() ? line.substr(colon + 1) : std::string();
        message.headers.emplace_back(lowerCase(trim(line.substr(0, colon))), trim(value));
    }
    return false;
}

bool readBody(Connection &connection, Message &message)
{
    if (message.header("transfer-encoding") != "chunked") {
        const std::string length = message.header("content-length");
        return length.empty() || connection.readBytes(std::stoul(length), message.body);
    }
    std::string line;
    while (connection.readLine(line)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (!connection.readBytes(size, message.body) || !connection.readLine(line))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

} // namespace review
