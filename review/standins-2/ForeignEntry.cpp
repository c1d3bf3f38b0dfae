#include "Cases.h"

#include <fstream>

namespace review {

namespace {

constexpr int bookings = 170;
// 28.2 a second on the sheet.
constexpr milliseconds bookingInterval{35};
// The other writer writes its entry five times, each 0.8 s.
constexpr int firstTrouble = 60;
constexpr int lastTrouble = 152;
constexpr int bookingsBetweenTroubles = 23;

/// Returns the bookings that servers of the other service have run.
std::vector<std::string> misroutedRuns(const CaseOptions &options)
{
    std::vector<std::string> runs;
    std::ifstream record(options.recordPath);
    std::string line;
    while (std::getline(record, line)) {
        const std::vector<std::string> words = split(line, ' ');
        if (words.size() > 3 && words[1] == "run" && words[2].starts_with("server=i-p"))
            runs.push_back(words[3]);
    }
    return runs;
}

} // namespace

/// Another writer writes an entry of the servers' list, under the id of a model server, with
/// fields missing. It names no server to use.
int runForeignEntry(const CaseOptions &options)
{
    Fleet fleet(options);
    for (const char *id : {"i-d1", "i-d2", "i-d3"})
        fleet.startServer(id, "trial-desk", "plain", 6);
    for (const char *id : {"i-p1", "i-p2", "i-p3"})
        fleet.startServer(id, "lovage-pool", "plain", 128);
    RouteText booking;
    booking.name = "return-booking";
    booking.kind = "unsafe";
    booking.service = "trial-desk";
    booking.timeoutMs = 1500;
    booking.maxAttempts = 1;
    RouteText report;
    report.name = "night-report";
    report.kind = "streaming";
    report.service = "lovage-pool";
    fleet.putConfiguration(configurationText(7, {booking, report}));
    const Fleet::Router router = fleet.startRouter("edge-fi-south-a-1");
    fleet.waitReady(router);

    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    clients.reserve(bookings);
    for (int i = 0; i < bookings; ++i) {
        std::this_thread::sleep_for(bookingInterval);
        const bool isDue = i >= firstTrouble && i <= lastTrouble
                           && (i - firstTrouble) % bookingsBetweenTroubles == 0;
        if (options.hasTrouble && isDue) {
            fleet.record().write("trouble another writer: entry of i-p1 without version, "
                                 "cold_left_ms, sequence and born, with service trial-desk");
            fleet.store().put("keyed.servers", "i-p1",
                              R"({"service":"trial-desk","address":"127.0.0.1:)"
                                      + std::to_string(fleet.server("i-p1").port)
                                      + R"(","zone":"fi-south-a","slots":6,"state":"ready"})");
        }
        clients.emplace_back([&, i] {
            RequestText request;
            request.method = "POST";
            request.route = booking.name;
            request.id = "booking" + std::to_string(i);
            request.deadlineMs = 1500;
            request.body = R"({"order":)" + std::to_string(i) + "}";
            fleet.record().write("sent request=" + request.id);
            const CallResult result = call(router.callers, request.text(), milliseconds(2000));
            const int status = result.answer ? result.answer->status() : 0;
            answered += status == 200 ? 1 : 0;
            fleet.record().write("answered request=" + request.id
                                 + " status=" + std::to_string(status) + " stamp="
                                 + (result.answer
                                            ? result.answer->header("x-lovagecourse-server-stamp")
                                            : std::string()));
        });
    }
    for (std::thread &client : clients)
        client.join();
    const std::vector<std::string> misrouted = misroutedRuns(options);
    for (const std::string &request : misrouted)
        fleet.record().write("run by lovage-pool, not allowed by any configuration: " + request);
    fleet.record().write("result: bookings=" + std::to_string(bookings)
                         + " answered=" + std::to_string(answered)
                         + " run_by_lovage_pool=" + std::to_string(misrouted.size()));
    if (answered == 0)
        giveUp("no booking was answered");
    return misrouted.empty() ? ruleHeld : ruleBroken;
}

} // namespace review
