#include "app/CheckReport.h"

#include "core/Log.h"
#include "platform/FieldPaths.h"

#include <nlohmann/json.hpp>

#include <map>
#include <sstream>

namespace lovagecourse {

namespace {

using nlohmann::json;

void printMessage(std::ostream &out, std::string_view severity, const CheckMessage &message)
{
    out << message.file;
    if (message.line > 0)
        out << ':' << message.line << ':' << message.column;
    out << ": " << severity << ": ";
    if (!message.path.empty())
        out << printable(message.path) << ": ";
    out << printable(message.text) << " [" << message.kind << "]\n";
}

std::string quoted(const std::optional<std::string> &value)
{
    return value ? '"' + printable(*value) + '"' : "none";
}

void printDifference(std::ostream &out, const Difference &difference)
{
    const auto begin = [&]() -> std::ostream & {
        out << toName(difference.change) << ' ' << toName(difference.entry);
        if (!difference.id.empty())
            out << ' ' << printable(difference.id);
        return out;
    };
    if (difference.fields.empty())
        begin() << '\n';
    for (const FieldChange &change : difference.fields)
        begin() << ": " << platform::fieldName(change.field) << ' ' << quoted(change.before)
                << " -> " << quoted(change.after) << '\n';
}

/// Prints the first differences of each kind of entry, so that many changes of one kind don't hide
/// those of another.
void printDifferences(std::ostream &out, const std::vector<Difference> &differences)
{
    std::map<EntryKind, std::size_t> counts;
    for (const Difference &difference : differences) {
        if (++counts[difference.entry] <= maxShownDifferences)
            printDifference(out, difference);
    }
    for (const auto &[entry, count] : counts) {
        if (count > maxShownDifferences)
            out << count - maxShownDifferences << " further " << toName(entry)
                << " differences omitted; --json lists all\n";
    }
}

json toJson(const CheckMessage &message)
{
    json object{{"kind", message.kind}, {"file", message.file}, {"text", message.text}};
    if (!message.path.empty())
        object["path"] = message.path;
    if (message.line > 0) {
        object["line"] = message.line;
        object["column"] = message.column;
    }
    return object;
}

json toJson(const std::vector<CheckMessage> &messages)
{
    json list = json::array();
    for (const CheckMessage &message : messages)
        list.push_back(toJson(message));
    return list;
}

json toJson(const Difference &difference)
{
    const auto valueOf = [](const std::optional<std::string> &value) {
        return value ? json(*value) : json();
    };
    json fields = json::array();
    for (const FieldChange &change : difference.fields)
        fields.push_back({{"field", platform::fieldName(change.field)},
                          {"before", valueOf(change.before)},
                          {"after", valueOf(change.after)}});
    return {{"change", toName(difference.change)},
            {"entry", toName(difference.entry)},
            {"id", difference.id},
            {"fields", std::move(fields)}};
}

} // namespace

int exitCodeOf(const CheckReport &report)
{
    if (!report.errors.empty())
        return exitCheckErrors;
    return report.warnings.empty() ? exitCheckClean : exitCheckWarnings;
}

std::string formatText(const CheckReport &report)
{
    std::ostringstream out;
    for (const CheckMessage &message : report.errors)
        printMessage(out, "error", message);
    for (const CheckMessage &message : report.warnings)
        printMessage(out, "warning", message);
    printDifferences(out, report.differences);
    out << report.errors.size() << " errors, " << report.warnings.size() << " warnings";
    if (report.isCompared)
        out << ", " << report.differences.size() << " differences";
    if (!report.hasSettings)
        out << "; not checked against settings";
    out << '\n';
    return out.str();
}

std::string formatJson(const CheckReport &report)
{
    json object{{"file", report.file},
                {"exit_code", exitCodeOf(report)},
                {"errors", toJson(report.errors)},
                {"warnings", toJson(report.warnings)},
                {"settings_checked", report.hasSettings}};
    if (report.isCompared) {
        object["differences"] = json::array();
        for (const Difference &difference : report.differences)
            object["differences"].push_back(toJson(difference));
    }
    // Names of files and fields may have bytes that are no UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace lovagecourse
