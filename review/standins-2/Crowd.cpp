#include "Cases.h"
#include "Clients.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <memory>
#include <set>

namespace review {

namespace {

double toSeconds(milliseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A kind of request on the sheet of unikoski-trials.
struct RequestShape
{
    const char *route;
    int perSecond;
    int subjects;
    int sharedTokens;
    int ownTokens;
    int outputTokens;
    int timeoutMs;
    std::size_t bodyBytes;
};

constexpr std::array<RequestShape, 3> shapes{{
        {"night-report", 113, 700, 13300, 3720, 120, 8000, 17000},
        {"trial-summary", 51, 300, 6300, 2890, 50, 5000, 9200},
        {"comfort-chat", 108, 400, 350, 1110, 170, 10000, 1500},
}};

/// Servers behind one router, and clients of it.
struct CrowdPlan
{
    int servers = 18;
    std::string mode = "events";
    /// Of these, the first ones write without end once the trouble begins.
    int faultyServers = 0;
    int slots = 128;
    /// Clients that nobody controls; they come in strangersWithin from the trouble's begin on.
    int strangers = 0;
    milliseconds strangersWithin{3000};
    milliseconds troubleAt{4000};
    milliseconds length{11000};
    double memoryMb = 260;
};

/// Returns the request of the client with this number, by the shares of the sheet.
RequestText requestOf(int number)
{
    int total = 0;
    for (const RequestShape &shape : shapes)
        total += shape.perSecond;
    // A multiplier without common factors spreads the kinds evenly.
    int left = number * 101 % total;
    const RequestShape *shape = shapes.data();
    while (left >= shape->perSecond)
        left -= (shape++)->perSecond;
    RequestText request;
    request.method = "POST";
    request.route = shape->route;
    request.id = std::string(shape->route) + std::to_string(number);
    request.deadlineMs = shape->timeoutMs;
    request.headers = "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: "
                      + std::to_string(shape->sharedTokens + shape->ownTokens) + ','
                      + std::to_string(shape->outputTokens) + "\r\nX-Lovagecourse-Prompt-Prefix: "
                      + std::to_string(shape->timeoutMs + number * 7 % shape->subjects) + ':'
                      + std::to_string(shape->sharedTokens) + ",f" + std::to_string(number) + ':'
                      + std::to_string(shape->ownTokens) + "\r\n";
    request.body = std::string(shape->bodyBytes, 'b');
    return request;
}

/// Returns a request whose head has many short lines and is within the limits of the configuration.
RequestText strangerRequest(int number)
{
    constexpr int lines = 600;
    RequestText request;
    request.method = "POST";
    request.route = "comfort-chat";
    request.id = "stranger" + std::to_string(number);
    request.headers = "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: 20,100\r\n";
    for (int i = 0; i < lines; ++i)
        request.headers += "x" + std::to_string(i) + ": 1\r\n";
    request.body = "{}";
    return request;
}

/// Returns the requests that sound servers have run.
std::set<std::string> soundRuns(const CaseOptions &options, int faultyServers)
{
    std::set<std::string> faulty;
    for (int i = 0; i < faultyServers; ++i)
        faulty.insert("server=i-e" + std::to_string(i));
    std::set<std::string> runs;
    std::ifstream record(options.recordPath);
    std::string line;
    while (std::getline(record, line)) {
        const std::vector<std::string> words = split(line, ' ');
        if (words.size() > 3 && words[1] == "run" && !faulty.contains(words[2]))
            runs.insert(words[3].substr(words[3].find('=') + 1));
    }
    return runs;
}

/// Acts as the platform, which kills a process that uses more memory than its machine has. Returns
/// the highest use, in MB.
double watchMemory(Fleet &fleet, const Fleet::Router &router, double limitMb,
                   const std::atomic<bool> &isOver)
{
    double highestMb = 0;
    while (!isOver) {
        const double nowMb = Fleet::residentMb(router);
        highestMb = std::max(highestMb, nowMb);
        if (nowMb > limitMb) {
            fleet.record().write("platform: the router uses " + std::to_string(nowMb)
                                 + " MB, more than memory_mb");
            fleet.killRouter(router);
            return highestMb;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return highestMb;
}

/// Plays the crowd. The rule is broken if the router closes more than three kept connections
/// without an answer to a request that a sound server has run.
int playCrowd(const CaseOptions &options, const CrowdPlan &plan)
{
    constexpr int allowedLosses = 3;
    Fleet fleet(options);
    fleet.setValue("limits.memory_mb", std::to_string(static_cast<int>(plan.memoryMb)));
    for (int i = 0; i < plan.servers; ++i)
        fleet.startServer("i-e" + std::to_string(i), "lovage-pool",
                          i < plan.faultyServers ? "endless" : plan.mode, plan.slots);
    std::vector<RouteText> routes;
    int perSecond = 0;
    for (const RequestShape &shape : shapes) {
        RouteText route;
        route.name = shape.route;
        route.kind = "streaming";
        route.service = "lovage-pool";
        route.timeoutMs = shape.timeoutMs;
        route.maxAttempts = 1;
        routes.push_back(route);
        perSecond += shape.perSecond;
    }
    fleet.putConfiguration(configurationText(7, routes));
    const Fleet::Router router = fleet.startRouter("edge-fi-south-a-1");
    fleet.waitReady(router);
    std::this_thread::sleep_for(untilInTouch);

    Clients clients(router.callers, fleet.record());
    Clients strangers(router.callers, fleet.record());
    std::vector<std::thread> threads;
    std::atomic<bool> isOver{false};
    double highestMb = 0;
    std::thread platform([&] { highestMb = watchMemory(fleet, router, plan.memoryMb, isOver); });
    const auto start = Clock::now();
    const auto at = [&](milliseconds time) { std::this_thread::sleep_until(start + time); };
    std::thread trouble([&] {
        at(plan.troubleAt);
        for (int i = 0; i < plan.faultyServers; ++i)
            fleet.troubleServer("i-e" + std::to_string(i));
    });
    const auto sheetCount = static_cast<int>(perSecond * toSeconds(plan.length));
    int strangerCount = 0;
    for (int i = 0; i < sheetCount; ++i) {
        at(plan.length * i / sheetCount);
        threads.emplace_back([&clients, i] { clients.send(requestOf(i)); });
        const auto passed = Clock::now() - start - plan.troubleAt;
        const auto due = plan.strangers
                         * toSeconds(std::chrono::duration_cast<milliseconds>(passed))
                         / toSeconds(plan.strangersWithin);
        for (; strangerCount < std::min(due, double(plan.strangers)); ++strangerCount)
            threads.emplace_back(
                    [&strangers, n = strangerCount] { strangers.send(strangerRequest(n)); });
    }
    for (std::thread &thread : threads)
        thread.join();
    trouble.join();
    isOver = true;
    platform.join();

    const std::set<std::string> runs = soundRuns(options, plan.faultyServers);
    int whole = 0;
    int refused = 0;
    int lost = 0;
    for (const Outcome &outcome : clients.outcomes()) {
        whole += outcome.status == 200 && outcome.isWhole ? 1 : 0;
        refused += outcome.status == 503 ? 1 : 0;
        const bool isLost = outcome.isKept && outcome.isClosed && runs.contains(outcome.request);
        lost += isLost ? 1 : 0;
        if (isLost)
            fleet.record().write("lost request=" + outcome.request);
    }
    fleet.record().write("result: requests=" + std::to_string(sheetCount) + " whole="
                         + std::to_string(whole) + " refused=" + std::to_string(refused) + " lost="
                         + std::to_string(lost) + " strangers=" + std::to_string(strangerCount)
                         + " highest_mb=" + std::to_string(highestMb)
                         + " limit_mb=" + std::to_string(plan.memoryMb));
    if (whole == 0)
        giveUp("no request was answered");
    return lost > allowedLosses ? ruleBroken : ruleHeld;
}

} // namespace

/// Three of 18 servers begin to write events that never end.
int runEndlessEvents(const CaseOptions &options)
{
    CrowdPlan plan;
    plan.faultyServers = options.hasTrouble ? 3 : 0;
    return playCrowd(options, plan);
}

/// Clients that nobody controls send requests whose heads have many lines, but are legal.
int runManyHeaders(const CaseOptions &options)
{
    CrowdPlan plan;
    plan.strangers = options.hasTrouble ? 900 : 0;
    plan.mode = "events-slow";
    return playCrowd(options, plan);
}

} // namespace review
