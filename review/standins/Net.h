#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds since the start of this process.
double nowMs();
void sleepMs(double milliseconds);

/// Blocking TCP connection with buffered reads; closed by its destructor.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const { return descriptor_ >= 0; }
    /// False when the peer has closed the connection.
    bool send(std::string_view bytes);
    /// Reads up to the next line end and drops it; false at the end of the connection.
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &bytes);
    /// A read that takes longer fails.
    void setReadTimeout(double milliseconds);
    /// Waits for bytes and appends what has arrived; false at the end of the connection.
    bool readSome(std::string &bytes);
    /// Ends the sending side.
    void shutdownSending() const;
    /// True when the last failed read has timed out.
    bool hasTimedOut() const { return hasTimedOut_; }
    void close();

private:
    bool fill();

    int descriptor_;
    std::string buffer_;
    std::size_t offset_ = 0;
    bool hasTimedOut_ = false;
};

/// Listens at a port of 127.0.0.1, 0 for a free one; returns the descriptor and the port.
std::pair<int, std::uint16_t> listenOnLoopback(std::uint16_t port = 0);
/// Returns a connected descriptor, or -1.
int connectToLoopback(std::uint16_t port);
std::uint16_t freePort();

using Headers = std::vector<std::pair<std::string, std::string>>;

/// HTTP/1.1 request or answer.
struct Message
{
    std::string startLine;
    /// Names in lower case, without the spaces around names and values.
    Headers headers;
    std::string body;

    std::string header(std::string_view name) const;
    /// Words of the start line: method and target, or version and status.
    std::string word(std::size_t index) const;
};

/// Reads the start line and the headers; false at the end of the connection.
bool readHead(Connection &connection, Message &message);
/// Reads a body that ends after its length or its last chunk; false if it breaks off.
bool readBody(Connection &connection, Message &message);

} // namespace review
