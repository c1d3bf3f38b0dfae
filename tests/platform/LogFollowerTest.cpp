#include "platform/LogFollower.h"

#include <catch2/catch.hpp>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <deque>
#include <mutex>

using namespace lovagecourse;

namespace {

/// Platform that returns prepared answers in order; status 0 closes the connection.
class ScriptedPlatform
{
public:
    ScriptedPlatform()
    {
        sockaddr_in address = toSocketAddress(Endpoint{"127.0.0.1", 1});
        // Parallel runs of the tests must not use the same port.
        for (unsigned attempt = 0; server_ == nullptr && attempt < 100; ++attempt) {
            port_ = static_cast<std::uint16_t>(22100 + (getpid() + attempt * 7) % 900);
            address.sin_port = htons(port_);
            server_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, port_, nullptr, nullptr,
                                       &ScriptedPlatform::onRequest, this, MHD_OPTION_SOCK_ADDR,
                                       &address, MHD_OPTION_END);
        }
        REQUIRE(server_ != nullptr);
    }
    ~ScriptedPlatform() { MHD_stop_daemon(server_); }
    ScriptedPlatform(const ScriptedPlatform &) = delete;
    ScriptedPlatform &operator=(const ScriptedPlatform &) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }
    void prepare(unsigned status, const std::string &body)
    {
        const std::lock_guard lock(mutex_);
        answers_.emplace_back(status, body);
    }
    /// Offsets that the reads requested.
    std::vector<std::string> requestedOffsets()
    {
        const std::lock_guard lock(mutex_);
        return requestedOffsets_;
    }

private:
    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *, const char *,
                                const char *, const char *, std::size_t *size, void **context)
    {
        // Called first with the headers, then with each piece of the body, then at the end.
        if (*context == nullptr || *size > 0) {
            *context = self;
            *size = 0;
            return MHD_YES;
        }
        return static_cast<ScriptedPlatform *>(self)->answer(connection);
    }

    MHD_Result answer(MHD_Connection *connection)
    {
        const std::lock_guard lock(mutex_);
        const char *from = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "from");
        requestedOffsets_.emplace_back(from == nullptr ? "" : from);
        // After the last prepared answer, reads fail, so that the follower retries with backoff.
        auto [status, body] =
                answers_.empty() ? std::pair<unsigned, std::string>(503, "") : answers_.front();
        if (!answers_.empty())
            answers_.pop_front();
        if (status == 0)
            return MHD_NO;
        MHD_Response *response =
                MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
        const MHD_Result result = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    MHD_Daemon *server_ = nullptr;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::deque<std::pair<unsigned, std::string>> answers_;
    std::vector<std::string> requestedOffsets_;
};

struct LogFollowerFixture
{
    ScriptedPlatform platform;
    EventLoop loop;
    HttpClient http{loop};
    LogClient client{http, platform.url()};
    std::vector<LogBatch> batches;
    std::vector<bool> availability;
    std::unique_ptr<LogFollower> follower;

    static std::string batch(std::uint64_t oldest, std::uint64_t first, std::uint64_t next)
    {
        std::string records;
        for (std::uint64_t offset = first; offset < next; ++offset)
            records += std::string(records.empty() ? "" : ",") + "{\"offset\":"
                       + std::to_string(offset) + ",\"id\":\"r\",\"time_ms\":1,\"body\":\"b\"}";
        return "{\"oldest\":" + std::to_string(oldest) + ",\"next\":" + std::to_string(next)
               + ",\"records\":[" + records + "]}";
    }

    void follow(LogOffset from, std::size_t untilBatches)
    {
        follower = std::make_unique<LogFollower>(
                loop, client, "s", from,
                [this, untilBatches](const LogBatch &batch) {
                    batches.push_back(batch);
                    if (batches.size() == untilBatches) {
                        follower.reset();
                        loop.stop();
                    }
                },
                [this](bool available) { availability.push_back(available); });
        runLoop();
    }

    void runLoop()
    {
        Timer limit(loop, [this] { loop.stop(); });
        limit.startOnce(seconds(5));
        loop.run();
    }

    AppendResult append(milliseconds timeout)
    {
        AppendResult result;
        client.append("s", "id", "body", timeout, [&](const AppendResult &arrived) {
            result = arrived;
            loop.stop();
        });
        runLoop();
        return result;
    }
};

} // namespace

// Guards against records that are lost or repeated after an outage, and against a follower that
// calls its handlers after one of them destroyed it.
TEST_CASE_METHOD(LogFollowerFixture,
                 "log follower, outage between batches, continues at its offset")
{
    platform.prepare(200, batch(0, 0, 3));
    platform.prepare(0, "");
    platform.prepare(200, "not JSON");
    platform.prepare(200, batch(0, 3, 4));
    platform.prepare(200, batch(9, 9, 9));
    platform.prepare(200, batch(9, 9, 10));
    follow(LogOffset(0), 4);
    REQUIRE(batches.size() == 4);
    CHECK(batches[0].records.size() == 3);
    CHECK(batches[1].records.size() == 1);
    CHECK(batches[2].oldest == LogOffset(9));
    CHECK(batches[3].records.at(0).offset == LogOffset(9));
    CHECK(availability == std::vector<bool>{true, false, true});
    CHECK(platform.requestedOffsets() == std::vector<std::string>{"0", "3", "3", "3", "4", "9"});
}

// Guards against a daemon that accepts traffic before it has read all records, and against records
// that are delivered although they are already part of a peer's state.
TEST_CASE_METHOD(LogFollowerFixture, "log follower, skips ahead, drops older records")
{
    platform.prepare(200, batch(0, 0, 3));
    platform.prepare(200, batch(0, 3, 8));
    platform.prepare(200, batch(0, 8, 8));
    std::vector<bool> caughtUp;
    follower = std::make_unique<LogFollower>(
            loop, client, "s", LogOffset(0),
            [&](const LogBatch &batch) {
                batches.push_back(batch);
                caughtUp.push_back(follower->isCaughtUp());
                follower->skipTo(LogOffset(6));
                if (batches.size() == 3)
                    loop.stop();
            },
            [](bool) {});
    runLoop();
    REQUIRE(batches.size() == 3);
    CHECK(caughtUp == std::vector<bool>{false, false, true});
    CHECK(batches[1].records.at(0).offset >= LogOffset(6));
    CHECK(batches[1].records.size() == 2);
    CHECK(follower->next() == LogOffset(8));
}

// Guards against an append that counts as rejected although it may have taken effect.
TEST_CASE_METHOD(LogFollowerFixture,
                 "log client, answers of each kind, returns the matching result")
{
    platform.prepare(201, "{\"offset\":7}");
    CHECK(std::get<LogOffset>(append(seconds(2))) == LogOffset(7));
    platform.prepare(200, "{\"offset\":-7}");
    CHECK(std::holds_alternative<PlatformAnswerMalformed>(
            std::get<PlatformFailure>(append(seconds(2)))));
    platform.prepare(400, "{}");
    CHECK(std::get<PlatformRejected>(std::get<PlatformFailure>(append(seconds(2)))).httpStatus
          == 400);
    platform.prepare(503, "{}");
    CHECK(std::get<PlatformUnavailable>(std::get<PlatformFailure>(append(seconds(2)))).httpStatus
          == 503);
    platform.prepare(0, "");
    CHECK(std::holds_alternative<PlatformUnavailable>(
            std::get<PlatformFailure>(append(seconds(2)))));
}

// Guards against a follower that fails forever at a batch with too many large snapshots.
TEST_CASE_METHOD(LogFollowerFixture, "log client, batch too long, reads one record at a time")
{
    platform.prepare(200, std::string(17U << 20U, ' '));
    platform.prepare(200, batch(0, 0, 1));
    ReadResult result;
    client.read("s", LogOffset(0), milliseconds(0), [&](const ReadResult &arrived) {
        result = arrived;
        loop.stop();
    });
    runLoop();
    REQUIRE(std::holds_alternative<LogBatch>(result));
    CHECK(std::get<LogBatch>(result).records.size() == 1);
    CHECK(platform.requestedOffsets() == std::vector<std::string>{"0", "0"});
}
