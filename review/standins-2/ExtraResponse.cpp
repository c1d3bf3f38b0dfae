#include "Cases.h"
#include "Clients.h"

#include <fstream>
#include <set>

namespace review {

namespace {

// 28.2 a second on the sheet.
constexpr milliseconds interval{35};
constexpr int bookings = 2400;
constexpr milliseconds troubleFrom{4000};
// 5 s of trouble at a time, with 1 s between.
constexpr milliseconds troubleTime{5000};
constexpr milliseconds pause{1000};

/// Returns how often each request was run.
std::map<std::string, int> countRuns(const CaseOptions &options)
{
    std::map<std::string, int> runs;
    std::ifstream record(options.recordPath);
    std::string line;
    while (std::getline(record, line)) {
        const std::vector<std::string> words = split(line, ' ');
        if (words.size() > 3 && words[1] == "run")
            ++runs[words[3].substr(words[3].find('=') + 1)];
    }
    return runs;
}

bool isPromise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

/// Servers of bookings send an extra response after some of their answers, late, when the
/// connection is in use again. A request that is answered 503 must not have run, and none may run
/// twice.
int runExtraResponse(const CaseOptions &options)
{
    const std::vector<std::string> servers{"i-d1", "i-d2", "i-d3"};
    const std::string &faultyServer = servers[0];
    bool isInTrouble = false;
    Fleet fleet(options);
    for (const std::string &id : servers)
        fleet.startServer(id, "trial-desk", "booking", 6);
    RouteText route;
    route.name = "return-booking";
    route.kind = "unsafe";
    route.service = "trial-desk";
    route.timeoutMs = 800;
    route.maxAttempts = 1;
    fleet.putConfiguration(configurationText(7, {route}));
    const Fleet::Router router = fleet.startRouter("edge-fi-south-a-1");
    fleet.waitReady(router);

    Clients clients(router.callers, fleet.record());
    std::vector<std::thread> threads;
    threads.reserve(bookings);
    const auto start = Clock::now();
    for (int i = 0; i < bookings; ++i) {
        std::this_thread::sleep_until(start + interval * i);
        const milliseconds sinceTrouble = interval * i - troubleFrom;
        const bool isDue = options.hasTrouble && sinceTrouble.count() >= 0
                           && sinceTrouble % (troubleTime + pause) < troubleTime;
        if (isDue != isInTrouble) {
            isInTrouble = isDue;
            if (isDue)
                fleet.troubleServer(faultyServer);
            else
                fleet.calmServer(faultyServer);
        }
        threads.emplace_back([&clients, i] {
            RequestText request;
            request.method = "POST";
            request.route = "return-booking";
            request.id = "booking" + std::to_string(i);
            request.deadlineMs = 1500;
            request.body = R"({"order":)" + std::to_string(i) + "}";
            clients.send(request);
        });
    }
    for (std::thread &thread : threads)
        thread.join();

    const std::map<std::string, int> runs = countRuns(options);
    int answered = 0;
    int refused = 0;
    int broken = 0;
    int twice = 0;
    for (const Outcome &outcome : clients.outcomes()) {
        answered += outcome.status == 200 && outcome.isWhole ? 1 : 0;
        refused += isPromise(outcome.status) ? 1 : 0;
        const auto found = runs.find(outcome.request);
        const int count = found == runs.end() ? 0 : found->second;
        twice += count > 1 ? 1 : 0;
        if (!isPromise(outcome.status) || count == 0)
            continue;
        ++broken;
        fleet.record().write("answered " + std::to_string(outcome.status)
                             + " and has run: request=" + outcome.request);
    }
    fleet.record().write("result: bookings=" + std::to_string(bookings) + " answered="
                         + std::to_string(answered) + " refused=" + std::to_string(refused)
                         + " refused_and_run=" + std::to_string(broken)
                         + " run_twice=" + std::to_string(twice));
    if (answered == 0)
        giveUp("no booking was answered");
    return broken > 0 || twice > 0 ? ruleBroken : ruleHeld;
}

} // namespace review
