#include "direct/ScriptedServer.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace lovagecourse::test {

namespace {

/// Returns the length of the first request in the bytes; 0 while it is incomplete.
std::size_t completeRequestLength(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    const std::string length = headerValue(bytes.substr(0, end + 2), "content-length");
    const std::size_t total = end + 4 + std::strtoul(length.c_str(), nullptr, 10);
    return bytes.size() >= total ? total : 0;
}

} // namespace

std::string headerValue(const std::string &request, const std::string &name)
{
    std::string lower = request;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    const std::size_t found = lower.find("\r\n" + name + ":");
    if (found == std::string::npos)
        return {};
    std::size_t first = found + name.size() + 3;
    while (first < request.size() && request[first] == ' ')
        ++first;
    return request.substr(first, request.find("\r\n", first) - first);
}

ScriptedServer::Connection::Connection(ScriptedServer &server, int descriptor)
    : server_(server)
    , descriptor_(descriptor)
    , number_(++server.accepted_)
    , watcher_(server.loop_, descriptor, [this](int) { onReadable(); })
{
    watcher_.watch(EV_READ);
}

ScriptedServer::Connection::~Connection()
{
    ::close(descriptor_);
}

void ScriptedServer::Connection::send(const std::string &bytes)
{
    const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    static_cast<void>(sent);
}

void ScriptedServer::Connection::close()
{
    server_.drop(descriptor_);
}

void ScriptedServer::Connection::reset()
{
    const linger hard{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    server_.drop(descriptor_);
}

void ScriptedServer::Connection::onReadable()
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        ++server_.closedByPeer_;
        server_.onClosed_();
        server_.drop(descriptor_);
        return;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(count));
    const std::size_t headEnd = received_.find("\r\n\r\n");
    if (server_.answersHeads_ && headEnd != std::string::npos) {
        watcher_.watch(0);
        const std::string head = received_.substr(0, headEnd + 4);
        server_.requests_.push_back(head);
        return server_.onRequest_(*this, head);
    }
    const std::size_t length = completeRequestLength(received_);
    if (length == 0)
        return;
    const std::string request = received_.substr(0, length);
    received_.erase(0, length);
    server_.requests_.push_back(request);
    server_.onRequest_(*this, request);
}

ScriptedServer::ScriptedServer(EventLoop &loop, Handler onRequest)
    : loop_(loop)
    , onRequest_(std::move(onRequest))
    , listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in local = toSocketAddress(Endpoint{"127.0.0.1", 1});
    local.sin_port = 0;
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0);
    REQUIRE(listen(listener_, 64) == 0);
    socklen_t size = sizeof(local);
    getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
    address_ = toEndpoint(local);
    watcher_ = std::make_unique<IoWatcher>(loop_, listener_, [this](int) { onAcceptable(); });
    watcher_->watch(EV_READ);
}

ScriptedServer::~ScriptedServer()
{
    crash();
}

void ScriptedServer::crash()
{
    watcher_.reset();
    if (listener_ >= 0)
        ::close(listener_);
    listener_ = -1;
    while (!connections_.empty())
        connections_.begin()->second->reset();
}

void ScriptedServer::onAcceptable()
{
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0)
        connections_.emplace(descriptor, std::make_unique<Connection>(*this, descriptor));
}

void ScriptedServer::drop(int descriptor)
{
    connections_.erase(descriptor);
}

} // namespace lovagecourse::test
