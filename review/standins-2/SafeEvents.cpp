#include "Cases.h"

#include <set>
#include <thread>

namespace review {

namespace {

constexpr int clientCount = 6;
constexpr milliseconds callTimeout{9000};
// The answers take 2 s, so that all of them are under way.
constexpr milliseconds crashDelay{800};

/// Servers whose pieces are in the body.
std::set<std::string> writersOf(const std::string &body)
{
    std::set<std::string> writers;
    for (const std::string &line : split(body, '\n')) {
        const std::vector<std::string> words = split(line, ' ');
        if (words.size() > 2 && words[0] == "data:")
            writers.insert(words[1]);
    }
    return writers;
}

} // namespace

/// A server of a safe route crashes while it answers with an event stream whose events have no
/// ids. A success that arrives whole must be the whole body of one server.
int runSafeEvents(const CaseOptions &options)
{
    Fleet fleet(options);
    for (const char *id : {"i-a1", "i-b2", "i-c3"})
        fleet.startServer(id, "trial-desk", "events-plain", 6);
    RouteText route;
    route.name = "trial-status";
    route.kind = "safe";
    route.service = "trial-desk";
    fleet.putConfiguration(configurationText(7, {route}));
    const Fleet::Router router = fleet.startRouter("edge-fi-south-a-1");
    fleet.waitReady(router);

    std::vector<CallResult> results(clientCount);
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            RequestText request;
            request.route = route.name;
            request.id = "status" + std::to_string(i);
            fleet.record().write("sent request=" + request.id);
            results[i] = call(router.callers, request.text(), callTimeout);
        });
    }
    std::this_thread::sleep_for(crashDelay);
    if (options.hasTrouble)
        fleet.killServer("i-b2");
    for (std::thread &client : clients)
        client.join();

    bool isBroken = false;
    int wholeCount = 0;
    for (int i = 0; i < clientCount; ++i) {
        const auto &answer = results[i].answer;
        const std::string body = answer ? answer->body : std::string();
        const std::set<std::string> writers = writersOf(body);
        const bool isSuccess = answer && answer->status() == 200 && answer->isWhole;
        const bool isMixed = isSuccess && writers.size() != 1;
        wholeCount += isSuccess && !isMixed ? 1 : 0;
        isBroken = isBroken || isMixed;
        fleet.record().write("answered request=status" + std::to_string(i)
                             + " status=" + std::to_string(answer ? answer->status() : 0)
                             + " whole=" + (answer && answer->isWhole ? "1" : "0") + " stamp="
                             + (answer ? answer->header("x-lovagecourse-server-stamp") : "")
                             + " mixed=" + (isMixed ? "1" : "0"));
        for (const std::string &line : split(body, '\n')) {
            if (isMixed && !line.empty())
                fleet.record().write("  status" + std::to_string(i) + " body: " + line);
        }
    }
    if (!isBroken && wholeCount == 0)
        giveUp("no request was answered");
    return isBroken ? ruleBroken : ruleHeld;
}

} // namespace review
