#include "Checks.h"

#include <algorithm>
#include <unistd.h>

namespace review {

namespace {

constexpr double memoryLimitMb = 260;
// LOST counts more than three.
constexpr int allowedCuts = 3;

} // namespace

std::unique_ptr<Server> addServer(Store &store, const std::string &id, const std::string &service,
                                  Server::Handler handler)
{
    auto server = std::make_unique<Server>(id, service, std::move(handler));
    store.put(serversTopic, id, server->entry());
    return server;
}

Server::Handler soundDesk(Record &record, Runs &runs, const std::string &id, double workMs)
{
    return [&record, &runs, id, workMs](Connection &connection, const Message &request) {
        const std::string attempt = request.header("x-lovagecourse-attempt-id");
        runs.add(attempt);
        record.write("server ", id, " runs ", attempt, ", body of ", request.body.size(), " bytes");
        sleepMs(workMs);
        return connection.send(answerTo(request, 200, "booked"));
    };
}

Server::Handler soundModel(double firstEventMs, double pauseMs, int events)
{
    return [=](Connection &connection, const Message &request) {
        sleepMs(firstEventMs);
        std::string head = streamHead(request);
        for (int event = 1; event <= events; ++event) {
            if (!connection.send(head + chunk(eventText(event))))
                return false;
            head.clear();
            sleepMs(pauseMs);
        }
        return connection.send("0\r\n\r\n");
    };
}

std::string promptHeaders(int number)
{
    constexpr int sharedParts = 290;
    constexpr int firstOwnPart = 1 << 20;
    std::ostringstream text;
    text << "X-Lovagecourse-Model: m\r\nX-Lovagecourse-Token-Usage: 1460,170\r\n"
         << "X-Lovagecourse-Prompt-Prefix: " << std::hex << 1 + number % sharedParts << ":350,"
         << firstOwnPart + number << ":1110\r\n";
    return text.str();
}

[[noreturn]] void finish(Record &record, Router &router, Verdict verdict)
{
    router.kill();
    router.removeFolder();
    record.write("verdict ", static_cast<int>(verdict));
    _exit(static_cast<int>(verdict));
}

void requireReady(Record &record, Router &router)
{
    if (router.isReady())
        return;
    record.write("the router is not ready");
    finish(record, router, Verdict::NotRun);
}

[[noreturn]] void judgeCuts(Record &record, Router &router, const KeptClients &clients)
{
    record.write("requests of kept connections that ran at sound servers and were cut: ",
                 clients.cut(), ", answered: ", clients.answered());
    if (clients.answered() == 0)
        finish(record, router, Verdict::NotRun);
    finish(record, router, clients.cut() > allowedCuts ? Verdict::Broken : Verdict::Held);
}

void enforceMemoryLimit(Record &record, Router &router, double forMs)
{
    double most = 0;
    const double begin = nowMs();
    while (nowMs() - begin < forMs && router.isRunning()) {
        const double used = router.memoryMb();
        most = std::max(most, used);
        if (used > memoryLimitMb) {
            record.write("the router uses ", used, " MB of ", memoryLimitMb,
                         " MB: the platform kills it");
            router.kill();
        }
        sleepMs(5);
    }
    record.write("most memory of the router: ", most, " MB");
}

std::map<std::string, Case> &allCases()
{
    static std::map<std::string, Case> cases;
    return cases;
}

} // namespace review
