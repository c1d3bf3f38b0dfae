#include "platform/StoreClient.h"

#include "core/HeapMeter.h"
#include "direct/ScriptedServer.h"
#include "platform/ConfigurationDecoder.h"
#include "store/Positions.h"

#include <catch2/catch.hpp>
#include <openssl/evp.h>

#include <set>

using namespace lovagecourse;
using test::at;
using test::inEra;
using test::ScriptedServer;

namespace {

/// A store that returns its newest records in pages of one record.
struct StoreClientFixture
{
    EventLoop loop;
    HttpClient http{loop};
    std::shared_ptr<StoreEras> eras = std::make_shared<StoreEras>();
    std::optional<platform::StoreClient> client;
    std::optional<KeyedResult> result;

    static ReadOptions within(milliseconds timeout) { return {milliseconds(0), timeout}; }

    static std::string answer(const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
               + body;
    }

    static std::string page(const std::string &key, bool hasMore)
    {
        return R"({"items":[{"key":")" + key + R"(","value":"dg=="}],"end_offset":7,"has_more":)"
               + (hasMore ? "true" : "false") + "}";
    }

    static ScriptedServer::Handler pagesOf(const std::string &name)
    {
        return [name](auto &connection, const std::string &request) {
            const bool isFirst = request.find("&after=") == std::string::npos;
            connection.send(answer(page(name + (isFirst ? "-1" : "-2"), isFirst)));
        };
    }

    /// Answers with one record: the first of these keys that sorts after the one in the request, in
    /// byte order, as the store does.
    static ScriptedServer::Handler pagesOfKeys(const std::set<std::string> &keys)
    {
        return [keys](auto &connection, const std::string &request) {
            const auto next = keys.upper_bound(afterOf(request));
            if (next == keys.end())
                return connection.send(answer(R"({"items":[],"end_offset":7,"has_more":false})"));
            connection.send(answer(page(*next, std::next(next) != keys.end())));
        };
    }

    /// Key after which a request asks for a page; empty for the first page.
    static std::string afterOf(const std::string &request)
    {
        const std::string name = "&after=";
        const std::size_t begin = request.find(name);
        if (begin == std::string::npos)
            return "";
        std::string key;
        for (std::size_t i = begin + name.size(); request.at(i) != ' '; ++i) {
            if (request[i] != '%') {
                key += request[i];
                continue;
            }
            key += static_cast<char>(std::stoi(request.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return key;
    }

    static std::string urlOf(const ScriptedServer &server)
    {
        return "http://" + toString(server.address());
    }

    void runUntilDone()
    {
        Timer limit(loop, [this] { loop.stop(); });
        limit.startOnce(seconds(2));
        loop.run();
    }

    std::function<void(const KeyedResult &)> keepResult()
    {
        return [this](const KeyedResult &read) {
            result = read;
            loop.stop();
        };
    }
};

} // namespace

// Guards against a read that goes on with a client that was replaced, or with freed memory, when
// the settings change between two of its pages.
TEST_CASE_METHOD(StoreClientFixture,
                 "store client, replaced between two pages, read goes on at its own store")
{
    const bool isReplaced = GENERATE(true, false);
    ScriptedServer other(loop, pagesOf("other"));
    ScriptedServer store(loop, [&](auto &connection, const std::string &request) {
        if (isReplaced)
            client.emplace(http, urlOf(other), eras);
        else
            client.reset();
        pagesOf("own")(connection, request);
    });
    client.emplace(http, urlOf(store), eras);
    client->readNewest(KeyedTopic::Servers, within(seconds(1)), keepResult());
    runUntilDone();
    REQUIRE(result);
    const auto *batch = std::get_if<KeyedBatch>(&*result);
    REQUIRE(batch);
    REQUIRE(batch->records.size() == 2);
    CHECK(batch->records[0].key == "own-1");
    CHECK(batch->records[1].key == "own-2");
    CHECK(batch->next == at(7));
    CHECK(other.requests().empty());
}

// Guards against calls of a destroyed client that keep the process from ending, or report to a
// receiver that is gone.
TEST_CASE_METHOD(StoreClientFixture, "store client, HTTP client ends first, reports nothing")
{
    ScriptedServer store(loop, [](auto &, const std::string &) {});
    {
        HttpClient shortLived(loop);
        platform::StoreClient(shortLived, urlOf(store), eras)
                .readNewest(KeyedTopic::Servers, within(milliseconds(50)), keepResult());
    }
    Timer limit(loop, [this] { loop.stop(); });
    limit.startOnce(milliseconds(100));
    loop.run();
    CHECK_FALSE(result);
}

// Guards against a topic that counts as empty, or read to its end, because of an answer whose head
// another parser reads differently.
TEST_CASE_METHOD(StoreClientFixture, "store client, answer with a faulty head, call fails")
{
    const std::string status = GENERATE("200 OK", "404 Not Found", "410 Gone");
    const std::string line =
            GENERATE(as<std::string>(), "X-A: b\nX-B: c\r\n", "X-A: b\r\n c\r\n", "X-A b\r\n",
                     "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
                     std::string("X-A: b") + '\0' + "\r\n");
    CAPTURE(status, line);
    ScriptedServer store(loop, [&](auto &connection, const std::string &) {
        std::string bytes = answer(page("own", false));
        bytes.replace(bytes.find("200 OK\r\n"), 8, status + "\r\n" + line);
        connection.send(bytes);
    });
    client.emplace(http, urlOf(store), eras);
    client->readNewest(KeyedTopic::Servers, within(seconds(1)), keepResult());
    runUntilDone();
    REQUIRE(result);
    CHECK(std::get<StoreFault>(*result) == StoreFault::NoAnswer);
    result.reset();
    client->readFrom(KeyedTopic::Servers, at(3), {}, keepResult());
    runUntilDone();
    REQUIRE(result);
    CHECK(std::get<StoreFault>(*result) == StoreFault::NoAnswer);
    CHECK(store.closedByPeer() > 0);
}

// Guards against a history that can't be read because its beginning has expired, and against reads
// that are repeated without end.
TEST_CASE_METHOD(StoreClientFixture,
                 "store client, beginning has expired, reads on from the first retained record")
{
    char end = '\x29';
    const auto readWith = [&](const std::string &gone, bool skipsExpired) {
        ScriptedServer store(loop, [&](auto &connection, const std::string &request) {
            if (request.find("&from=40 ") == std::string::npos) {
                std::string bytes = answer(gone);
                connection.send(bytes.replace(bytes.find("200 OK"), 6, "410 Gone"));
                return;
            }
            // End and first offset, then a record of 4 bytes with the key "k" and the value "va".
            connection.send(answer(std::string(7, '\0') + end + std::string("\0\0\0\0\0\0\0\x28", 8)
                                   + std::string("\0\0\0\x04\x01kva", 8)));
        });
        client.emplace(http, urlOf(store), eras);
        result.reset();
        ReadOptions options;
        options.timeout = seconds(1);
        options.skipsExpired = skipsExpired;
        client->readFrom(KeyedTopic::Servers, at(0), options, keepResult());
        runUntilDone();
        REQUIRE(result);
        return *result;
    };
    const KeyedResult read = readWith(R"({"first":40})", true);
    REQUIRE(std::holds_alternative<KeyedBatch>(read));
    const auto &batch = std::get<KeyedBatch>(read);
    REQUIRE(batch.records.size() == 1);
    CHECK(batch.records[0].value == "va");
    CHECK(batch.next == at(41));
    CHECK(batch.isAtEnd);
    end = '\x2a';
    CHECK_FALSE(std::get<KeyedBatch>(readWith(R"({"first":40})", true)).isAtEnd);
    CHECK(std::get<StoreFault>(readWith(R"({"first":40})", false)) == StoreFault::Expired);
    for (const char *gone : {R"({"first":0})", R"({"first":39})", R"({"first":"40"})", "[40]", ""})
        CHECK(std::get<StoreFault>(readWith(gone, true)) == StoreFault::Expired);
}

// Guards against a read without end, and a router that never becomes ready, because of a key of
// another program that is no valid UTF-8.
TEST_CASE_METHOD(StoreClientFixture, "store client, keys in another encoding, reads all sound ones")
{
    const std::set<std::string> foreign =
            GENERATE(values<std::set<std::string>>({{"b\xe9"},
                                                    {"b\xff"},
                                                    {"b\xe9-1", "b\xe9-2"},
                                                    {"b\xff-1", "b\xff-2"},
                                                    {"b\xe9", "b\xff", "b\xff\xe9", "b\xff\xff-1"},
                                                    {"\xe9", "\xff"}}));
    const std::set<std::string> sound = {"a", "b", "b-1", "b\x7f", "c", "d"};
    std::set<std::string> keys = sound;
    keys.insert(foreign.begin(), foreign.end());
    // Each page, and once more each that ends with a key that begins with 0xff.
    const std::size_t maxCalls = keys.size() + foreign.size();
    std::size_t calls = 0;
    const auto answerPage = pagesOfKeys(keys);
    ScriptedServer store(loop, [&](auto &connection, const std::string &request) {
        if (++calls > maxCalls)
            return loop.stop();
        answerPage(connection, request);
    });
    client.emplace(http, urlOf(store), eras);
    client->readNewest(KeyedTopic::Servers, within(seconds(1)), keepResult());
    runUntilDone();
    CAPTURE(calls);
    REQUIRE(result);
    const auto *batch = std::get_if<KeyedBatch>(&*result);
    REQUIRE(batch);
    std::set<std::string> read;
    for (const KeyedRecord &record : batch->records)
        read.insert(record.key);
    for (const std::string &key : sound)
        CHECK(read.contains(key));
}

// Guards against a read without end of a store that does not go on.
TEST_CASE_METHOD(StoreClientFixture, "store client, page is repeated, call fails")
{
    const std::string key = GENERATE(as<std::string>(), "k", "k\xe9");
    std::size_t calls = 0;
    ScriptedServer store(loop, [&](auto &connection, const std::string &) {
        if (++calls > 10)
            return loop.stop();
        connection.send(answer(page(key, true)));
    });
    client.emplace(http, urlOf(store), eras);
    client->readNewest(KeyedTopic::Servers, within(seconds(1)), keepResult());
    runUntilDone();
    CHECK(calls == 2);
    REQUIRE(result);
    REQUIRE(std::holds_alternative<StoreFault>(*result));
    CHECK(std::get<StoreFault>(*result) == StoreFault::Malformed);
}

// Guards against records of other programs that together take the memory of the process.
TEST_CASE_METHOD(StoreClientFixture, "store client, many large records, a read holds what is used")
{
    constexpr std::size_t levels = 24'000;
    const std::string value =
            R"({"service":"s","slots":1,"zone":"z","address":"10.0.0.1:1","state":"ready","note":)"
            + std::string(levels, '[') + std::string(levels, ']') + "}";
    std::string encoded(value.size() * 2, '\0');
    encoded.resize(static_cast<std::size_t>(
            EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                            reinterpret_cast<const unsigned char *>(value.data()),
                            static_cast<int>(value.size()))));
    int left = 0;
    ScriptedServer store(loop, [&](auto &connection, const std::string &) {
        std::string bytes = page("k" + std::to_string(left), left > 1);
        --left;
        connection.send(answer(bytes.replace(bytes.find("dg=="), 4, encoded)));
    });
    client.emplace(http, urlOf(store), eras);
    const auto peakOf = [&](int records) {
        left = records;
        result.reset();
        const test::HeapMeter meter;
        client->readNewest(KeyedTopic::Servers, within(seconds(2)), keepResult());
        runUntilDone();
        REQUIRE(result);
        REQUIRE(std::holds_alternative<KeyedBatch>(*result));
        const auto &batch = std::get<KeyedBatch>(*result);
        CHECK(batch.records.size() == static_cast<std::size_t>(records));
        for (const KeyedRecord &record : batch.records) {
            const auto decoded = platform::decodeServerEntry(record.key, *record.value);
            REQUIRE(std::holds_alternative<ServerEntry>(decoded));
            CHECK(std::get<ServerEntry>(decoded).service == ServiceId("s"));
        }
        return meter.peak();
    };
    // An item of each page, with its own memory and that of its request in the fixture.
    constexpr std::size_t itemBytes = 2048;
    CHECK(peakOf(40) <= peakOf(2) + 40 * itemBytes);
}

// Guards against an answer of the store that goes on without end and exceeds the process's memory.
TEST_CASE_METHOD(StoreClientFixture, "store client, answer without end, call fails")
{
    const bool isRead = GENERATE(true, false);
    // Larger than any answer of the store: a read returns 1 MB, a page 500 items or 1 MB.
    constexpr std::size_t mostBytes = 16U << 20;
    std::size_t sentBytes = 0;
    std::unique_ptr<Timer> sender;
    ScriptedServer store(loop, [&](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\n\r\n");
        sender = std::make_unique<Timer>(loop, [&] {
            const std::string bytes(256U << 10, 'x');
            connection.send(bytes);
            sentBytes += bytes.size();
            if (sentBytes > 4 * mostBytes)
                loop.stop();
        });
        sender->startRepeating(milliseconds(1));
    });
    store.onClosed([&] { sender.reset(); });
    client.emplace(http, urlOf(store), eras);
    if (isRead) {
        ReadOptions options;
        options.timeout = seconds(10);
        client->readFrom(KeyedTopic::Servers, at(0), options, keepResult());
    } else {
        client->readNewest(KeyedTopic::Servers, within(seconds(10)), keepResult());
    }
    Timer limit(loop, [this] { loop.stop(); });
    limit.startOnce(seconds(8));
    loop.run();
    REQUIRE(result);
    CHECK(std::get<StoreFault>(*result) == StoreFault::Malformed);
    // What the sockets buffer was sent as well.
    CHECK(sentBytes <= 2 * mostBytes);
}

namespace {

/// A store whose answers name an era, as the test says.
struct StoreEraFixture : StoreClientFixture
{
    /// Lines of headers after the status line.
    std::string eraLines = "Store-Era: 4\r\n";
    int status = 200;
    bool hasSecondPage = false;
    ScriptedServer store{loop, [this](auto &connection, const std::string &request) {
                             const bool isRead = request.find("/v1/log-read") != std::string::npos;
                             const bool isFirst = request.find("&after=") == std::string::npos;
                             std::string body =
                                     isRead ? std::string(7, 0) + '\x09' + std::string(8, 0)
                                            : page("k", hasSecondPage && isFirst);
                             if (!isFirst)
                                 eraLines = "Store-Era: 5\r\n";
                             connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\n"
                                             + eraLines + "Content-Length: "
                                             + std::to_string(body.size()) + "\r\n\r\n" + body);
                         }};

    StoreEraFixture() { client.emplace(http, urlOf(store), eras); }

    KeyedResult readFrom(const StorePosition &from)
    {
        result.reset();
        client->readFrom(KeyedTopic::Servers, from, within(seconds(1)), keepResult());
        runUntilDone();
        return result.value();
    }
    KeyedResult readNewest()
    {
        result.reset();
        client->readNewest(KeyedTopic::Servers, within(seconds(1)), keepResult());
        runUntilDone();
        return result.value();
    }
    static StorePosition nextOf(const KeyedResult &read) { return std::get<KeyedBatch>(read).next; }
};

} // namespace

// Guards against records that are skipped because an offset of an earlier era is read on.
TEST_CASE_METHOD(StoreEraFixture, "store client, offset of another era, is a typed fault")
{
    CHECK(nextOf(readNewest()) == inEra(4, 7));
    CHECK(nextOf(readFrom(inEra(4, 9))) == inEra(4, 9));
    CHECK(std::get<StoreFault>(readFrom(inEra(3, 9))) == StoreFault::EraChanged);
    CHECK(std::get<StoreFault>(readFrom(at(9))) == StoreFault::EraChanged);
    // The beginning of a topic is the same place in all eras.
    CHECK(nextOf(readFrom(at(0))) == inEra(4, 0));
    status = 410;
    CHECK(std::get<StoreFault>(readFrom(inEra(3, 9))) == StoreFault::EraChanged);
    CHECK(std::get<StoreFault>(readFrom(inEra(4, 9))) == StoreFault::Expired);
    status = 404;
    CHECK(std::get<StoreFault>(readFrom(inEra(3, 9))) == StoreFault::EraChanged);
    CHECK(nextOf(readNewest()) == inEra(4, 0));
}

// Guards against a list of records that is put together from two eras.
TEST_CASE_METHOD(StoreEraFixture, "store client, era changes between pages, is a typed fault")
{
    hasSecondPage = true;
    CHECK(std::get<StoreFault>(readNewest()) == StoreFault::EraChanged);
    CHECK(eras->current() == StoreEra(5));
}

// Guards against eras that are read from what is no number, and against a refusal by another
// program that counts as a change.
TEST_CASE_METHOD(StoreEraFixture, "store client, era unreadable or in a refusal, is told as such")
{
    readNewest();
    status = 503;
    eraLines.clear();
    CHECK(std::get<StoreFault>(readNewest()) == StoreFault::Unavailable);
    CHECK(eras->current() == StoreEra(4));
    eraLines = "Store-Era: 5\r\n";
    CHECK(std::get<StoreFault>(readNewest()) == StoreFault::Unavailable);
    CHECK(eras->current() == StoreEra(5));
    status = 200;
    eraLines = GENERATE("Store-Era: \r\n", "Store-Era: -5\r\n", "Store-Era: 5.0\r\n",
                        "Store-Era: 99999999999999999999\r\n", "Store-Era: 5, 5\r\n",
                        "Store-Era: 5\r\nStore-Era: 6\r\n", "");
    CHECK(nextOf(readNewest()) == at(7));
    CHECK(eras->current() == std::nullopt);
}

// Guards against a record that counts as written although the store has lost it.
TEST_CASE_METHOD(StoreEraFixture,
                 "store client, write acknowledged in an ended era, is a typed fault")
{
    readNewest();
    std::optional<WriteResult> written;
    const auto append = [&] {
        written.reset();
        client->append(KeyedTopic::Daemons, "k", "v", seconds(1), [&](const WriteResult &fault) {
            written = fault;
            loop.stop();
        });
    };
    append();
    // Another call shows the new era before the answer to the write arrives.
    eras->onAnswer(StoreEra(5), eras->mark());
    runUntilDone();
    REQUIRE(written);
    CHECK(*written == StoreFault::EraChanged);
    eraLines = "Store-Era: 5\r\n";
    append();
    runUntilDone();
    REQUIRE(written);
    CHECK_FALSE(*written);
}
