#include "app/KeyCommands.h"

#include "app/CommandLine.h"
#include "app/LogCommandOptions.h"
#include "app/NoteCommands.h"
#include "app/NoteLog.h"
#include "claims/ClaimStateMachine.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace lovagecourse {

namespace {

const LogCommandUsage usage{"keys", "Idempotency keys whose requests may have run",
                            "unsettled | settle ACCOUNT KEY ran|not-run"};

/// What was expected of sub-command and arguments; empty when they can be used.
std::string checkArguments(const LogCommandOptions &options)
{
    const bool isSettle = options.command == "settle";
    if (!isSettle && options.command != "unsettled")
        return "expected unsettled or settle";
    if (options.arguments.size() != (isSettle ? 3U : 0U))
        return options.command + ": expected "
               + (isSettle ? "ACCOUNT KEY ran|not-run" : "no argument");
    if (isSettle && options.arguments[2] != "ran" && options.arguments[2] != "not-run")
        return "settle: expected ran or not-run";
    return {};
}

/// Reads and folds the whole stream; prints why it can't.
bool readClaims(NoteLog &log, ClaimStateMachine &claimState)
{
    const ReadResult result = log.readAll(LogOffset(0));
    if (const auto *failure = std::get_if<PlatformFailure>(&result)) {
        std::cerr << "the platform can't be reached: " << toString(*failure) << '\n';
        return false;
    }
    for (const LogRecord &record : std::get<LogBatch>(result).records)
        claimState.apply(record);
    return true;
}

/// UTC, such as 2026-03-14T09:26:53Z.
std::string formatTime(WallTime time)
{
    const std::time_t count = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&count, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

int printUnsettled(const LogCommandOptions &options, const ClaimStateMachine &claimState)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[key, state] : claimState.unsettledKeys()) {
        if (!options.isJson) {
            std::cout << "account " << key.account << ", key " << key.key << ", server "
                      << state.server << ", claimed " << formatTime(state.claimedAt)
                      << ", may run until " << formatTime(state.mayRunUntil) << '\n';
            continue;
        }
        rows.push_back({{"account", key.account.value},
                        {"key", key.key.value},
                        {"server", state.server.value},
                        {"claim", state.claim.value},
                        {"claimed_at_ms", toEpochMilliseconds(state.claimedAt)},
                        {"may_run_until_ms", toEpochMilliseconds(state.mayRunUntil)}});
    }
    if (options.isJson)
        std::cout << rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    return 0;
}

/// Settles one key, from the check of its state to the state that the log then gives it.
int settle(const LogCommandOptions &options, NoteLog &log, const ClaimStateMachine &before)
{
    const AccountKey key{AccountId(options.arguments[0]), IdempotencyKey(options.arguments[1])};
    const bool ran = options.arguments[2] == "ran";
    const KeyState state = before.state(key);
    if (state.phase != KeyPhase::Unsettled) {
        std::cerr << "the key is not unsettled; nothing was settled\n";
        return exitKeyNotUnsettled;
    }
    if (SystemClock().wallNow() < state.mayRunUntil) {
        std::cerr << "the request may still run until " << formatTime(state.mayRunUntil)
                  << "; ask the server after that time; nothing was settled\n";
        return exitKeyMayRun;
    }
    const std::string recordId = randomRecordId("settlement-");
    const auto appended = log.append(recordId, settlementRecordBody(key, state.claim, ran));
    if (const auto *failure = std::get_if<NoteAppendFailure>(&appended)) {
        std::cerr << "the platform can't be reached: " << toString(failure->failure) << "; "
                  << (failure->mayBeStored ? "the settlement may have been stored"
                                           : "nothing was settled")
                  << '\n';
        return exitPlatform;
    }
    ClaimStateMachine after;
    if (!readClaims(log, after))
        return exitPlatform;
    const KeyState settled = after.state(key);
    // A claim of a later call may stand already after a settlement of not-run.
    const bool isOpen = settled.phase == KeyPhase::Unsettled && settled.claim == state.claim;
    if (isOpen) {
        std::cerr << "by the platform's clock the request may still run; nothing was settled\n";
        return exitKeyMayRun;
    }
    const bool isKnownToRun = settled.claim == state.claim;
    if (isKnownToRun != ran) {
        std::cerr << "the log settled the key otherwise before\n";
        return exitKeyNotUnsettled;
    }
    if (options.isJson)
        std::cout << nlohmann::json{{"settled", options.arguments[2]}} << '\n';
    else
        std::cout << "the key is settled as " << options.arguments[2] << '\n';
    return 0;
}

} // namespace

int runKeyCommand(int argc, char **argv)
{
    const auto options = parseLogCommand(usage, argc, argv, &checkArguments);
    if (!options)
        return exitUsage;
    if (options->isHelp) {
        std::cout << logCommandHelp(usage);
        return 0;
    }
    NoteLog log(options->platformUrl, options->timeout, "claims");
    ClaimStateMachine claimState;
    if (!readClaims(log, claimState))
        return exitPlatform;
    return options->command == "settle" ? settle(*options, log, claimState)
                                        : printUnsettled(*options, claimState);
}

} // namespace lovagecourse
