#include "app/NoteFormatting.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <sstream>

namespace lovagecourse {

namespace {

using nlohmann::json;

/// Formats a time in UTC, such as 2026-03-14T09:26:53Z.
std::string formatTime(WallTime time)
{
    const std::time_t epochSeconds = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&epochSeconds, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%FT%TZ", &utc);
    return text.data();
}

/// Name of the outcome in JSON (key "verdict") and in text output.
std::string outcomeName(const ApplyOutcome &outcome)
{
    if (std::holds_alternative<NoteAccepted>(outcome))
        return "accepted";
    if (std::holds_alternative<NoteOutdated>(outcome))
        return "outdated";
    if (std::holds_alternative<NoteInvalid>(outcome))
        return "invalid";
    return "unknown";
}

/// Number of an accepted note; "-" for other outcomes.
std::string formatNumber(const ApplyOutcome &outcome)
{
    const auto *accepted = std::get_if<NoteAccepted>(&outcome);
    return accepted == nullptr ? "-" : std::to_string(accepted->number.value);
}

/// Name of the outcome with its details.
std::string formatOutcome(const ApplyOutcome &outcome)
{
    std::string text = outcomeName(outcome);
    if (const auto *outdated = std::get_if<NoteOutdated>(&outcome))
        text += ": the newest note was " + std::to_string(outdated->newest.value);
    if (const auto *invalid = std::get_if<NoteInvalid>(&outcome)) {
        for (const NoteFault &fault : invalid->faults)
            text += "; " + toString(fault);
    }
    if (text == "unknown")
        text += ": records before it expired";
    return text;
}

json entryToJson(const HistoryEntry &entry)
{
    json object{{"offset", entry.offset.value},
                {"time", formatTime(entry.time)},
                {"title", entry.title},
                {"verdict", outcomeName(entry.outcome)}};
    if (const auto *accepted = std::get_if<NoteAccepted>(&entry.outcome))
        object["number"] = accepted->number.value;
    if (const auto *outdated = std::get_if<NoteOutdated>(&entry.outcome))
        object["newest"] = outdated->newest.value;
    if (const auto *invalid = std::get_if<NoteInvalid>(&entry.outcome)) {
        for (const NoteFault &fault : invalid->faults)
            object["faults"].push_back(toString(fault));
    }
    return object;
}

/// Ids separated by commas; "none" if there are none.
template <class Ids>
std::string joined(const Ids &ids)
{
    std::string text;
    for (const auto &id : ids)
        text += (text.empty() ? "" : ", ") + id.value;
    return text.empty() ? "none" : text;
}

void printAccounts(std::ostream &out, const ConfigurationState &state)
{
    out << "\nClient accounts (" << state.accounts.size() << ")\n";
    for (const auto &[name, account] : state.accounts)
        out << "  " << name << ": share " << account.share.value << ", "
            << account.apiKeyDigests.size() << " key(s)\n";
}

void printServices(std::ostream &out, const ConfigurationState &state)
{
    out << "\nServices (" << state.services.size() << ")\n";
    for (const auto &[name, service] : state.services) {
        const bool isModel = service.kind == ServiceKind::Model;
        out << "  " << name << ": " << (isModel ? "model" : "plain") << " at " << service.path
            << ", " << (service.repeatable ? "repeatable" : "not repeatable") << ", queue limit "
            << service.queueLimit << ", deadline " << service.defaultDeadline.count()
            << " ms, cost " << service.defaultCost.value << ", long above "
            << service.longAbove.value << '\n';
    }
}

void printServers(std::ostream &out, const ConfigurationState &state)
{
    out << "\nBackend servers (" << state.servers.size() << ")\n";
    for (const auto &[name, server] : state.servers) {
        out << "  " << name << ": host " << server.host << " in " << server.dataCentre
            << ", address " << toString(server.address) << ", agent " << toString(server.agent)
            << (server.leaving ? ", leaving" : "") << "\n    services " << joined(server.services)
            << "; models " << joined(server.models) << "; limit " << server.minLimit << " to "
            << server.maxLimit << "; "
            << (server.checksFencing ? "checks fencing numbers" : "ignores fencing numbers")
            << '\n';
    }
}

void printOrders(std::ostream &out, const ConfigurationState &state)
{
    out << "\nOrders (" << state.orders.size() << ")\n";
    for (const ServerOrder &order : state.orders)
        out << "  " << order.server << ": " << order.action << ' ' << order.argument
            << ", fencing number " << order.fencing << '\n';
}

} // namespace

std::string formatHistoryEntry(const HistoryEntry &entry)
{
    const std::string title = entry.title.empty() ? "(no title)" : entry.title;
    return formatNumber(entry.outcome) + "  " + formatTime(entry.time) + "  " + title + "  "
           + formatOutcome(entry.outcome);
}

std::string historyToJson(const NoteHistory &history, bool onlyAccepted)
{
    json list = json::array();
    for (const HistoryEntry &entry : history.entries) {
        if (!onlyAccepted || std::holds_alternative<NoteAccepted>(entry.outcome))
            list.push_back(entryToJson(entry));
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string noteToJson(const HistoryEntry &entry)
{
    json object = entryToJson(entry);
    object["toml"] = entry.toml;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatState(const ConfigurationState &state)
{
    std::ostringstream out;
    out << "Configuration after note " << state.note << " (log offset " << state.offset << ")\n";
    printAccounts(out, state);
    printServices(out, state);
    printServers(out, state);
    printOrders(out, state);
    return out.str();
}

} // namespace lovagecourse
