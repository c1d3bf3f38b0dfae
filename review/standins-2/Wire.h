#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Opens a listener on 127.0.0.1; port 0 takes a free one. Returns -1 on failure.
int listenOn(int port);
int portOf(int listener);
/// Returns a port that was free a moment ago, for TCP and UDP.
int freePort();
/// Connects to a port of 127.0.0.1; -1 on failure.
int connectTo(int port);
bool sendAll(int descriptor, std::string_view bytes);

/// Start line, headers with names in lower case, and body of an HTTP message.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body has ended as its framing says; an end of the connection in order counts as an end
    /// if there is no framing.
    bool isWhole = false;

    std::string header(const std::string &name) const;
    /// Second word of the start line: the target of a request, the status of an answer.
    std::string secondWord() const;
    int status() const;
};

/// Reads HTTP messages from a connection. Every read ends at the deadline.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor_(descriptor)
    {}

    /// Reads a message. Empty if the connection ends or the deadline passes before its head is
    /// whole. isAnswer: without framing, the body lasts until the end of the connection.
    std::optional<Message> read(bool isAnswer, Clock::time_point deadline);
    /// Also gives up when nothing arrives for so long.
    void setLongestGap(milliseconds gap) { longestGap_ = gap; }
    /// The peer has closed or reset the connection.
    bool hasPeerClosed() const { return hasPeerClosed_; }

private:
    enum class Fill { Data, End, Failed };

    Fill fill(Clock::time_point deadline);
    std::optional<std::string> takeLine(Clock::time_point deadline);
    bool takeBytes(std::string &target, std::size_t count, Clock::time_point deadline);
    bool takeChunks(std::string &target, Clock::time_point deadline);

    int descriptor_;
    std::string buffer_;
    milliseconds longestGap_{milliseconds::max()};
    bool hasPeerClosed_ = false;
};

/// Sends a request on a new connection and reads its answer.
struct CallResult
{
    bool isConnected = false;
    std::optional<Message> answer;
    double tookMs = 0;
};
CallResult call(int port, const std::string &request, milliseconds timeout,
                milliseconds longestGap = milliseconds::max());

std::string encodeBase64(std::string_view bytes);
std::vector<std::string> split(std::string_view text, char delimiter);

/// Appends lines to the record file, which several processes share.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line) const;

private:
    int descriptor_;
};

} // namespace review
