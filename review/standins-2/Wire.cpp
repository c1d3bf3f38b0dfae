#include "Wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <ctime>
#include <utility>

namespace review {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int remainingMs(Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

} // namespace

int listenOn(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    constexpr int backlog = 2000;
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, backlog) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

int portOf(int listener)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int freePort()
{
    const int listener = listenOn(0);
    const int port = portOf(listener);
    close(listener);
    return port;
}

int connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::secondWord() const
{
    const std::vector<std::string> words = split(startLine, ' ');
    return words.size() < 2 ? std::string() : words[1];
}

int Message::status() const
{
    return std::atoi(secondWord().c_str());
}

Reader::Fill Reader::fill(Clock::time_point deadline)
{
    pollfd state{descriptor_, POLLIN, 0};
    const std::int64_t longest = std::min<std::int64_t>(remainingMs(deadline), longestGap_.count());
    if (poll(&state, 1, static_cast<int>(longest)) <= 0)
        return Fill::Failed;
    std::array<char, 16384> bytes{};
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count > 0)
        buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    hasPeerClosed_ = count <= 0;
    return count > 0 ? Fill::Data : count == 0 ? Fill::End : Fill::Failed;
}

std::optional<std::string> Reader::takeLine(Clock::time_point deadline)
{
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (fill(deadline) != Fill::Data)
            return std::nullopt;
        end = buffer_.find("\r\n");
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

bool Reader::takeBytes(std::string &target, std::size_t count, Clock::time_point deadline)
{
    while (buffer_.size() < count) {
        if (fill(deadline) != Fill::Data) {
            target += std::exchange(buffer_, {});
            return false;
        }
    }
    target += buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
}

bool Reader::takeChunks(std::string &target, Clock::time_point deadline)
{
    constexpr int hexadecimal = 16;
    for (;;) {
        const auto line = takeLine(deadline);
        if (!line)
            return false;
        const std::size_t size = std::strtoul(line->c_str(), nullptr, hexadecimal);
        if (size > 0 && !takeBytes(target, size, deadline))
            return false;
        if (!takeLine(deadline))
            return false;
        if (size == 0)
            return true;
    }
}

std::optional<Message> Reader::read(bool isAnswer, Clock::time_point deadline)
{
    Message message;
    const auto start = takeLine(deadline);
    if (!start)
        return std::nullopt;
    message.startLine = *start;
    for (;;) {
        const auto line = takeLine(deadline);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const std::size_t colon = std::min(line->find(':'), line->size());
        message.headers[lower(line->substr(0, colon))] =
                colon < line->size() ? trimmed(line->substr(colon + 1)) : std::string();
    }
    const std::string length = message.header("content-length");
    if (lower(message.header("transfer-encoding")) == "chunked") {
        message.isWhole = takeChunks(message.body, deadline);
    } else if (!length.empty()) {
        message.isWhole =
                takeBytes(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
    } else if (isAnswer) {
        Fill last = Fill::Data;
        while (last == Fill::Data)
            last = fill(deadline);
        message.body = std::exchange(buffer_, {});
        message.isWhole = last == Fill::End;
    } else {
        message.isWhole = true;
    }
    return message;
}

CallResult call(int port, const std::string &request, milliseconds timeout, milliseconds longestGap)
{
    CallResult result;
    const auto start = Clock::now();
    const int descriptor = connectTo(port);
    result.isConnected = descriptor >= 0;
    Reader reader(descriptor);
    reader.setLongestGap(longestGap);
    if (result.isConnected && sendAll(descriptor, request))
        result.answer = reader.read(true, start + timeout);
    if (result.isConnected)
        close(descriptor);
    result.tookMs = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    return result;
}

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::string_view part = bytes.substr(i, 3);
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8 | (k < part.size() ? static_cast<unsigned char>(part[k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= part.size() ? letters[value >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

std::vector<std::string> split(std::string_view text, char delimiter)
{
    std::vector<std::string> parts;
    for (;;) {
        const std::size_t end = std::min(text.find(delimiter), text.size());
        parts.emplace_back(text.substr(0, end));
        if (end == text.size())
            return parts;
        text.remove_prefix(end + 1);
    }
}

Record::Record(const std::string &path)
    : descriptor_(open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644))
{}

void Record::write(const std::string &line) const
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::tm utc{};
    gmtime_r(&now.tv_sec, &utc);
    std::array<char, 16> clock{};
    std::strftime(clock.data(), clock.size(), "%T", &utc);
    const std::string millis = std::to_string(1000 + now.tv_nsec / 1000000).substr(1);
    const std::string text = std::string(clock.data()) + '.' + millis + ' ' + line + '\n';
    if (::write(descriptor_, text.data(), text.size()) < 0)
        _exit(2);
}

} // namespace review
