#include "app/StatusCommand.h"

#include "app/CommandLine.h"
#include "documents/DocumentReader.h"
#include "wire/Endpoint.h"

#include <curl/curl.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace lovagecourse {

namespace {

using nlohmann::json;

constexpr long fetchTimeoutSeconds = 5;
constexpr long statusOk = 200;
constexpr std::size_t indentWidth = 2;
// Pages have few levels; the output of very deep ones would exhaust the stack.
constexpr std::size_t maxStatusLevels = 32;

/// Parsed options of the command.
struct StatusOptions
{
    Endpoint admin;
    bool isJson = false;
};

/// Transfer error, or an HTTP status other than 200.
struct FetchFailure
{
    CURLcode code = CURLE_OK;
    long status = 0;
};

std::optional<StatusOptions> parseOptions(int argc, char **argv)
{
    cxxopts::Options options("lovagecourse status", "Prints the status of a running process.");
    options.add_options()("admin", "admin address of the process, a.b.c.d:port",
                          cxxopts::value<std::string>())("json", "print the status as JSON");
    // cxxopts throws on invalid arguments.
    try {
        const auto parsed = options.parse(argc, argv);
        const std::string text = parsed["admin"].as<std::string>();
        const std::optional<Endpoint> admin = parseEndpoint(text);
        if (admin && parsed.unmatched().empty())
            return StatusOptions{*admin, parsed.count("json") > 0};
    } catch (const std::exception &error) {
        std::cerr << "lovagecourse: " << error.what() << '\n';
    }
    std::cerr << options.help();
    return std::nullopt;
}

std::size_t appendBytes(char *bytes, std::size_t size, std::size_t count, void *text)
{
    static_cast<std::string *>(text)->append(bytes, size * count);
    return size * count;
}

std::variant<std::string, FetchFailure> fetchStatus(const Endpoint &admin)
{
    const std::unique_ptr<CURL, void (*)(CURL *)> curl(curl_easy_init(), &curl_easy_cleanup);
    const std::string url = "http://" + toString(admin) + "/status";
    std::string body;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    // Ignores proxies of the environment, which may not reach the fleet's addresses.
    curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT, fetchTimeoutSeconds);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &appendBytes);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
    FetchFailure failure;
    failure.code = curl_easy_perform(curl.get());
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &failure.status);
    if (failure.code != CURLE_OK || failure.status != statusOk)
        return failure;
    return body;
}

/// Strings without quotes, other values as JSON.
std::string toText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// True for a non-empty array of objects.
bool isTable(const json &value)
{
    return value.is_array() && !value.empty()
           && std::all_of(value.begin(), value.end(),
                          [](const json &row) { return row.is_object(); });
}

std::string padded(const std::string &text, std::size_t width)
{
    return text + std::string(width - std::min(width, text.size()), ' ');
}

void renderRow(std::string &out, std::size_t indent, const std::vector<std::string> &cells,
               const std::vector<std::size_t> &widths)
{
    std::string line(indent, ' ');
    for (std::size_t i = 0; i < cells.size(); ++i)
        line += padded(cells[i], widths[i] + indentWidth);
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + '\n';
}

void renderTable(std::string &out, std::size_t indent, const json &rows)
{
    std::vector<std::string> names;
    for (const json &row : rows)
        for (const auto &item : row.items())
            if (std::find(names.begin(), names.end(), item.key()) == names.end())
                names.push_back(item.key());
    std::vector<std::vector<std::string>> lines{names};
    for (const json &row : rows) {
        std::vector<std::string> &cells = lines.emplace_back();
        for (const std::string &name : names)
            cells.push_back(row.contains(name) ? toText(row[name]) : "-");
    }
    std::vector<std::size_t> widths(names.size(), 0);
    for (const auto &cells : lines)
        for (std::size_t i = 0; i < cells.size(); ++i)
            widths[i] = std::max(widths[i], cells[i].size());
    for (const auto &cells : lines)
        renderRow(out, indent, cells, widths);
}

void renderObject(std::string &out, std::size_t indent, const json &object)
{
    std::size_t width = 0;
    for (const auto &item : object.items())
        width = std::max(width, item.key().size() + 1);
    for (const auto &item : object.items()) {
        const bool nested = item.value().is_object() && !item.value().empty();
        out += std::string(indent, ' ');
        if (!nested && !isTable(item.value())) {
            out += padded(item.key() + ':', width) + ' ' + toText(item.value()) + '\n';
            continue;
        }
        out += item.key() + ":\n";
        if (nested)
            renderObject(out, indent + indentWidth, item.value());
        else
            renderTable(out, indent + indentWidth, item.value());
    }
}

} // namespace

std::string renderStatus(const json &status)
{
    std::string out;
    if (status.is_object())
        renderObject(out, 0, status);
    else if (isTable(status))
        renderTable(out, 0, status);
    else
        out = toText(status) + '\n';
    return out;
}

int runStatusCommand(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "status") {
        --argc;
        ++argv;
    }
    const std::optional<StatusOptions> options = parseOptions(argc, argv);
    if (!options)
        return exitUsage;
    const auto fetched = fetchStatus(options->admin);
    if (const auto *failure = std::get_if<FetchFailure>(&fetched)) {
        std::cerr << "lovagecourse: cannot fetch the status from " << toString(options->admin)
                  << ": ";
        if (failure->code != CURLE_OK)
            std::cerr << curl_easy_strerror(failure->code) << '\n';
        else
            std::cerr << "HTTP status " << failure->status << '\n';
        return exitUnreachable;
    }
    const auto read = readDocument(std::get<std::string>(fetched), selectWhole(maxStatusLevels));
    if (const auto *fault = std::get_if<DocumentFault>(&read)) {
        std::cerr << "lovagecourse: the status "
                  << (*fault == DocumentFault::TooDeep ? "is nested too deeply"
                                                       : "is not valid JSON")
                  << '\n';
        return exitUnreachable;
    }
    const json &status = std::get<json>(read);
    std::cout << (options->isJson ? status.dump(2) + '\n' : renderStatus(status));
    return 0;
}

} // namespace lovagecourse
