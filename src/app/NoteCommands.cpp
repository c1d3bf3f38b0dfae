#include "app/NoteCommands.h"

#include "app/BlockingLogClient.h"
#include "app/CommandLine.h"
#include "app/LogCommandOptions.h"
#include "app/NoteFormatting.h"
#include "app/NoteHistory.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace lovagecourse {

namespace {

const LogCommandUsage usage{"note", "Release notes in the platform's log",
                            "submit FILE | list | show N | state | history"};

/// Returns the error in the sub-command or its arguments; empty if they are valid.
std::string checkArguments(const LogCommandOptions &options)
{
    const bool takesArgument = options.command == "submit" || options.command == "show";
    const bool isKnown = takesArgument || options.command == "list" || options.command == "state"
                         || options.command == "history";
    if (!isKnown)
        return "expected submit, list, show, state or history";
    if (options.arguments.size() != (takesArgument ? 1U : 0U))
        return options.command + ": expected " + (takesArgument ? "one argument" : "no argument");
    return {};
}

/// Reads a file, or standard input if the name is "-"; returns nothing on failure.
std::optional<std::string> readText(const std::string &file)
{
    using Characters = std::istreambuf_iterator<char>;
    if (file == "-")
        return std::string(Characters(std::cin), Characters());
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::string text{Characters(in), Characters()};
    if (in.bad())
        return std::nullopt;
    return text;
}

void printFaults(const std::string &file, const std::vector<NoteFault> &faults)
{
    for (const NoteFault &fault : faults)
        std::cerr << file << ':' << (fault.line == 0 ? " " : "") << toString(fault) << '\n';
}

/// Reads the whole stream "configuration"; on failure prints the error and returns nothing.
std::optional<NoteHistory> readHistory(BlockingLogClient &log)
{
    const ReadResult result = log.readAll(LogOffset(0));
    if (const auto *failure = std::get_if<PlatformFailure>(&result)) {
        std::cerr << "cannot read the log: " << toString(*failure) << '\n';
        return std::nullopt;
    }
    return buildHistory(std::get<LogBatch>(result));
}

/// Warns if the newest state cannot be computed from the log.
void warnIfIncomplete(const NoteHistory &history)
{
    if (!history.isComplete)
        std::cerr
                << "records of the log have expired and no snapshot covers them; the newest state "
                   "is unknown\n";
}

/// Command "note submit": validates a note, appends it to the log and reports its outcome.
class NoteSubmission
{
public:
    NoteSubmission(const LogCommandOptions &options, BlockingLogClient &log)
        : options_(options)
        , file_(options.arguments[0])
        , log_(log)
    {}

    int run()
    {
        const auto text = readText(file_);
        if (!text) {
            std::cerr << file_ << ": expected a readable file\n";
            return exitUsage;
        }
        const auto parsed = parseReleaseNote(*text);
        if (const auto *faults = std::get_if<std::vector<NoteFault>>(&parsed))
            return reportFaults(*faults);
        note_ = std::get<ReleaseNote>(parsed);
        const auto history = readHistory(log_);
        if (!history) {
            std::cerr << "this note was not stored\n";
            return exitPlatformFailure;
        }
        if (const auto code = checkBeforeAppend(*history))
            return *code;
        return append(*text);
    }

private:
    int reportFaults(const std::vector<NoteFault> &faults)
    {
        printFaults(file_, faults);
        return exitUsage;
    }

    /// Validates the note against the newest state. Returns the exit code if it cannot be accepted,
    /// in which case it is not appended.
    std::optional<int> checkBeforeAppend(const NoteHistory &history)
    {
        if (!history.isComplete) {
            warnIfIncomplete(history);
            std::cerr << "this note was not stored\n";
            return exitPlatformFailure;
        }
        const ConfigurationState &state = history.stateMachine.state();
        if (note_.follows < state.note)
            return reportOutdated("this note was not stored");
        if (note_.follows > state.note) {
            const NotePosition position = note_.positions["follows"];
            return reportFaults(
                    {{NoteFaultKind::OutOfRange, position.line, position.column, "follows",
                      "the newest note, " + std::to_string(state.note.value)}});
        }
        const auto faults = checkReleaseNote(note_, state);
        if (!faults.empty())
            return reportFaults(faults);
        return std::nullopt;
    }

    int append(const std::string &text)
    {
        const std::string recordId = randomRecordId("note-");
        const auto appended = log_.append(recordId, noteRecordBody(text));
        if (const auto *offset = std::get_if<LogOffset>(&appended))
            return reportOutcome(*offset);
        const auto &failure = std::get<AppendFailure>(appended);
        if (const auto offset = findRecord(recordId))
            return reportOutcome(*offset);
        std::cerr << "cannot append this note: " << toString(failure.failure) << '\n';
        if (failure.mayBeStored)
            std::cerr << "this note may have been stored, as record " << recordId
                      << "; check \"note history\" before you submit it again\n";
        else
            std::cerr << "this note was not stored\n";
        return exitPlatformFailure;
    }

    /// Returns the offset of a record whose append got no answer; nothing if the log does not have
    /// it.
    std::optional<LogOffset> findRecord(const std::string &recordId)
    {
        const ReadResult result = log_.readAll(LogOffset(0));
        const auto *batch = std::get_if<LogBatch>(&result);
        if (batch == nullptr)
            return std::nullopt;
        for (const LogRecord &record : batch->records) {
            if (record.recordId == recordId)
                return record.offset;
        }
        return std::nullopt;
    }

    /// Reads the log again and reports whether the note at the offset was accepted.
    int reportOutcome(LogOffset offset)
    {
        const auto history = readHistory(log_);
        const HistoryEntry *entry = history ? findOffset(*history, offset) : nullptr;
        if (entry == nullptr) {
            std::cerr << "this note was stored at offset " << offset
                      << ", but its outcome could not be read; check \"note history\"\n";
            return exitPlatformFailure;
        }
        if (const auto *accepted = std::get_if<NoteAccepted>(&entry->outcome))
            return reportAccepted(accepted->number);
        if (const auto *invalid = std::get_if<NoteInvalid>(&entry->outcome))
            return reportFaults(invalid->faults);
        if (std::holds_alternative<NoteOutdated>(entry->outcome))
            return reportOutdated("this note was not accepted");
        std::cerr << "this note was stored at offset " << offset
                  << ", but records before it have expired, so its outcome is unknown\n";
        return exitPlatformFailure;
    }

    int reportAccepted(NoteNumber number)
    {
        if (options_.isJson)
            std::cout << nlohmann::json{{"verdict", "accepted"}, {"number", number.value}} << '\n';
        else
            std::cout << "note " << number << " was accepted\n";
        return 0;
    }

    /// Reports that another note with the same predecessor (the winner) was accepted first.
    int reportOutdated(const std::string &effect)
    {
        const std::uint64_t winner = note_.follows.value + 1;
        if (options_.isJson)
            std::cout << nlohmann::json{{"verdict", "outdated"}, {"winner", winner}} << '\n';
        std::cerr << "note " << winner << " won the race to follow note " << note_.follows << "; "
                  << effect << '\n';
        return exitNoteOutdated;
    }

    const LogCommandOptions &options_;
    const std::string &file_;
    BlockingLogClient &log_;
    ReleaseNote note_;
};

int printHistory(const LogCommandOptions &options, const NoteHistory &history)
{
    // "list" prints the accepted notes; "history" also the outdated and invalid ones.
    const bool onlyAccepted = options.command == "list";
    if (options.isJson) {
        std::cout << historyToJson(history, onlyAccepted) << '\n';
        return 0;
    }
    for (const HistoryEntry &entry : history.entries) {
        if (!onlyAccepted || std::holds_alternative<NoteAccepted>(entry.outcome))
            std::cout << formatHistoryEntry(entry) << '\n';
    }
    return 0;
}

int printNote(const LogCommandOptions &options, const NoteHistory &history)
{
    const std::string &text = options.arguments[0];
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        std::cerr << "lovagecourse note: show: expected the number of a note\n";
        return exitUsage;
    }
    const HistoryEntry *entry = findNote(history, NoteNumber(number));
    if (entry == nullptr) {
        std::cerr << "the log has no accepted note " << number << '\n';
        return exitNoteNotFound;
    }
    if (options.isJson)
        std::cout << noteToJson(*entry) << '\n';
    else
        std::cout << entry->toml;
    return 0;
}

int printState(const LogCommandOptions &options, const NoteHistory &history)
{
    const ConfigurationState &state = history.stateMachine.state();
    std::cout << (options.isJson ? stateToJson(state) + '\n' : formatState(state));
    return history.isComplete ? 0 : exitPlatformFailure;
}

} // namespace

int runNoteCommand(int argc, char **argv)
{
    const auto options = parseLogCommand(usage, argc, argv, &checkArguments);
    if (!options)
        return exitUsage;
    if (options->isHelp) {
        std::cout << logCommandHelp(usage);
        return 0;
    }
    BlockingLogClient log(options->platformUrl, options->timeout);
    if (options->command == "submit")
        return NoteSubmission(*options, log).run();
    const auto history = readHistory(log);
    if (!history)
        return exitPlatformFailure;
    warnIfIncomplete(*history);
    if (options->command == "show")
        return printNote(*options, *history);
    if (options->command == "state")
        return printState(*options, *history);
    return printHistory(*options, *history);
}

} // namespace lovagecourse
