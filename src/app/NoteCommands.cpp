#include "app/NoteCommands.h"

#include "app/CommandLine.h"
#include "app/LogCommandOptions.h"
#include "app/NoteHistory.h"
#include "app/NoteLog.h"
#include "app/NotePages.h"

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

/// What was expected of sub-command and arguments; empty when they can be used.
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

/// Reads a file, or standard input for "-".
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

/// Reads and folds the whole log; prints why it can't.
std::optional<NoteHistory> readHistory(NoteLog &log)
{
    const ReadResult result = log.readAll(LogOffset(0));
    if (const auto *failure = std::get_if<PlatformFailure>(&result)) {
        std::cerr << "the platform can't be reached: " << toString(*failure) << '\n';
        return std::nullopt;
    }
    return foldHistory(std::get<LogBatch>(result));
}

/// Warns when the log alone does not give the newest state.
void warnWhenIncomplete(const NoteHistory &history)
{
    if (!history.isComplete)
        std::cerr << "records of the log expired and no snapshot covers them; the newest state "
                     "is not known\n";
}

/// One submission, from the text to its verdict.
class Submission
{
public:
    Submission(const LogCommandOptions &options, NoteLog &log)
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
            std::cerr << "nothing of this note was stored\n";
            return exitPlatform;
        }
        if (const auto code = checkBefore(*history))
            return *code;
        return append(*text);
    }

private:
    int reportFaults(const std::vector<NoteFault> &faults)
    {
        printFaults(file_, faults);
        return exitUsage;
    }

    /// Exit code when the note can't be accepted, so that nothing needs to be stored.
    std::optional<int> checkBefore(const NoteHistory &history)
    {
        if (!history.isComplete) {
            warnWhenIncomplete(history);
            std::cerr << "nothing of this note was stored\n";
            return exitPlatform;
        }
        const ConfigurationState &state = history.fold.state();
        if (note_.follows < state.note)
            return reportLoss("nothing of this note was taken or stored");
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
            return readVerdict(*offset);
        const auto &failure = std::get<NoteAppendFailure>(appended);
        if (const auto offset = findRecord(recordId))
            return readVerdict(*offset);
        std::cerr << "the platform can't be reached: " << toString(failure.failure) << '\n';
        if (failure.mayBeStored)
            std::cerr << "this note may have been stored, as record " << recordId
                      << "; look at the history before submitting again\n";
        else
            std::cerr << "nothing of this note was stored\n";
        return exitPlatform;
    }

    /// Offset of a record whose append was never answered.
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

    int readVerdict(LogOffset offset)
    {
        const auto history = readHistory(log_);
        const HistoryEntry *entry = history ? findOffset(*history, offset) : nullptr;
        if (entry == nullptr) {
            std::cerr << "this note was stored at offset " << offset
                      << ", but its verdict could not be read; look at the history\n";
            return exitPlatform;
        }
        if (const auto *accepted = std::get_if<NoteAccepted>(&entry->outcome))
            return reportAcceptance(accepted->number);
        if (const auto *invalid = std::get_if<NoteInvalid>(&entry->outcome))
            return reportFaults(invalid->faults);
        if (std::holds_alternative<NoteOutdated>(entry->outcome))
            return reportLoss("nothing of this note was taken");
        std::cerr << "this note was stored at offset " << offset
                  << ", but records before it expired, so its verdict is not known\n";
        return exitPlatform;
    }

    int reportAcceptance(NoteNumber number)
    {
        if (options_.isJson)
            std::cout << nlohmann::json{{"verdict", "accepted"}, {"number", number.value}} << '\n';
        else
            std::cout << "note " << number << " is in force in the log\n";
        return 0;
    }

    /// The winner is the accepted note with the same predecessor.
    int reportLoss(const std::string &effect)
    {
        const std::uint64_t winner = note_.follows.value + 1;
        if (options_.isJson)
            std::cout << nlohmann::json{{"verdict", "outdated"}, {"winner", winner}} << '\n';
        std::cerr << "note " << winner << " won the race to follow note " << note_.follows << "; "
                  << effect << '\n';
        return exitNoteLost;
    }

    const LogCommandOptions &options_;
    const std::string &file_;
    NoteLog &log_;
    ReleaseNote note_;
};

int printHistory(const LogCommandOptions &options, const NoteHistory &history)
{
    // "list" shows what is in force, "history" also the notes that were not taken.
    const bool onlyAccepted = options.command == "list";
    if (options.isJson) {
        std::cout << historyJson(history, onlyAccepted) << '\n';
        return 0;
    }
    for (const HistoryEntry &entry : history.entries) {
        if (!onlyAccepted || std::holds_alternative<NoteAccepted>(entry.outcome))
            std::cout << historyLine(entry) << '\n';
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
        std::cerr << "the log holds no accepted note " << number << '\n';
        return exitNoteNotFound;
    }
    if (options.isJson)
        std::cout << noteJson(*entry) << '\n';
    else
        std::cout << entry->toml;
    return 0;
}

int printState(const LogCommandOptions &options, const NoteHistory &history)
{
    const ConfigurationState &state = history.fold.state();
    std::cout << (options.isJson ? stateToJson(state) + '\n' : statePage(state));
    return history.isComplete ? 0 : exitPlatform;
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
    NoteLog log(options->platformUrl, options->timeout);
    if (options->command == "submit")
        return Submission(*options, log).run();
    const auto history = readHistory(log);
    if (!history)
        return exitPlatform;
    warnWhenIncomplete(*history);
    if (options->command == "show")
        return printNote(*options, *history);
    if (options->command == "state")
        return printState(*options, *history);
    return printHistory(*options, *history);
}

} // namespace lovagecourse
