#include "integration/Fleet.h"

#include "wire/Codec.h"
#include "wire/Endpoint.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>

using namespace lovagecourse;
using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20240611;
// Setting "fleet_key" of the test fleet.
const std::string fleetKey = "key of the test fleet";

/// Socket connected to an address of the fleet.
class RawSocket
{
public:
    RawSocket(const std::string &address, int type)
        : descriptor_(socket(AF_INET, type, 0))
    {
        const sockaddr_in target = toSocketAddress(*parseEndpoint(address));
        REQUIRE(connect(descriptor_, reinterpret_cast<const sockaddr *>(&target), sizeof(target))
                == 0);
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    ~RawSocket() { close(descriptor_); }

    void send(const std::string &bytes) const
    {
        // Errors are ignored, since the peer may have closed already.
        static_cast<void>(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    void endSending() const { shutdown(descriptor_, SHUT_WR); }

    /// Bytes received until the peer closes, the limit passes or there are `enough`.
    std::string receive(std::chrono::milliseconds limit, std::size_t enough = SIZE_MAX) const
    {
        std::string all;
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (all.size() < enough) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    deadline - std::chrono::steady_clock::now());
            pollfd wait{descriptor_, POLLIN, 0};
            std::array<char, 4096> buffer{};
            if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0)
                break;
            const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            all.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return all;
    }

private:
    int descriptor_;
};

struct BadInputFixture
{
    static FleetOptions options()
    {
        FleetOptions options;
        options.engines = 1;
        options.entries = 1;
        return options;
    }

    double faults(const std::string &daemon, const std::string &kind, const std::string &reason)
    {
        return fleet.metric(daemon,
                            "lovagecourse_" + kind + "_faults_total{reason=\"" + reason + "\"}");
    }

    bool waitFaults(const std::string &daemon, const std::string &kind, const std::string &reason,
                    double atLeast)
    {
        return waitUntil(5s, [&] { return faults(daemon, kind, reason) >= atLeast; });
    }

    /// Checks that every daemon runs and that a chat request gets a complete answer.
    void checkServes()
    {
        for (const std::string &daemon : fleet.daemons())
            CHECK(fleet.process(daemon).isRunning());
        const HttpOutcome outcome = fleet.chat(1, "a", "hello", 3, true);
        CHECK(outcome.isComplete());
        CHECK(outcome.status == 200);
    }

    Fleet fleet{options()};
    std::mt19937_64 random{seed};
};

/// Preamble of a TCP link: magic, version and nonce.
std::string preamble(std::uint16_t version = wireVersion)
{
    std::string bytes = "LVCR";
    bytes.push_back(static_cast<char>(version & 0xff));
    bytes.push_back(static_cast<char>(version >> 8));
    return bytes + std::string(16, 'n');
}

LinkNonce nonceOf(const std::string &preamble)
{
    LinkNonce nonce{};
    std::copy_n(preamble.begin() + 6, nonce.size(), nonce.begin());
    return nonce;
}

/// Datagram of an unknown daemon, authenticated with the given key.
std::string makeDatagram(const std::string &key, std::uint64_t sequence, std::chrono::seconds age)
{
    const auto now = std::chrono::system_clock::now() - age;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    DatagramHeader header{DaemonId("tester"), Incarnation(1), sequence,
                          static_cast<std::uint64_t>(ms.count())};
    return encodeDatagram(Authenticator(key), Datagram{header, Gossip{}});
}

} // namespace

// Guards against malformed HTTP that crashes or blocks the process or reaches a server.
TEST_CASE_METHOD(BadInputFixture, "HTTP ports, malformed requests, typed error and goes on serving")
{
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                             "Authorization: Bearer a-key\r\n";
    const std::string body = R"({"model":"m","messages":[]})";
    const std::string sized = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    struct Row
    {
        std::string name;
        std::string bytes;
        /// Expected start of the answer; empty if the connection may be closed without one.
        std::string status;
    };
    std::vector<Row> rows{
            {"negative deadline", head + "X-Deadline-Ms: -1\r\n" + sized, "HTTP/1.1 400"},
            {"deadline not a number", head + "X-Deadline-Ms: 1e3\r\n" + sized, "HTTP/1.1 400"},
            {"deadline overflow", head + "X-Deadline-Ms: 99999999999999999999\r\n" + sized,
             "HTTP/1.1 400"},
            {"hint not a number", head + "X-Cost-Hint: NaN\r\n" + sized, "HTTP/1.1 400"},
            {"wrong method",
             "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
             "Authorization: Bearer a-key\r\n\r\n",
             "HTTP/1.1 400"},
            {"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
             "HTTP/1.1 400"},
            {"chunk overflow", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
             "HTTP/1.1 4"},
            {"bad content length", head + "Content-Length: -5\r\n\r\n", "HTTP/1.1 400"},
            {"deep JSON", head + "Content-Length: 60000\r\n\r\n" + std::string(60000, '['),
             "HTTP/1.1 400"},
            {"truncated head", head.substr(0, 40), ""},
            {"truncated body", head + "Content-Length: 100\r\n\r\n{", ""},
            {"oversized header", head + "X-Long: " + std::string(200000, 'x') + "\r\n" + sized,
             "HTTP/1.1 4"},
            {"no HTTP", std::string("\x16\x03\x01\x00\xff\x00\xfe", 7) + "\r\n\r\n", ""},
    };
    for (int i = 0; i < 20; ++i) {
        std::string garbage(1 + random() % 600, '\0');
        for (char &byte : garbage)
            byte = static_cast<char>(random());
        rows.push_back({"garbage " + std::to_string(i), garbage + "\r\n\r\n", ""});
        std::string flipped = head + sized;
        flipped[random() % head.size()] ^= static_cast<char>(1U << (random() % 8));
        rows.push_back({"flipped " + std::to_string(i), flipped, ""});
    }
    for (const std::string port : {"entry-1", "entry-1/admin", "agent-engine-1/admin"}) {
        for (const Row &row : rows) {
            CAPTURE(port, row.name, seed);
            const RawSocket socket(fleet.address(port), SOCK_STREAM);
            socket.send(row.bytes);
            socket.endSending();
            // The admin ports may answer 404 instead.
            const bool mustMatch = port == "entry-1" && !row.status.empty();
            // Short limit for the rest: an incomplete request stays open until the idle timeout.
            const std::string answer = socket.receive(mustMatch ? 3000ms : 100ms);
            if (mustMatch)
                CHECK(answer.substr(0, row.status.size()) == row.status);
            else if (!answer.empty())
                CHECK(answer.starts_with("HTTP/1."));
        }
    }
    const HttpOutcome large = call("POST", fleet.entryUrl(1) + "/v1/chat/completions",
                                   {{"Authorization", "Bearer a-key"}}, std::string(20 << 20, 'x'));
    CHECK(large.status == 413);
    CHECK(large.refusal() == "body-too-large");
    CHECK(large.ran() == "no");
    checkServes();
}

// Guards against an invalid note that is accepted, and against errors that are not reported.
TEST_CASE_METHOD(BadInputFixture, "notes, errors, exit 2 and each is reported with its position")
{
    struct Row
    {
        std::string toml;
        std::vector<std::string> places;
    };
    const std::string head = "follows = 1\ntitle = \"t\"\n";
    const std::vector<Row> rows{
            {"follows = 1\ntitle = \n", {".toml:2:"}},
            {"follows = \"x\"\ntitle = \"t\"\n", {".toml:1:11:"}},
            {"follows = 7\ntitle = \"t\"\n", {".toml:1:"}},
            {head + "surprise = 1\n", {".toml:3:", "surprise"}},
            {head + "[[added.accounts]]\nname = \"a\"\nshare = -1.0\nkeys = [\"zz\"]\n",
             {".toml:5:", ".toml:6:"}},
            {head + "[[changed.accounts]]\nname = \"nobody\"\nshare = 1.0\n",
             {".toml:3:1:", "nobody"}},
            {head + "[[added.servers]]\nname = \"s\"\naddress = \"1.2.3\"\n", {".toml:5:"}},
            {std::string("\xff\xfe\x00", 3), {".toml:1:"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.toml);
        const CommandResult result = fleet.submitNote(row.toml);
        CAPTURE(result.output);
        CHECK(result.exitCode == 2);
        for (const std::string &place : row.places)
            CHECK(result.output.find(place) != std::string::npos);
    }
    CHECK(fleet.status("entry-1")["note"] == 1);
    checkServes();
}

// Guards against a daemon that starts with invalid settings or does not report the errors.
TEST_CASE_METHOD(BadInputFixture,
                 "settings files, errors, exit 2 and each is reported with its position")
{
    std::ifstream file(fleet.folder() + "/entry-1.toml");
    std::ostringstream content;
    content << file.rdbuf();
    std::string valid = content.str();
    // Separate addresses, since those of entry-1 are in use.
    const auto replaceLine = [](std::string text, const std::string &name,
                                const std::string &line) {
        const std::size_t start = text.find(name + " = ");
        return text.replace(start, text.find('\n', start) - start, line);
    };
    valid = replaceLine(valid, "callers", "callers = \"127.0.0.1:9871\"");
    valid = replaceLine(valid, "admin", "admin = \"127.0.0.1:9872\"");
    valid = replaceLine(valid, "datagrams", "datagrams = \"127.0.0.1:9873\"");
    struct Row
    {
        std::string toml;
        int exitCode;
        std::vector<std::string> texts;
    };
    const std::vector<Row> rows{
            {valid, 0, {}},
            {replaceLine(valid, "admin", "admin = \"nowhere\""),
             2,
             {"bad.toml:6:9: admin: expected"}},
            {replaceLine(valid, "admin", "admin = 5"), 2, {"bad.toml:6:9: admin: expected"}},
            {replaceLine(valid, "fleet_key", "fleet_key = \"short\""),
             2,
             {"bad.toml:4:13: fleet_key"}},
            {replaceLine(valid, "name", "nmae = \"x\""), 2, {"bad.toml:1:", "nmae", "name"}},
            {replaceLine(valid, "name", "name = "), 2, {"bad.toml:1:"}},
            // Address conflict: the datagram address is also a TCP listener, for configuration
            // states.
            {replaceLine(valid, "datagrams", "datagrams = \"127.0.0.1:9872\""),
             2,
             {"bad.toml:7:13: datagrams: expected"}},
            {replaceLine(valid, "callers", "callers = \"" + fleet.address("entry-1") + "\""),
             2,
             {": callers: expected"}},
            {"[limits]\nmax_body_bytes = -1\n", 2, {"bad.toml:2:", "limits.max_body_bytes"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.toml);
        const std::string name = fleet.folder() + "/bad.toml";
        std::ofstream(name) << row.toml;
        const CommandResult result =
                runCommand({LOVAGECOURSE_BINARY, "entry", "--settings", name, "--check"},
                           fleet.folder() + "/check.out");
        CAPTURE(result.output);
        CHECK(result.exitCode == row.exitCode);
        for (const std::string &text : row.texts)
            CHECK(result.output.find(text) != std::string::npos);
    }
}

// Guards against bytes on internal TCP ports that crash the process or are accepted without the
// fleet key.
TEST_CASE_METHOD(BadInputFixture, "internal links, bad bytes, counted and goes on serving")
{
    const std::vector<std::pair<std::string, std::string>> ports{
            {"agent-engine-1", "agent-engine-1/links"},
            {"agent-engine-1", "agent-engine-1/datagrams"},
            {"entry-1", "entry-1/datagrams"}};
    const Hello hello{DaemonId("tester"), DaemonRole::Entry, Incarnation(1), DataCentreId("dc-1")};
    struct Row
    {
        std::string name;
        std::string key;
        std::string reason;
        /// Modifies the encoded frames that follow the preamble.
        std::function<void(std::string &)> change;
    };
    const std::vector<Row> rows{
            {"wrong key", "another key of 16 bytes", "wrong-key", [](std::string &) {}},
            {"flipped bit", fleetKey, "wrong-key", [](std::string &frames) { frames[50] ^= 4; }},
            {"replayed frame", fleetKey, "wrong-key",
             [](std::string &frames) { frames += frames; }},
            {"oversized", fleetKey, "oversized", [](std::string &frames) { frames[3] = 0x7f; }},
            {"garbage payload", fleetKey, "malformed", {}},
            {"no hello", fleetKey, "unexpected-message", {}},
    };
    for (const auto &[daemon, port] : ports) {
        for (const Row &row : rows) {
            CAPTURE(port, row.name);
            const double before = faults(daemon, "link", row.reason);
            const RawSocket socket(fleet.address(port), SOCK_STREAM);
            socket.send(preamble());
            const std::string theirs = socket.receive(5s, preamble().size());
            REQUIRE(theirs.size() >= preamble().size());
            const std::string key =
                    deriveLinkKey(Authenticator(row.key), nonceOf(preamble()), nonceOf(theirs));
            FrameEncoder encoder(key, true);
            std::string payload = encodeMessages({hello});
            if (row.reason == "malformed")
                payload = std::string(100, '\x7f');
            if (row.reason == "unexpected-message")
                payload = encodeMessages({Credit{}});
            std::string frames = encoder.encodeFrame(payload);
            if (row.change)
                row.change(frames);
            socket.send(frames);
            CHECK(waitFaults(daemon, "link", row.reason, before + 1));
        }
        const RawSocket foreign(fleet.address(port), SOCK_STREAM);
        foreign.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(waitFaults(daemon, "link", "malformed", 2));
        const RawSocket newer(fleet.address(port), SOCK_STREAM);
        newer.send(preamble(wireVersion + 1));
        CHECK(waitFaults(daemon, "link", "wrong-version", 1));
        const RawSocket truncated(fleet.address(port), SOCK_STREAM);
        truncated.send(preamble().substr(0, 7));
    }
    checkServes();
}

// Guards against datagrams that crash the process, and against accepted ones that are unauthentic,
// damaged, too old or replayed.
TEST_CASE_METHOD(BadInputFixture, "datagrams, bad bytes, counted and goes on serving")
{
    for (const std::string &daemon : fleet.daemons()) {
        CAPTURE(daemon, seed);
        const RawSocket socket(fleet.address(daemon + "/datagrams"), SOCK_DGRAM);
        const std::string valid = makeDatagram(fleetKey, 1, 0s);
        std::string newer = valid;
        newer[0] = static_cast<char>(newer[0] + 1);
        const std::vector<std::pair<std::string, std::string>> rows{
                {"truncated", valid.substr(0, 20)},
                {"oversized", std::string(1900, 'x')},
                {"wrong-version", newer},
                {"wrong-key", makeDatagram("another key of 16 bytes", 2, 0s)},
                {"too-old", makeDatagram(fleetKey, 3, 60s)}};
        for (const auto &[reason, bytes] : rows) {
            CAPTURE(reason);
            const double before = faults(daemon, "datagram", reason);
            socket.send(bytes);
            CHECK(waitFaults(daemon, "datagram", reason, before + 1));
        }
        const double replayed = faults(daemon, "datagram", "replayed");
        socket.send(valid);
        CHECK(faults(daemon, "datagram", "replayed") == replayed);
        socket.send(valid);
        CHECK(waitFaults(daemon, "datagram", "replayed", replayed + 1));
        // A flipped bit in the tag or the payload, or a truncated payload, fails the
        // authentication.
        const double before = faults(daemon, "datagram", "wrong-key");
        constexpr int damaged = 40;
        for (int i = 0; i < damaged; ++i) {
            std::string bytes = makeDatagram(fleetKey, 100 + static_cast<unsigned>(i), 0s);
            bytes[2 + random() % (bytes.size() - 2)] ^= static_cast<char>(1U << (random() % 8));
            socket.send(bytes);
        }
        CHECK(waitFaults(daemon, "datagram", "wrong-key", before + damaged));
    }
    checkServes();
}
