#include "app/KeyCommands.h"

#include "app/BlockingLogClient.h"
#include "app/CommandLine.h"
#include "app/LogCommandOptions.h"
#include "app/NoteCommands.h"
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

/// Returns the error in the sub-command or its arguments; empty if they are valid.
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

/// Reads the whole stream "claims" and applies its records; on failure prints the error and returns
/// false.
bool readClaims(BlockingLogClient &log, ClaimStateMachine &claimState)
{
    const ReadResult result = log.readAll(LogOffset(0));
    if (const auto *failure = std::get_if<PlatformFailure>(&result)) {
        std::cerr << "cannot read the log: " << toString(*failure) << '\n';
        return false;
    }
    for (const LogRecord &record : std::get<LogBatch>(result).records)
        claimState.apply(record);
    return true;
}

/// Formats a time in UTC, such as 2026-03-14T09:26:53Z.
std::string formatTime(WallTime time)
{
    const std::time_t epochSeconds = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&epochSeconds, &utc);
    std::ostringstream text;
    text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
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

/// Settles one key: checks its state, appends the settlement and reads the log again to see whether
/// it took effect. Returns the exit code.
int settle(const LogCommandOptions &options, BlockingLogClient &log,
           const ClaimStateMachine &claimState)
{
    const AccountKey key{AccountId(options.arguments[0]), IdempotencyKey(options.arguments[1])};
    const bool ran = options.arguments[2] == "ran";
    const KeyState state = claimState.state(key);
    if (state.phase != KeyPhase::Unsettled) {
        std::cerr << "the key is not unsettled; nothing was changed\n";
        return exitKeyNotUnsettled;
    }
    if (SystemClock().wallNow() < state.mayRunUntil) {
        std::cerr << "the request may still run until " << formatTime(state.mayRunUntil)
                  << "; check at the server after that time whether it ran; nothing was changed\n";
        return exitKeyMayRun;
    }
    const std::string recordId = randomRecordId("settlement-");
    const auto appended = log.append(recordId, settlementRecordBody(key, state.claim, ran));
    if (const auto *failure = std::get_if<AppendFailure>(&appended)) {
        std::cerr << "cannot append the settlement: " << toString(failure->failure) << "; "
                  << (failure->mayBeStored ? "the settlement may have been stored"
                                           : "nothing was changed")
                  << '\n';
        return exitPlatformFailure;
    }
    ClaimStateMachine updatedState;
    if (!readClaims(log, updatedState))
        return exitPlatformFailure;
    const KeyState settled = updatedState.state(key);
    // After a settlement of not-run, the claim of a later request may already hold the key.
    const bool isStillUnsettled =
            settled.phase == KeyPhase::Unsettled && settled.claim == state.claim;
    if (isStillUnsettled) {
        std::cerr << "by the platform's clock the request may still run; nothing was changed\n";
        return exitKeyMayRun;
    }
    const bool isKnownToHaveRun = settled.claim == state.claim;
    if (isKnownToHaveRun != ran) {
        std::cerr << "an earlier log record settled the key with the other result\n";
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
    BlockingLogClient log(options->platformUrl, options->timeout, "claims");
    ClaimStateMachine claimState;
    if (!readClaims(log, claimState))
        return exitPlatformFailure;
    return options->command == "settle" ? settle(*options, log, claimState)
                                        : printUnsettled(*options, claimState);
}

} // namespace lovagecourse
