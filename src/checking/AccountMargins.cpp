#include "checking/AccountMargins.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <map>

namespace lovagecourse {

namespace {

// Part of its request, or of what the best served account got, that an account is due.
constexpr double duePart = 0.5;
// Requests of an account that its due is lower by, so that single large ones don't decide.
constexpr std::size_t toleratedRequests = 3;
constexpr std::array<std::string_view, 5> endEvents{"answered", "refused", "failed", "broken-off",
                                                    "caller-left"};
// "2026-06-02T14:20:42.013Z"
constexpr std::size_t timeLength = 24;

struct AccountSecond
{
    double requestedTokens = 0;
    double obtainedTokens = 0;
    unsigned requests = 0;
    unsigned refused = 0;
    unsigned disappointed = 0;
};

struct AccountHistory
{
    std::map<std::int64_t, AccountSecond> seconds;
    /// In descending order.
    std::vector<double> largestRequests;
};

/// Value of the field "name=value"; empty without it.
std::string_view fieldOf(std::string_view line, std::string_view name)
{
    for (std::size_t at = line.find(name); at != std::string_view::npos;
         at = line.find(name, at + 1)) {
        const std::size_t value = at + name.size();
        const bool isField =
                at > 0 && line[at - 1] == ' ' && value < line.size() && line[value] == '=';
        if (isField)
            return line.substr(value + 1, line.find(' ', value) - value - 1);
    }
    return {};
}

template <class Number>
std::optional<Number> numberOf(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

/// Finds the time of a log line, wherever a collector of logs has put it.
std::optional<WallTime> timeOf(std::string_view line)
{
    for (std::size_t at = line.find('T'); at != std::string_view::npos;
         at = line.find('T', at + 1)) {
        if (at < 10 || at + timeLength - 10 > line.size())
            continue;
        const std::string_view text = line.substr(at - 10, timeLength);
        if (text[4] != '-' || text[7] != '-' || text[13] != ':' || text[19] != '.'
            || text[23] != 'Z')
            continue;
        const auto year = numberOf<int>(text.substr(0, 4));
        const auto month = numberOf<unsigned>(text.substr(5, 2));
        const auto day = numberOf<unsigned>(text.substr(8, 2));
        const auto hour = numberOf<int>(text.substr(11, 2));
        const auto minute = numberOf<int>(text.substr(14, 2));
        const auto second = numberOf<int>(text.substr(17, 2));
        const auto millis = numberOf<int>(text.substr(20, 3));
        if (!year || !month || !day || !hour || !minute || !second || !millis)
            continue;
        const std::chrono::year_month_day date{std::chrono::year(*year), std::chrono::month(*month),
                                               std::chrono::day(*day)};
        return std::chrono::sys_days(date) + std::chrono::hours(*hour)
               + std::chrono::minutes(*minute) + seconds(*second) + milliseconds(*millis);
    }
    return std::nullopt;
}

std::int64_t secondOf(WallTime time)
{
    return std::chrono::floor<seconds>(time).time_since_epoch().count();
}

AccountMargin marginFrom(const AccountHistory &history, std::int64_t from,
                         const std::map<std::int64_t, double> &bestServed)
{
    AccountMargin margin;
    margin.begin = WallTime(seconds(from));
    for (const double tokens : history.largestRequests)
        margin.dueTokens -= tokens;
    for (std::int64_t i = from; i < from + marginWindow.count(); ++i) {
        const AccountSecond &second = history.seconds.at(i);
        margin.requestedTokens += second.requestedTokens;
        margin.obtainedTokens += second.obtainedTokens;
        margin.dueTokens += duePart * std::min(second.requestedTokens, bestServed.at(i));
        margin.requests += second.requests;
        margin.refused += second.refused;
    }
    return margin;
}

/// True if the account has a disappointed request in each second of the window.
bool isWaitingAllThrough(const AccountHistory &history, std::int64_t from)
{
    for (std::int64_t i = from; i < from + marginWindow.count(); ++i) {
        const auto second = history.seconds.find(i);
        if (second == history.seconds.end() || second->second.disappointed == 0)
            return false;
    }
    return true;
}

} // namespace

std::optional<AccountRequest> parseRequestLine(std::string_view line)
{
    const std::string_view event = fieldOf(line, "event");
    if (std::find(endEvents.begin(), endEvents.end(), event) == endEvents.end())
        return std::nullopt;
    const auto time = timeOf(line);
    const auto tokens = numberOf<double>(fieldOf(line, "tokens"));
    const auto sends = numberOf<unsigned>(fieldOf(line, "sends"));
    const auto objectiveMs = numberOf<double>(fieldOf(line, "objective_ms"));
    const auto firstByteMs = numberOf<double>(fieldOf(line, "first_byte_ms"));
    const auto tookMs = numberOf<double>(fieldOf(line, "took_ms"));
    const std::string_view account = fieldOf(line, "account");
    // A process that is killed leaves a part of a line.
    if (!time || !tokens || !sends || !objectiveMs || !firstByteMs || !tookMs)
        return std::nullopt;
    if (account.empty() || *tokens <= 0)
        return std::nullopt;
    AccountRequest request;
    request.account = AccountId(std::string(account));
    request.arrived = *time
                      - std::chrono::duration_cast<WallTime::duration>(
                              std::chrono::duration<double, std::milli>(*tookMs));
    request.tokens = *tokens;
    request.isSent = *sends > 0;
    request.isDisappointed = event != "answered" || *firstByteMs > *objectiveMs;
    return request;
}

std::vector<AccountMargin> lowestMargins(std::span<const AccountRequest> requests)
{
    std::map<AccountId, AccountHistory> histories;
    for (const AccountRequest &request : requests) {
        AccountHistory &history = histories[request.account];
        AccountSecond &second = history.seconds[secondOf(request.arrived)];
        second.requestedTokens += request.tokens;
        second.obtainedTokens += request.isSent ? request.tokens : 0;
        ++second.requests;
        second.refused += request.isSent ? 0 : 1;
        second.disappointed += request.isDisappointed ? 1 : 0;
        auto &largest = history.largestRequests;
        largest.insert(
                std::upper_bound(largest.begin(), largest.end(), request.tokens, std::greater<>()),
                request.tokens);
        largest.resize(std::min(largest.size(), toleratedRequests));
    }
    std::map<std::int64_t, double> bestServed;
    for (const auto &[account, history] : histories) {
        for (const auto &[number, second] : history.seconds) {
            double &best = bestServed[number];
            best = std::max(best, second.obtainedTokens);
        }
    }
    std::vector<AccountMargin> margins;
    for (const auto &[account, history] : histories) {
        std::optional<AccountMargin> lowest;
        for (const auto &[from, second] : history.seconds) {
            if (!isWaitingAllThrough(history, from))
                continue;
            const AccountMargin margin = marginFrom(history, from, bestServed);
            if (margin.dueTokens > 0 && (!lowest || margin.ratio() < lowest->ratio()))
                lowest = margin;
        }
        if (lowest) {
            lowest->account = account;
            margins.push_back(*lowest);
        }
    }
    std::sort(margins.begin(), margins.end(),
              [](const auto &left, const auto &right) { return left.ratio() < right.ratio(); });
    return margins;
}

} // namespace lovagecourse
