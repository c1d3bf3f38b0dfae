#include "app/CheckCommand.h"

#include "app/CheckReport.h"
#include "app/CommandLine.h"
#include "checking/ConfigurationCheck.h"
#include "checking/ConfigurationDifference.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/DocumentScan.h"
#include "platform/FieldPaths.h"
#include "settings/RouterSettings.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>

namespace lovagecourse {

namespace {

// Bounds the memory of the check; the decoded document takes several times the text.
constexpr std::size_t maxFileBytes = 16U << 20;
// Routers read the four levels of a configuration and skip deeper values without building them.
constexpr std::size_t usualDepth = 16;

/// Parsed options of the command.
struct CheckOptions
{
    std::string file;
    std::optional<std::string> against;
    std::optional<std::string> settings;
    bool isJson = false;
    bool isHelp = false;
};

/// File that was read and decoded.
struct ConfigurationFile
{
    std::string name;
    std::string text;
    ListedConfiguration configuration;
};

cxxopts::Options commandOptions()
{
    cxxopts::Options options("lovagecourse check",
                             "Checks a configuration (JSON) as routers read it.\n"
                             "Exit code: 0 clean, 1 warnings, 2 errors.\n");
    options.positional_help("FILE");
    options.add_options()("against", "configuration in force, to compare with",
                          cxxopts::value<std::string>());
    options.add_options()("settings", "settings file of a router, to check limits against",
                          cxxopts::value<std::string>());
    options.add_options()("json", "print the report as JSON");
    options.add_options()("help", "print this text");
    options.add_options("hidden")("file", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"file"});
    return options;
}

std::optional<CheckOptions> printUsageError(const std::string &fault)
{
    std::cerr << "lovagecourse check: " << fault << '\n' << commandOptions().help({""});
    return std::nullopt;
}

std::optional<CheckOptions> parseOptions(int argc, char **argv)
{
    const auto optional = [](const cxxopts::ParseResult &parsed, const char *name) {
        return parsed.count(name) > 0 ? std::optional(parsed[name].as<std::string>())
                                      : std::nullopt;
    };
    try {
        const auto parsed = commandOptions().parse(argc, argv);
        CheckOptions options;
        options.isHelp = parsed.count("help") > 0;
        if (options.isHelp)
            return options;
        if (parsed.count("file") != 1)
            return printUsageError("expected one file");
        options.file = parsed["file"].as<std::vector<std::string>>().front();
        options.against = optional(parsed, "against");
        options.settings = optional(parsed, "settings");
        options.isJson = parsed.count("json") > 0;
        return options;
    } catch (const cxxopts::exceptions::exception &fault) {
        return printUsageError(fault.what());
    }
}

/// Reads a file; adds an error and returns nothing if it can't be read or is too large.
std::optional<std::string> readFile(const std::string &file, CheckReport &report)
{
    std::ifstream input(file, std::ios::binary);
    std::string text(maxFileBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(input.gcount()));
    // Reading to the end of a file sets eof; a directory, for example, only fails.
    if (text.size() > maxFileBytes) {
        report.errors.push_back({"file-too-large", file, "", 0, 0,
                                 "more than " + std::to_string(maxFileBytes) + " bytes"});
        return std::nullopt;
    }
    if (!input.eof()) {
        report.errors.push_back({"file-unreadable", file, "", 0, 0, "the file can't be read"});
        return std::nullopt;
    }
    return text;
}

/// Sets the positions of the messages that concern the file.
void locate(const std::string &file, const std::string &text, std::vector<CheckMessage> &messages)
{
    std::set<std::string> paths;
    for (const CheckMessage &message : messages)
        paths.merge(platform::withParents(message.path));
    if (paths.empty())
        return;
    const platform::DocumentScan scan = platform::scanDocument(text, paths);
    for (CheckMessage &message : messages) {
        if (message.file != file)
            continue;
        const auto position = platform::nearestPosition(scan, message.path);
        if (!position)
            continue;
        message.line = position->line;
        message.column = position->column;
    }
}

/// Explains why the decoder rejected a file.
std::vector<CheckMessage> explain(const std::string &file, const std::string &text,
                                  const std::vector<DecodeFault> &faults)
{
    const platform::DocumentScan scan = platform::scanDocument(text, {});
    if (scan.syntaxError) {
        // The parser's message repeats a part of the text, which may be a key.
        CheckMessage message{scan.isUtf8 ? "syntax" : "encoding",
                             file,
                             "",
                             scan.syntaxError->line,
                             scan.syntaxError->column,
                             scan.isUtf8 ? "expected valid JSON" : "expected JSON in UTF-8"};
        return {std::move(message)};
    }
    std::vector<CheckMessage> messages;
    for (const DecodeFault &fault : faults) {
        // A field that is absent and thus has no valid value is reported once.
        if (!messages.empty() && messages.back().path == fault.path)
            continue;
        messages.push_back({fault.path.empty() ? "not-an-object" : "field-invalid", file,
                            fault.path, 0, 0, "expected " + fault.expected});
    }
    locate(file, text, messages);
    return messages;
}

/// Reads and decodes a configuration; adds errors and returns nothing if that fails.
std::optional<ConfigurationFile> readConfiguration(const std::string &file, CheckReport &report)
{
    std::optional<std::string> text = readFile(file, report);
    if (!text)
        return std::nullopt;
    auto decoded = platform::decodeListedConfiguration(*text);
    if (const auto *faults = std::get_if<std::vector<DecodeFault>>(&decoded)) {
        std::vector<CheckMessage> messages = explain(file, *text, *faults);
        report.errors.insert(report.errors.end(), messages.begin(), messages.end());
        return std::nullopt;
    }
    return ConfigurationFile{file, std::move(*text),
                             std::get<ListedConfiguration>(std::move(decoded))};
}

std::optional<RouterSettings> readSettingsFile(const std::string &file, CheckReport &report)
{
    // The reader of settings has no limit of size.
    if (!readFile(file, report))
        return std::nullopt;
    RouterSettingsResult settings = readRouterSettings(file);
    const auto *faults = std::get_if<std::vector<SettingsFault>>(&settings);
    if (!faults)
        return std::get<RouterSettings>(std::move(settings));
    for (const SettingsFault &fault : *faults)
        report.errors.push_back({"settings-invalid", fault.file, fault.setting, fault.line,
                                 fault.column, "expected " + fault.expected});
    return std::nullopt;
}

CheckMessage toMessage(const Finding &finding, const std::string &file,
                       const std::optional<std::string> &settingsFile)
{
    CheckMessage message{std::string(toName(finding.kind)), file, "", 0, 0, describe(finding)};
    if (finding.place) {
        message.path = platform::fieldPath(*finding.place);
    } else {
        message.file = settingsFile.value_or(file);
        message.path = "hedging.share";
    }
    return message;
}

/// Warnings about the text of a document that its values don't show.
std::vector<CheckMessage> checkDocument(const ConfigurationFile &file)
{
    const platform::DocumentScan scan = platform::scanDocument(file.text, {});
    std::vector<CheckMessage> messages;
    for (const platform::RepeatedField &field : scan.repeatedFields)
        messages.push_back({"duplicate-field", file.name, field.path, field.position.line,
                            field.position.column, "given again; the last value counts"});
    if (scan.depth > usualDepth)
        messages.push_back({"deep-nesting", file.name, "", 0, 0,
                            std::to_string(scan.depth)
                                    + " levels; routers skip what is below the "
                                      "fields that they read"});
    return messages;
}

CheckReport check(const CheckOptions &options)
{
    CheckReport report;
    report.file = options.file;
    const auto file = readConfiguration(options.file, report);
    const auto inForce =
            options.against ? readConfiguration(*options.against, report) : std::nullopt;
    const auto settings =
            options.settings ? readSettingsFile(*options.settings, report) : std::nullopt;
    report.hasSettings = settings.has_value();
    if (!file)
        return report;
    std::vector<Finding> findings = checkEntries(file->configuration);
    const auto add = [&findings](std::vector<Finding> more) {
        findings.insert(findings.end(), more.begin(), more.end());
    };
    add(checkLimits(file->configuration));
    if (settings)
        add(checkAgainstSettings(file->configuration, {settings->retryRatio, settings->retrySlack,
                                                       settings->hedgeShare}));
    if (inForce) {
        report.isCompared = true;
        report.differences = compareConfigurations(inForce->configuration, file->configuration);
        add(checkVersion(inForce->configuration, file->configuration));
    }
    for (const Finding &finding : findings)
        report.warnings.push_back(toMessage(finding, file->name, options.settings));
    locate(file->name, file->text, report.warnings);
    for (CheckMessage &message : checkDocument(*file))
        report.warnings.push_back(std::move(message));
    return report;
}

} // namespace

int runCheckCommand(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options)
        return exitUsage;
    if (options->isHelp) {
        std::cout << commandOptions().help({""});
        return 0;
    }
    const CheckReport report = check(*options);
    std::cout << (options->isJson ? formatJson(report) : formatText(report));
    return exitCodeOf(report);
}

} // namespace lovagecourse
