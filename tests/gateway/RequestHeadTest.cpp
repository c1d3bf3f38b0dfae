#include "gateway/HttpGateway.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace lovagecourse;

namespace {

const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// Gateway that answers each request, and a client that sends raw bytes.
struct RequestHeadFixture
{
    EventLoop loop;
    Metrics metrics;
    Endpoint endpoint;
    std::vector<CallerRequest> requests;
    std::unique_ptr<HttpGateway> gateway = open();

    std::unique_ptr<HttpGateway> open()
    {
        HttpGateway::Handlers handlers;
        handlers.onRequest = [this](CallerRequest &&request) {
            requests.push_back(std::move(request));
            gateway->answer(requests.back().id, 200, {}, "ok");
        };
        handlers.onCallerLeft = [](CallerId) {};
        handlers.onConsumed = [](CallerId, std::size_t) {};
        constexpr unsigned firstPort = 24100;
        constexpr unsigned portCount = 900;
        for (unsigned attempt = 0; attempt < 100; ++attempt) {
            const unsigned offset = (static_cast<unsigned>(getpid()) + attempt * 7) % portCount;
            endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(firstPort + offset)};
            auto opened = HttpGateway::open(loop, metrics, endpoint, GatewayLimits{}, handlers);
            if (auto *ready = std::get_if<std::unique_ptr<HttpGateway>>(&opened))
                return std::move(*ready);
        }
        FAIL("no free port");
        return nullptr;
    }

    /// The requests that arrived prove that the gateway has read everything that was sent.
    bool isEverythingRead() const { return requests.size() == 1 && requests[0].body == hidden; }

    void runFor(milliseconds time)
    {
        Timer end(loop, [this] { loop.stop(); });
        end.startOnce(time);
        loop.run();
    }

    /// Sends the parts one after the other. Returns what came back until the gateway closed the
    /// connection or had nothing to send for a while.
    std::string exchange(const std::vector<std::string> &parts,
                         milliseconds time = milliseconds(20))
    {
        requests.clear();
        isClosed = false;
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = toSocketAddress(endpoint);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                == 0);
        for (const std::string &part : parts) {
            static_cast<void>(send(descriptor, part.data(), part.size(), MSG_NOSIGNAL));
            runFor(milliseconds(2));
        }
        std::string answer = receive(descriptor, time);
        close(descriptor);
        return answer;
    }

    /// Like exchange(), but without a wait when nothing more can come. Resets the connection, so
    /// that many of them don't use up the local ports.
    std::string exchangeQuickly(const std::string &bytes)
    {
        requests.clear();
        isClosed = false;
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const linger reset{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        const sockaddr_in address = toSocketAddress(endpoint);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                == 0);
        REQUIRE(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(bytes.size()));
        std::string answer = receive(descriptor, milliseconds(22));
        // On a busy machine the connection is closed only after a while.
        if (requests.empty() && !answer.empty() && !isClosed)
            answer += receive(descriptor, seconds(5));
        close(descriptor);
        return answer;
    }

    std::string receive(int descriptor, milliseconds time)
    {
        std::string answer;
        IoWatcher watcher(loop, descriptor, [&](int) {
            std::array<char, 4096> buffer{};
            const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count > 0)
                answer.append(buffer.data(), static_cast<std::size_t>(count));
            isClosed = isClosed || count == 0 || (count < 0 && errno != EAGAIN);
            if (isClosed || isEverythingRead()
                || (awaitedRequests > 0 && requests.size() == awaitedRequests))
                loop.stop();
        });
        watcher.watch(EV_READ);
        runFor(time);
        return answer;
    }

    bool isClosed = false;
    /// Number of requests after which receive() need not wait for more; 0 means unknown.
    std::size_t awaitedRequests = 0;
};

/// Returns a number from the environment, so that long runs need no other program.
unsigned numberFromEnvironment(const char *name, unsigned defaultValue)
{
    const char *text = std::getenv(name);
    return text ? static_cast<unsigned>(std::stoul(text)) : defaultValue;
}

/// A POST with the given lines of its head and a body that holds another request.
std::string postWith(const std::string &lines)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" + hidden;
}

std::string lengthLine(const std::string &beforeColon = "", const std::string &afterColon = " ")
{
    return "Content-Length" + beforeColon + ":" + afterColon + std::to_string(hidden.size())
           + "\r\n";
}

} // namespace

// Guards against request smuggling: heads that different HTTP parsers end or frame differently.
TEST_CASE_METHOD(RequestHeadFixture, "request head, malformed, is rejected and closes")
{
    const std::string length = std::to_string(hidden.size());
    const std::vector<std::string> heads{
            lengthLine(" "),
            lengthLine("\t"),
            lengthLine() + "X-A : b\r\n",
            "X-A: b\r\n  folded\r\n" + lengthLine(),
            "X-A: b\r\n\tContent-Length: 0\r\n" + lengthLine(),
            " X-A: b\r\n" + lengthLine(),
            ": b\r\n" + lengthLine(),
            lengthLine() + ": b\r\n",
            lengthLine() + ":\r\n",
            "X-A: b\r\n:\r\nX-B: c\r\n" + lengthLine(),
            "X-A: b\r\n: c\r\n: d\r\n" + lengthLine(),
            "X-A: b\r\n\n" + lengthLine(),
            "X-A: b\r\r" + lengthLine(),
            "X-A: b\n" + lengthLine(),
            "X-A: b\r" + lengthLine(),
            "X-A: b\rc\r\n" + lengthLine(),
            std::string("X-A: b\0c\r\n", 10) + lengthLine(),
            std::string("X-A: b\0\r\n", 9) + lengthLine(),
            std::string("\0X-A: b\r\n", 9) + lengthLine(),
            std::string("X\0A: b\r\n", 8) + lengthLine(),
            "X-A: b\x01\r\n" + lengthLine(),
            "X(A): b\r\n" + lengthLine(),
            "X\xc3\xa4: b\r\n" + lengthLine(),
            "no colon\r\n" + lengthLine(),
            lengthLine() + lengthLine(),
            "Content-Length: " + length + ", " + length + "\r\n",
            "Content-Length: +" + length + "\r\n",
            "Content-Length: -" + length + "\r\n",
            "Content-Length: " + length + " 0\r\n",
            "Content-Length: 0x10\r\n",
            "Content-Length: 1e1\r\n",
            "Content-Length:\r\n",
            "Content-Length: 99999999999999999999999999\r\n",
            lengthLine() + "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\n" + lengthLine(),
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: \vchunked\r\n",
            "Transfer-Encoding : chunked\r\n",
            "Host: other\r\n" + lengthLine(),
    };
    const bool isSplit = GENERATE(false, true);
    for (const std::string &lines : heads) {
        CAPTURE(lines, isSplit);
        const std::string bytes = postWith(lines);
        const std::size_t middle = isSplit ? bytes.size() / 3 : 0;
        const std::string answer =
                exchange({bytes.substr(0, middle), bytes.substr(middle)}, seconds(5));
        CAPTURE(lines, isSplit, answer);
        CHECK(requests.empty());
        // libmicrohttpd itself answers 413 to a length that overflows.
        CHECK((answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.1 413")));
        CHECK(isClosed);
    }
}

// Guards against a line that libmicrohttpd takes for the blank line or for one that ends in CR LF:
// it overwrites delimiters, so these lines look alike when the head is checked.
TEST_CASE_METHOD(RequestHeadFixture,
                 "request head, line like an overwritten delimiter, is rejected")
{
    const std::string lines =
            GENERATE(as<std::string>(), ":\n", std::string("\0\n", 2), std::string("X-A:\0\n", 6));
    CAPTURE(lines);
    const std::string answer = exchange({postWith(lengthLine() + lines)}, seconds(5));
    CHECK(requests.empty());
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(isClosed);
}

// Guards against lines of this class in other places: in a later request, pipelined or not, in
// pieces, before a request line and in place of the only blank line.
TEST_CASE_METHOD(RequestHeadFixture,
                 "request head, line like an overwritten delimiter elsewhere, is rejected")
{
    const std::string line = GENERATE(as<std::string>(), ":\n", std::string("\0\n", 2),
                                      std::string("X-A:\0\n", 6), std::string("X-A: b\0\n", 8),
                                      std::string("X-A: b\0\r", 8), std::string("X-A: b\r\0", 8),
                                      std::string("X-A: b\n\0\n", 9), std::string("\0\r", 2),
                                      std::string("\0\0\n", 3), std::string("\0X-A: b\n", 8));
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n:\n";
    const std::string bad = postWith(lengthLine() + line);
    const std::size_t lineBegin = bad.find(lengthLine()) + lengthLine().size();
    std::vector<std::vector<std::string>> sent{{bad}, {get + bad}, {get, bad}, {post + bad}};
    for (std::size_t k = 0; k <= line.size() + 2; ++k)
        sent.push_back({get + bad.substr(0, lineBegin + k), bad.substr(lineBegin + k)});
    for (const std::vector<std::string> &parts : sent) {
        CAPTURE(line, parts);
        const std::string answer = exchange(parts, seconds(5));
        CHECK(requests.size() == (parts[0] == bad ? 0 : 1));
        CHECK(answer.find("HTTP/1.1 400") != std::string::npos);
        CHECK(isClosed);
    }
    for (const std::string &head : {line + get, "GET /a HTTP/1.0" + std::string("\r\0\r\n", 4),
                                    "GET /a HTTP/1.0" + std::string("\n\0\r\n", 4)}) {
        CAPTURE(head);
        exchange({head}, seconds(5));
        CHECK(requests.empty());
        CHECK(isClosed);
    }
}

// Guards against a request that is delivered although the end of its chunked body is disputed, and
// against one that is hidden behind that end.
TEST_CASE_METHOD(RequestHeadFixture, "request head, trailer with a NUL or bare LF, is rejected")
{
    const std::string end =
            GENERATE(as<std::string>(), "0\n\r\n", "0\r\n\n", std::string("0\r\n\0\n", 5),
                     std::string("0\r\nX:\0\n\r\n", 9));
    CAPTURE(end);
    const std::string answer = exchange(
            {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + end + hidden},
            seconds(5));
    CHECK(requests.empty());
    CHECK(answer.find("HTTP/1.1 400") != std::string::npos);
    CHECK(isClosed);
}

// Guards against sound requests that are rejected because of where their bytes are divided.
TEST_CASE_METHOD(RequestHeadFixture, "request head, sound and in pieces, is delivered")
{
    const std::string post = postWith(lengthLine());
    const std::string bytes = "\r\n" + post + "\r\n" + post;
    awaitedRequests = 2;
    for (std::size_t middle = 1; middle < bytes.size(); middle += 3) {
        CAPTURE(middle);
        exchange({bytes.substr(0, middle), bytes.substr(middle)}, seconds(5));
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].body == hidden);
        CHECK(requests[1].body == hidden);
    }
}

// Guards against request lines that a server reads in another way.
TEST_CASE_METHOD(RequestHeadFixture, "request head, malformed request line, is rejected")
{
    const std::string line =
            GENERATE(as<std::string>(), "GET /a b HTTP/1.1\r\n", "GET  /a HTTP/1.1\r\n",
                     "GET\t/a HTTP/1.1\r\n", "G(T /a HTTP/1.1\r\n", "GET /a\x01 HTTP/1.1\r\n",
                     "GET /a HTTP/1.1\n", "GET /a HTTP/1.1\r", "GET /a HTTP/1.1 \r\n");
    CAPTURE(line);
    exchange({line + "Host: h\r\n\r\n"});
    CHECK(requests.empty());
}

// Guards against sound heads that are rejected with the malformed ones, also as the second request
// of a connection or in pieces.
TEST_CASE_METHOD(RequestHeadFixture, "request head, unusual but sound, is delivered")
{
    const std::string lines =
            GENERATE(as<std::string>(), "X-Empty:\r\n", "X-Empty: \r\n", "X-A:b\r\n",
                     "X-A: \t b \t\r\n", "X-A: b\r\nX-A: c\r\n", "!#$%&'*+-.^_`|~9: b\r\n",
                     "Cookie: a=b; c=d\r\n", "X-A: \xc3\xa4\r\n", "X-A: a:b\r\n");
    CAPTURE(lines);
    const std::string get = "GET /%61?q=%20&r HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
    const std::string body("\0\r\n", 3);
    const std::string post =
            "POST /x HTTP/1.1\r\nHost: h\r\n" + lines + "content-length: 3\r\n\r\n" + body;
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n"
                                + lines + "\r\n3\r\n" + body + "\r\n0\r\n\r\n";
    exchange({chunked.substr(0, 50), chunked.substr(50)});
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].body == body);
    exchange({get + post, get});
    REQUIRE(requests.size() == 3);
    CHECK(requests[1].body == body);
    CHECK(requests[0].path == "/%61");
    CHECK(requests[0].query == "?q=%20&r");
}

// Guards against a head outside the tables above that hides a request in a body. Each head is
// malformed or ends at its first blank line, and its body has the given length. What follows the
// body is malformed, unless that is exactly the hidden request, so at most one request may be
// delivered otherwise.
// GENERATED_HEADS and GENERATED_HEADS_SEED set the number of heads and the seed of longer runs.
TEST_CASE_METHOD(RequestHeadFixture, "request head, generated, delivers at most one request")
{
    const unsigned seed = numberFromEnvironment("GENERATED_HEADS_SEED", 20261206);
    const unsigned heads = numberFromEnvironment("GENERATED_HEADS", 1500);
    std::mt19937 random(seed);
    const auto pick = [&random](const std::vector<std::string> &choices) {
        return choices[random() % choices.size()];
    };
    const std::vector<std::string> ends{"\r\n", "\r\n", "\r\n",  "\r\n",  "\n",    "\r",
                                        "\r\r", "\n\r", " \r\n", "\r\n ", "\r\n\t"};
    const std::vector<std::string> names{"X-A",
                                         "X-A ",
                                         " X-A",
                                         "",
                                         "X\tA",
                                         "Content-Length ",
                                         "Transfer-Encoding ",
                                         "content-length\t",
                                         "X A",
                                         "\"x\"",
                                         std::string("\0", 1),
                                         std::string("X\0", 2),
                                         "X-B",
                                         "Te"};
    const std::vector<std::string> values{"",        "b",       " b ", "0",
                                          "5",       "chunked", ":",   std::string("\0", 1),
                                          "b\rX: c", "b\nX: c", "\x7f"};
    for (unsigned i = 0; i < heads; ++i) {
        std::vector<std::string> lines{lengthLine().substr(0, lengthLine().size() - 2)};
        const std::size_t count = random() % 4;
        for (std::size_t k = 0; k < count; ++k) {
            const std::string colon = pick({":", ": ", ": ", ": ", ":\t", ""});
            lines.push_back(pick(names) + colon + pick(values));
        }
        std::shuffle(lines.begin(), lines.end(), random);
        std::string bytes = "POST /x HTTP/1.1" + pick(ends) + "Host: h\r\n";
        for (const std::string &line : lines)
            bytes += line + pick(ends);
        bytes += "\r\n" + hidden;
        CAPTURE(seed, i, bytes);
        const std::string answer = exchangeQuickly(bytes);
        const std::size_t bodyBegin = bytes.find("\r\n\r\n") + 4;
        const bool hasBody = bytes.find("Content-Length: ") < bodyBegin;
        const std::string body = hasBody ? bytes.substr(bodyBegin, hidden.size()) : "";
        // A body that ends before the request line's path makes the rest of the hidden request,
        // with a shorter method, a request of its own.
        const std::string rest = bytes.substr(bodyBegin + body.size());
        const std::size_t restBegin = rest.find_first_not_of("\r\n");
        const std::string next = rest.substr(std::min(restBegin, rest.size()));
        const std::size_t methodEnd = next.find(' ');
        const bool isFollowed = methodEnd > 0 && hidden.ends_with(next)
                                && next.substr(std::min(methodEnd, next.size())).starts_with(" /");
        CHECK(requests.size() <= (isFollowed ? 2 : 1));
        if (!requests.empty()) {
            CHECK(requests[0].path == "/x");
            CHECK(requests[0].body == body);
        }
        if (requests.empty())
            CHECK((isClosed || answer.empty()));
    }
}
