#include "integration/LoopbackConnection.h"

#include "integration/Fleet.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <memory>
#include <stdexcept>
#include <utility>

namespace lovagecourse::test {

namespace {

constexpr std::size_t readBytes = 64U << 10;

void setSendTimeout(int descriptor)
{
    const timeval limit{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

int connectTo(const std::string &endpoint, const std::string &source)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!source.empty()) {
        const sockaddr_in from = toSocketAddress(Endpoint{source, 0});
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&from), sizeof(from)) != 0) {
            close(descriptor);
            return -1;
        }
    }
    const sockaddr_in address = toSocketAddress(*parseEndpoint(endpoint));
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        setSendTimeout(descriptor);
        return descriptor;
    }
    close(descriptor);
    return -1;
}

bool isReadable(int descriptor, std::chrono::milliseconds limit)
{
    pollfd state{descriptor, POLLIN, 0};
    return poll(&state, 1, static_cast<int>(limit.count())) > 0;
}

} // namespace

LoopbackConnection::LoopbackConnection(const std::string &endpoint, const std::string &source)
    : descriptor_(connectTo(endpoint, source))
{}

LoopbackConnection::LoopbackConnection(int descriptor)
    : descriptor_(descriptor)
{
    setSendTimeout(descriptor);
}

LoopbackConnection::~LoopbackConnection()
{
    if (descriptor_ >= 0)
        close(descriptor_);
}

LoopbackConnection::LoopbackConnection(LoopbackConnection &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{}

bool LoopbackConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool LoopbackConnection::receive(std::string &bytes, std::size_t count,
                                 std::chrono::milliseconds limit)
{
    if (!isReadable(descriptor_, limit))
        return false;
    std::string buffer(std::min(count, readBytes), '\0');
    const ssize_t received = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (received <= 0)
        return false;
    bytes.append(buffer, 0, static_cast<std::size_t>(received));
    return true;
}

struct LoopbackServer::Shared
{
    Handler handler;
    std::atomic<bool> isStopping = false;
    std::atomic<int> running = 0;
};

LoopbackServer::LoopbackServer(Handler handler)
    : endpoint_(Fleet::freeEndpoint())
    , shared_(std::make_shared<Shared>())
{
    shared_->handler = std::move(handler);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toSocketAddress(*parseEndpoint(endpoint_));
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(listener, SOMAXCONN) != 0)
        throw std::runtime_error("cannot listen on " + endpoint_);
    acceptor_ = std::thread([listener, shared = shared_] {
        while (!shared->isStopping) {
            if (!isReadable(listener, std::chrono::milliseconds(50)))
                continue;
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            ++shared->running;
            std::thread([descriptor, shared] {
                {
                    LoopbackConnection connection(descriptor);
                    shared->handler(connection);
                }
                --shared->running;
            }).detach();
        }
        close(listener);
    });
}

LoopbackServer::~LoopbackServer()
{
    shared_->isStopping = true;
    acceptor_.join();
    waitUntil(std::chrono::seconds(10), [this] { return shared_->running == 0; });
}

bool LoopbackServer::isStopping() const
{
    return shared_->isStopping;
}

std::string RawMessage::header(const std::string &name) const
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t at = lower.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

int RawMessage::status() const
{
    const std::size_t space = head.find(' ');
    return space == std::string::npos ? 0 : std::atoi(head.c_str() + space);
}

bool readHead(LoopbackConnection &connection, RawMessage &message, std::chrono::milliseconds limit)
{
    constexpr std::string_view blankLine = "\r\n\r\n";
    std::size_t end = std::string::npos;
    while ((end = message.head.find(blankLine)) == std::string::npos) {
        if (!connection.receive(message.head, readBytes, limit))
            return false;
    }
    end += blankLine.size();
    message.body = message.head.substr(end);
    message.head.resize(end);
    return true;
}

bool readMessage(LoopbackConnection &connection, RawMessage &message,
                 std::chrono::milliseconds limit)
{
    if (!readHead(connection, message, limit))
        return false;
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (message.body.size() < size) {
        if (!connection.receive(message.body, size - message.body.size(), limit))
            return false;
    }
    return true;
}

} // namespace lovagecourse::test
