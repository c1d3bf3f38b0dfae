#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

// Long enough for a busy machine.
constexpr std::chrono::seconds limit{30};

constexpr const char *resumableConfiguration =
        R"({"version":2,"routes":[{"name":"resume","hostname":"a.example",)"
        R"("path_prefix":"/plain/","route_kind":"streaming","resumable":true,)"
        R"("timeout_ms":120000,"slo_ms":100000,"priority":1,"service":"pool","max_attempts":1,)"
        R"("public":true}],)"
        R"("services":[{"name":"pool","health_path":"/healthz","max_conns":1000,)"
        R"("protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1000000},)"
        R"("tenants":[]})";

/// A router whose only server has the version "v1", on a resumable route.
struct TakeUpOutOfStepFixture
{
    std::atomic<int> takeUpsAtServer = 0;
    RouterHost host{maxMemoryMb, [this](LoopbackConnection &connection, RawMessage &request) {
                        if (request.header("last-event-id").empty())
                            return answerOk(connection, request);
                        ++takeUpsAtServer;
                        const std::string event = "id: 3\ndata: 3\n\n";
                        return connection.send(answerHead(request)
                                               + "Content-Type: text/event-stream\r\n"
                                                 "Content-Length: "
                                               + std::to_string(event.size()) + "\r\n\r\n" + event);
                    }};

    TakeUpOutOfStepFixture()
    {
        host.writeOperatorRecord("config", resumableConfiguration);
        const bool isRead = waitUntil(limit, [this] {
            return host.log().find("event=configuration version=2") != std::string::npos;
        });
        if (!isRead)
            throw std::runtime_error("the configuration is not in force");
    }

    /// Sends a request that takes up a stream of which the router does not know.
    LoopbackConnection sendTakeUp() const
    {
        LoopbackConnection caller(host.callers());
        caller.send(requestHead("/plain/x")
                    + "Resumes: 0190d5a0-0000-7000-8000-000000000001\r\n"
                      "Last-Event-Id: 2\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }
    static int status(LoopbackConnection &caller)
    {
        RawMessage answer;
        return readHead(caller, answer, limit) ? answer.status() : 0;
    }
    void registerNewerVersion()
    {
        std::string entry = host.serverEntry();
        entry.replace(entry.find("\"v1\""), 4, "\"v2\"");
        host.writeServerRecord("pool-2", entry);
    }
};

} // namespace

// Guards against a router that stood still during a release and takes the version from before for
// the only one, so that a stream goes on at a version that did not begin it.
TEST_CASE_METHOD(TakeUpOutOfStepFixture,
                 "take-up out of step, newer version came while the router stood still, is refused")
{
    host.process().suspend();
    registerNewerVersion();
    LoopbackConnection caller = sendTakeUp();
    host.process().resume();
    CHECK(status(caller) == 503);
    CHECK(takeUpsAtServer == 0);
}

// Guards against refused take-ups while there is a single version.
TEST_CASE_METHOD(TakeUpOutOfStepFixture, "take-up out of step, no other version came, goes on")
{
    host.process().suspend();
    LoopbackConnection caller = sendTakeUp();
    host.process().resume();
    // On a busy machine the read of the list may take longer than a client waits.
    const bool isServed = status(caller) == 200 || waitUntil(limit, [this] {
                              LoopbackConnection again = sendTakeUp();
                              return status(again) == 200;
                          });
    CHECK(isServed);
    CHECK(takeUpsAtServer == 1);
}
