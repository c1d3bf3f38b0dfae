#pragma once

#include "Standins.h"

#include <map>
#include <memory>
#include <string>

namespace review {

/// Result of a case, as its exit status.
enum class Verdict : std::uint8_t { Held = 0, Broken = 1, NotRun = 2 };

constexpr const char *configurationTopic = "keyed.op";
constexpr const char *serversTopic = "keyed.servers";
/// Longer than stable_window_ms (3 s), so that the machine is in touch.
constexpr double calmMs = 4000;
constexpr int bookingDeadlineMs = 1500;
constexpr int reportDeadlineMs = 8000;

/// Starts a server and writes its entry into the store.
std::unique_ptr<Server> addServer(Store &store, const std::string &id, const std::string &service,
                                  Server::Handler handler);
/// A handler that runs a booking in the given time.
Server::Handler soundDesk(Record &record, Runs &runs, const std::string &id, double workMs);
/// A model server's sound answer: a stream of a few events.
Server::Handler soundModel(double firstEventMs, double pauseMs, int events);
/// Headers of a prompt of 1,460 tokens, of which 350 are shared with other requests.
std::string promptHeaders(int number);

/// Ends the router and this process. Threads of clients and servers still run, so that nothing may
/// be destroyed.
[[noreturn]] void finish(Record &record, Router &router, Verdict verdict);
void requireReady(Record &record, Router &router);
/// Judges by LOST: more than three requests of kept connections were cut.
[[noreturn]] void judgeCuts(Record &record, Router &router, const KeptClients &clients);
/// Kills the router when it needs more memory than its machine has, as the platform does.
void enforceMemoryLimit(Record &record, Router &router, double forMs);

/// Runs a case and ends the process with the verdict.
using Case = void (*)(Record &record, bool hasTrouble);
/// All cases by their names.
std::map<std::string, Case> &allCases();

/// Adds a case to the others before main() runs.
struct CaseRegistration
{
    CaseRegistration(const std::string &name, Case run) { allCases()[name] = run; }
};

} // namespace review
