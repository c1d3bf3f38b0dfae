#include "Fleet.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

namespace review {

namespace {

constexpr milliseconds pieceInterval{100};
constexpr milliseconds slowPieceInterval{200};
constexpr int pieceCount = 20;
constexpr std::size_t slowBytes = 25000;

/// Set by SIGUSR1, cleared by SIGUSR2: while it is set, a server of mode "endless" or "booking" is
/// in trouble.
std::atomic<bool> isInTrouble{false};

constexpr milliseconds bookingWork{60};
// 0.03 of the answers are followed by an extra response.
constexpr int answersPerExtra = 33;
constexpr std::array<milliseconds, 5> extraDelays{{milliseconds(20), milliseconds(45),
                                                   milliseconds(70), milliseconds(95),
                                                   milliseconds(120)}};
constexpr Clock::time_point never = Clock::time_point::max();
std::atomic<int> answersInTrouble{0};
std::atomic<std::size_t> extraCount{0};
// As a server that is full answers, see `fleetbench wire`.
constexpr std::string_view extraResponse = "HTTP/1.1 503 Service Unavailable\r\n"
                                           "X-Lovagecourse-Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n";

/// One connection of a server stand-in.
struct Connection
{
    int descriptor;
    std::string serverId;
    std::string mode;
    const Record &record;
};

std::string answerHead(const Connection &connection, const Message &request,
                       const std::string &fields)
{
    const std::string attempt = request.header("x-lovagecourse-attempt-id");
    return "HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: " + attempt
           + "\r\nX-Lovagecourse-Server-Stamp: " + connection.serverId + '.' + attempt + "\r\n"
           + fields + "\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::string size;
    for (std::size_t left = bytes.size(); left > 0; left /= 16)
        size.insert(size.begin(), "0123456789abcdef"[left % 16]);
    return size + "\r\n" + bytes + "\r\n";
}

bool sendText(const Connection &connection, const Message &request, const std::string &body)
{
    return sendAll(connection.descriptor,
                   answerHead(connection, request,
                              "Content-Type: application/json\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n")
                           + body);
}

/// Sends an event stream. prefix: the lines of an event before its data, from its number.
template <class Prefix>
bool sendEvents(const Connection &connection, const Message &request, Prefix prefix)
{
    const bool isSlow = connection.mode == "events-slow";
    if (!sendAll(connection.descriptor,
                 answerHead(connection, request,
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")))
        return false;
    for (int i = 1; i <= pieceCount; ++i) {
        std::this_thread::sleep_for(isSlow ? slowPieceInterval : pieceInterval);
        const std::string event = prefix(i) + "data: " + connection.serverId + ' '
                                  + std::to_string(i) + " of " + std::to_string(pieceCount)
                                  + "\n\n";
        if (!sendAll(connection.descriptor, chunk(event)))
            return false;
    }
    return sendAll(connection.descriptor, "0\r\n\r\n");
}

/// Sends an event that never ends, until the caller closes.
bool sendWithoutEnd(const Connection &connection, const Message &request)
{
    if (!sendAll(connection.descriptor,
                 answerHead(connection, request,
                            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")))
        return false;
    const std::string bytes = "id: 1\ndata: " + std::string(slowBytes, 'x');
    while (sendAll(connection.descriptor, chunk(bytes)))
        std::this_thread::sleep_for(pieceInterval);
    return false;
}

bool answer(const Connection &connection, const Message &request)
{
    if (connection.mode == "events-plain")
        return sendEvents(connection, request, [](int) { return std::string(); });
    if (connection.mode == "endless" && isInTrouble)
        return sendWithoutEnd(connection, request);
    if (connection.mode != "plain")
        return sendEvents(connection, request,
                          [](int i) { return "id: " + std::to_string(i) + '\n'; });
    std::this_thread::sleep_for(milliseconds(30));
    return sendText(connection, request, R"({"server":")" + connection.serverId + "\"}");
}

/// Waits for a request until the time of the extra response, if there is one; sends this one then.
void awaitRequest(const Connection &connection, Clock::time_point &extraAt)
{
    if (extraAt == never)
        return;
    const auto left = std::chrono::ceil<milliseconds>(extraAt - Clock::now()).count();
    pollfd state{connection.descriptor, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) != 0)
        return;
    connection.record.write("extra server=" + connection.serverId + " while=idle");
    sendAll(connection.descriptor, extraResponse);
    extraAt = never;
}

/// Works on a booking and answers it. An extra response that is due meanwhile is sent first.
bool answerBooking(const Connection &connection, const Message &request, Clock::time_point &extraAt)
{
    const auto workEnd = Clock::now() + bookingWork;
    if (extraAt < workEnd) {
        std::this_thread::sleep_until(extraAt);
        connection.record.write("extra server=" + connection.serverId
                                + " while=" + request.header("x-lovagecourse-attempt-id"));
        sendAll(connection.descriptor, extraResponse);
        extraAt = never;
    }
    std::this_thread::sleep_until(workEnd);
    if (!sendText(connection, request, R"({"server":")" + connection.serverId + "\"}"))
        return false;
    if (isInTrouble && ++answersInTrouble % answersPerExtra == 0)
        extraAt = Clock::now() + extraDelays[extraCount++ % extraDelays.size()];
    return true;
}

void serve(const Connection &connection)
{
    Reader reader(connection.descriptor);
    Clock::time_point extraAt = never;
    for (;;) {
        awaitRequest(connection, extraAt);
        const auto request = reader.read(false, Clock::now() + std::chrono::minutes(2));
        if (!request || !request->isWhole)
            break;
        const std::string attempt = request->header("x-lovagecourse-attempt-id");
        const std::string expected = request->header("x-lovagecourse-expect-instance");
        if (!expected.empty() && expected != connection.serverId) {
            sendAll(connection.descriptor,
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        connection.record.write("run server=" + connection.serverId + " request=" + attempt);
        const bool isSent = connection.mode == "booking"
                                    ? answerBooking(connection, *request, extraAt)
                                    : answer(connection, *request);
        connection.record.write("run-ended server=" + connection.serverId + " request=" + attempt
                                + " whole=" + (isSent ? "1" : "0"));
        if (!isSent)
            break;
    }
    close(connection.descriptor);
}

} // namespace

int runServer(const std::map<std::string, std::string> &options)
{
    std::signal(SIGUSR1, [](int) { isInTrouble = true; });
    std::signal(SIGUSR2, [](int) { isInTrouble = false; });
    const Record record(options.at("record"));
    const int listener = listenOn(std::atoi(options.at("port").c_str()));
    if (listener < 0)
        return 2;
    for (;;) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        std::thread(serve, Connection{descriptor, options.at("id"), options.at("mode"), record})
                .detach();
    }
}

} // namespace review
