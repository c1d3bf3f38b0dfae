#include "Cases.h"
#include "Clients.h"

#include <array>

namespace review {

namespace {

constexpr int timeoutMs = 1500;
// Half a second after the timeout.
constexpr double lateMs = timeoutMs + 500;
// Return bookings and trial statuses of the sheet: 39.5 a second.
constexpr milliseconds interval{25};
constexpr int requestCount = 480;
constexpr milliseconds strangersAt{3000};
constexpr int strangerCount = 160;
constexpr milliseconds strangerInterval{4};
constexpr int partsPerPrompt = 1800;
// After the last stranger has come.
constexpr milliseconds crashAt{3800};

/// Returns a request whose prompt has many parts. The head stays within the limit.
RequestText longPrompt(int number)
{
    constexpr int firstId = 0x10000;
    RequestText request;
    request.method = "POST";
    request.route = "night-report";
    request.id = "stranger" + std::to_string(number);
    request.headers = "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: 1800,10\r\n"
                      "X-Lovagecourse-Prompt-Prefix: ";
    for (int i = 0; i < partsPerPrompt; ++i) {
        std::array<char, 16> part{};
        const int length = std::snprintf(part.data(), part.size(), "%s%x:1", i > 0 ? "," : "",
                                         firstId + number * partsPerPrompt + i);
        request.headers.append(part.data(), static_cast<std::size_t>(length));
    }
    request.headers += "\r\n";
    request.body = "{}";
    return request;
}

} // namespace

/// Clients that nobody controls send prompts with many parts, and the servers that read them crash.
/// Requests to other servers must have their final answer half a second after the timeout.
int runLongPrompts(const CaseOptions &options)
{
    const std::array<const char *, 6> pool{"i-p1", "i-p2", "i-p3", "i-p4", "i-p5", "i-p6"};
    Fleet fleet(options);
    for (const char *id : {"i-d1", "i-d2", "i-d3"})
        fleet.startServer(id, "trial-desk", "plain", 6);
    for (const char *id : pool)
        fleet.startServer(id, "lovage-pool", "slow-start", 128);
    RouteText status;
    status.name = "trial-status";
    status.kind = "safe";
    status.service = "trial-desk";
    status.timeoutMs = timeoutMs;
    RouteText report;
    report.name = "night-report";
    report.kind = "streaming";
    report.service = "lovage-pool";
    report.maxAttempts = 1;
    fleet.putConfiguration(configurationText(7, {status, report}));
    const Fleet::Router router = fleet.startRouter("edge-fi-south-a-1");
    fleet.waitReady(router);
    std::this_thread::sleep_for(untilInTouch);

    Clients clients(router.callers, fleet.record());
    Clients strangers(router.callers, fleet.record());
    const auto start = Clock::now();
    std::thread trouble([&] {
        std::vector<std::thread> threads;
        threads.reserve(strangerCount);
        std::this_thread::sleep_until(start + strangersAt);
        for (int i = 0; i < strangerCount; ++i) {
            threads.emplace_back([&strangers, i] { strangers.send(longPrompt(i)); });
            std::this_thread::sleep_for(strangerInterval);
        }
        std::this_thread::sleep_until(start + crashAt);
        for (const char *id : pool) {
            if (options.hasTrouble)
                fleet.killServer(id);
        }
        for (std::thread &thread : threads)
            thread.join();
    });
    std::vector<std::thread> threads;
    threads.reserve(requestCount);
    for (int i = 0; i < requestCount; ++i) {
        std::this_thread::sleep_until(start + interval * i);
        threads.emplace_back([&clients, i] {
            RequestText request;
            request.route = "trial-status";
            request.id = "status" + std::to_string(i);
            // Longer than the timeout, so that the timeout ends the request.
            request.deadlineMs = 4000;
            clients.send(request);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    trouble.join();

    int answered = 0;
    int open = 0;
    int late = 0;
    double longestMs = 0;
    for (const Outcome &outcome : clients.outcomes()) {
        answered += outcome.status == 200 && outcome.isWhole ? 1 : 0;
        open += outcome.tookMs > timeoutMs ? 1 : 0;
        late += outcome.tookMs > lateMs ? 1 : 0;
        longestMs = std::max(longestMs, outcome.tookMs);
    }
    fleet.record().write("result: requests=" + std::to_string(requestCount) + " answered="
                         + std::to_string(answered) + " open_at_timeout=" + std::to_string(open)
                         + " open_half_a_second_later=" + std::to_string(late)
                         + " longest_ms=" + std::to_string(static_cast<int>(longestMs)));
    if (answered == 0)
        giveUp("no request was answered");
    constexpr int fewestLate = 8;
    return late >= fewestLate && 2 * late > open ? ruleBroken : ruleHeld;
}

} // namespace review
