#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Sockets on loopback addresses and HTTP/1.1 messages, for the stand-ins of the review's cases.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t elapsedMs(Clock::time_point since)
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - since).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// Returns a listening socket at the port, or at a free one if it is 0; -1 on failure.
inline int listenAt(std::uint16_t &port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, 512) != 0) {
        close(descriptor);
        return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

/// Returns a port that is free for TCP and UDP.
inline std::uint16_t freePort()
{
    for (;;) {
        std::uint16_t port = 0;
        const int tcp = listenAt(port);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree = bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        close(udp);
        close(tcp);
        if (isFree)
            return port;
    }
}

/// Resets the connection of a socket instead of ending it in an orderly way.
inline void resetSocket(int descriptor)
{
    const linger option{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request, or an answer.
struct Message
{
    std::string startLine;
    /// Names in lower case.
    Headers headers;
    std::string body;
    /// The body ended with its length or its last chunk.
    bool isWhole = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[known, value] : headers) {
            if (known == name)
                return value;
        }
        return {};
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    /// Path and query of a request.
    std::string target() const
    {
        const std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.substr(9, 3).c_str());
    }
    /// Value of a parameter in the query of a request.
    std::string parameter(const std::string &name) const
    {
        const std::string text = target();
        for (const char before : {'?', '&'}) {
            const std::size_t found = text.find(before + name + '=');
            if (found == std::string::npos)
                continue;
            const std::size_t begin = found + name.size() + 2;
            return text.substr(begin, text.find('&', begin) - begin);
        }
        return {};
    }
};

/// A connection; closes its socket when it is destroyed.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(descriptor_); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Returns null if the connection is not made in time.
    static std::unique_ptr<Connection> open(std::uint16_t port, milliseconds limit)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto connection = std::make_unique<Connection>(descriptor);
        const sockaddr_in address = loopback(port);
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
            return connection;
        pollfd state{descriptor, POLLOUT, 0};
        if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(limit.count())) != 1)
            return nullptr;
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        return error == 0 ? std::move(connection) : nullptr;
    }

    int descriptor() const { return descriptor_; }
    /// The peer has reset the connection.
    bool wasReset() const { return wasReset_; }
    bool hasBufferedBytes() const { return !buffer_.empty(); }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
                continue;
            }
            pollfd state{descriptor_, POLLOUT, 0};
            if (errno != EAGAIN || poll(&state, 1, 10000) != 1)
                return false;
        }
        return true;
    }

    /// Reads until the deadline or until something has arrived; false at the end.
    bool receive(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd state{descriptor_, POLLIN, 0};
        if (left <= 0 || poll(&state, 1, static_cast<int>(left)) != 1)
            return false;
        char bytes[16384];
        const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count < 0 && errno == EAGAIN)
            return true;
        wasReset_ = count < 0;
        hasEnded_ = count <= 0;
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool hasEnded() const { return hasEnded_; }

    /// Reads a head; empty at the end or the deadline.
    std::optional<Message> readHead(Clock::time_point deadline)
    {
        std::size_t end = buffer_.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
            end = buffer_.find("\r\n\r\n");
        }
        Message message;
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        const std::size_t lineEnd = head.find("\r\n");
        message.startLine = head.substr(0, lineEnd);
        for (std::size_t at = lineEnd + 2; at < head.size();) {
            const std::size_t next = head.find("\r\n", at);
            const std::string line = head.substr(at, next - at);
            at = next + 2;
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.headers.emplace_back(name, value);
        }
        return message;
    }

    /// Reads the body that the head announces. onBytes gets the body's bytes as they arrive.
    void readBody(Message &message, bool isAnswer, Clock::time_point deadline,
                  const std::function<void(std::string_view)> &onBytes = {})
    {
        const auto add = [&](std::string_view bytes) {
            message.body.append(bytes);
            if (onBytes)
                onBytes(bytes);
        };
        if (message.header("transfer-encoding") == "chunked")
            return readChunks(message, deadline, add);
        const std::string length = message.header("content-length");
        if (length.empty() && !isAnswer) {
            message.isWhole = true;
            return;
        }
        if (length.empty()) {
            do {
                add(buffer_);
                buffer_.clear();
            } while (receive(deadline));
            message.isWhole = hasEnded_ && !wasReset_;
            return;
        }
        std::size_t left = std::stoul(length);
        for (;;) {
            const std::size_t count = std::min(left, buffer_.size());
            add(std::string_view(buffer_).substr(0, count));
            buffer_.erase(0, count);
            left -= count;
            message.isWhole = left == 0;
            if (left == 0 || !receive(deadline))
                return;
        }
    }

    std::optional<Message> readMessage(bool isAnswer, Clock::time_point deadline)
    {
        auto message = readHead(deadline);
        if (message)
            readBody(*message, isAnswer, deadline);
        return message;
    }

private:
    template <class Add>
    void readChunks(Message &message, Clock::time_point deadline, Add add)
    {
        for (;;) {
            std::size_t lineEnd = buffer_.find("\r\n");
            while (lineEnd == std::string::npos) {
                if (!receive(deadline))
                    return;
                lineEnd = buffer_.find("\r\n");
            }
            const std::size_t size = std::stoul(buffer_.substr(0, lineEnd), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!receive(deadline))
                    return;
            }
            add(std::string_view(buffer_).substr(lineEnd + 2, size));
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.isWhole = true;
                return;
            }
        }
    }

    int descriptor_;
    std::string buffer_;
    bool wasReset_ = false;
    bool hasEnded_ = false;
};

/// Accepts connections and serves each in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    explicit Listener(Serve serve)
        : serve_(std::move(serve))
    {}
    ~Listener() { stop(); }

    std::uint16_t port() const { return port_; }

    bool start(std::uint16_t port = 0)
    {
        port_ = port;
        descriptor_ = listenAt(port_);
        if (descriptor_ < 0)
            return false;
        isStopping_ = false;
        acceptor_ = std::thread([this] { accept(); });
        return true;
    }

    /// Closes the listener and all connections.
    void stop()
    {
        if (!acceptor_.joinable())
            return;
        isStopping_ = true;
        shutdown(descriptor_, SHUT_RDWR);
        acceptor_.join();
        close(descriptor_);
        closeConnections(false);
        std::list<Session> ended;
        {
            const std::lock_guard lock(mutex_);
            ended.swap(sessions_);
        }
        for (Session &session : ended)
            session.thread.join();
    }

    /// Ends all open connections, or resets them.
    void closeConnections(bool resets)
    {
        const std::lock_guard lock(mutex_);
        for (Session &session : sessions_) {
            if (session.isDone)
                continue;
            // Linux resets a connection that is connected to no address.
            const sockaddr none{AF_UNSPEC, {}};
            if (resets)
                connect(session.descriptor, &none, sizeof(none));
            else
                shutdown(session.descriptor, SHUT_RDWR);
        }
    }

private:
    struct Session
    {
        std::thread thread;
        int descriptor = -1;
        std::atomic<bool> isDone{false};
    };

    void accept()
    {
        for (;;) {
            const int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (isStopping_) {
                if (descriptor >= 0)
                    close(descriptor);
                return;
            }
            if (descriptor < 0)
                continue;
            const std::lock_guard lock(mutex_);
            sessions_.remove_if([](Session &session) {
                if (!session.isDone)
                    return false;
                session.thread.join();
                return true;
            });
            Session &session = sessions_.emplace_back();
            session.descriptor = descriptor;
            session.thread = std::thread([this, &session, descriptor] {
                {
                    Connection connection(descriptor);
                    serve_(connection);
                    const std::lock_guard ending(mutex_);
                    session.isDone = true;
                }
            });
        }
    }

    Serve serve_;
    std::uint16_t port_ = 0;
    int descriptor_ = -1;
    std::atomic<bool> isStopping_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<Session> sessions_;
};

} // namespace review
