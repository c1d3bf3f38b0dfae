#include "PlatformService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <thread>

namespace lovagecourse {

namespace {

using nlohmann::json;

constexpr std::uint64_t maxWaitMs = 60000;
constexpr std::uint64_t defaultMaxRecords = 1000;

PlatformAnswer jsonAnswer(unsigned status, const json &body)
{
    return {status, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

PlatformAnswer badRequest(const std::string &expected)
{
    return jsonAnswer(400, {{"expected", expected}});
}

std::uint64_t number(const PlatformRequest &request, const std::string &name,
                     std::uint64_t defaultValue)
{
    const auto found = request.query.find(name);
    if (found == request.query.end())
        return defaultValue;
    const std::string &text = found->second;
    std::uint64_t value = defaultValue;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Stream name in the path "/streams/{name}/records"; empty for other paths.
std::string streamName(const std::string &path)
{
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    if (!path.starts_with(prefix) || !path.ends_with(suffix)
        || path.size() <= prefix.size() + suffix.size())
        return {};
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

} // namespace

PlatformService::PlatformService(std::chrono::seconds retention, std::uint64_t seed)
    : store_(retention)
    , random_(seed)
{}

std::optional<PlatformAnswer> PlatformService::handle(const PlatformRequest &request)
{
    if (request.path == "/control" && request.method == "POST")
        return control(request.body);
    if (request.path == "/control/expire" && request.method == "POST")
        return expire(request.body);
    if (request.path == "/stats")
        return stats();
    if (isDown())
        return answerWhileDown();
    delayWhileSlow();
    if (request.path == "/hosts")
        return listHosts();
    if (request.path.starts_with("/hosts/") && request.method == "POST")
        return setHost(request.path.substr(7), request.body);
    return handleLog(request);
}

std::optional<PlatformAnswer> PlatformService::handleLog(const PlatformRequest &request)
{
    const std::string stream = streamName(request.path);
    if (stream.empty())
        return jsonAnswer(404, {{"expected", "/streams/{name}/records, /hosts or /stats"}});
    if (request.method == "GET")
        return read(stream, request);
    if (request.method != "POST")
        return jsonAnswer(405, {{"expected", "GET or POST"}});
    const PlatformAnswer stored = append(stream, request);
    if (stored.status < 300 && losesThisAnswer())
        return std::nullopt;
    return stored;
}

PlatformAnswer PlatformService::append(const std::string &stream, const PlatformRequest &request)
{
    if (request.recordId.empty())
        return badRequest("header Record-Id");
    const StoredAppend stored = store_.append(stream, request.recordId, request.body);
    ++(stored.isDuplicate ? repeatedAppends_ : appends_);
    return jsonAnswer(stored.isDuplicate ? 200 : 201, {{"offset", stored.offset}});
}

std::optional<PlatformAnswer> PlatformService::read(const std::string &stream,
                                                    const PlatformRequest &request)
{
    const std::uint64_t from = number(request, "from", 0);
    const std::uint64_t waitMs = std::min(number(request, "wait_ms", 0), maxWaitMs);
    const std::uint64_t maxRecords = number(request, "max", defaultMaxRecords);
    const std::chrono::milliseconds wait(stopping_ ? 0 : waitMs);
    const StoredBatch batch = store_.read(stream, from, wait, maxRecords);
    // An outage that began during the long poll applies to it.
    if (isDown())
        return answerWhileDown();
    ++reads_;
    recordsRead_ += batch.records.size();
    json records = json::array();
    for (const StoredRecord &record : batch.records)
        records.push_back({{"offset", record.offset},
                           {"id", record.id},
                           {"time_ms", record.timeMs},
                           {"body", record.body}});
    return jsonAnswer(200, {{"oldest", batch.oldest}, {"next", batch.next}, {"records", records}});
}

PlatformAnswer PlatformService::listHosts()
{
    const std::lock_guard lock(mutex_);
    json hosts = json::array();
    for (const auto &[host, state] : hosts_)
        hosts.push_back({{"host", host}, {"state", state}});
    return jsonAnswer(200, {{"hosts", hosts}});
}

PlatformAnswer PlatformService::setHost(const std::string &host, const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("state") || !parsed["state"].is_string())
        return badRequest("state: live, leaving or gone");
    const std::string state = parsed["state"];
    if (state != "live" && state != "leaving" && state != "gone")
        return badRequest("state: live, leaving or gone");
    const std::lock_guard lock(mutex_);
    if (state == "gone")
        hosts_.erase(host);
    else
        hosts_[host] = state;
    return jsonAnswer(200, {{"host", host}, {"state", state}});
}

PlatformAnswer PlatformService::control(const std::string &body)
{
    static const std::map<std::string, Mode> modes{{"up", Mode::Up},
                                                   {"down", Mode::Down},
                                                   {"slow", Mode::Slow},
                                                   {"lose-answers", Mode::LoseAnswers}};
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("mode") || !parsed["mode"].is_string())
        return badRequest("mode: up, down, slow or lose-answers");
    const auto mode = modes.find(parsed["mode"]);
    if (mode == modes.end())
        return badRequest("mode: up, down, slow or lose-answers");
    const json delay = parsed.value("delay_ms", json(0U));
    const json count = parsed.value("count", json(std::numeric_limits<std::uint64_t>::max()));
    if (!delay.is_number_unsigned() || !count.is_number_unsigned())
        return badRequest("delay_ms and count: numbers from 0");
    {
        const std::lock_guard lock(mutex_);
        mode_ = mode->second;
        delay_ = std::chrono::milliseconds(delay.get<std::uint64_t>());
        answersToLose_ = count;
    }
    if (mode->second == Mode::Down)
        store_.wakeAll();
    return jsonAnswer(200, {{"mode", mode->first}});
}

PlatformAnswer PlatformService::expire(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("stream") || !parsed["stream"].is_string()
        || !parsed.contains("before") || !parsed["before"].is_number_unsigned())
        return badRequest("stream: name, before: offset");
    store_.expireBefore(parsed["stream"], parsed["before"]);
    return jsonAnswer(200, json::object());
}

PlatformAnswer PlatformService::stats() const
{
    return jsonAnswer(200, {{"appends", appends_.load()},
                            {"repeated_appends", repeatedAppends_.load()},
                            {"lost_answers", lostAnswers_.load()},
                            {"reads", reads_.load()},
                            {"records_read", recordsRead_.load()},
                            {"refused_while_down", refusedWhileDown_.load()}});
}

std::optional<PlatformAnswer> PlatformService::answerWhileDown()
{
    ++refusedWhileDown_;
    const std::lock_guard lock(mutex_);
    if (random_() % 2 == 0)
        return std::nullopt;
    return jsonAnswer(503, {{"expected", "the platform is down"}});
}

void PlatformService::delayWhileSlow()
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(mutex_);
        if (mode_ == Mode::Slow)
            delay = delay_;
    }
    std::this_thread::sleep_for(delay);
}

bool PlatformService::losesThisAnswer()
{
    const std::lock_guard lock(mutex_);
    if (mode_ != Mode::LoseAnswers)
        return false;
    if (answersToLose_ == 0) {
        mode_ = Mode::Up;
        return false;
    }
    --answersToLose_;
    ++lostAnswers_;
    return true;
}

bool PlatformService::isDown()
{
    const std::lock_guard lock(mutex_);
    return mode_ == Mode::Down;
}

void PlatformService::stop()
{
    stopping_ = true;
    store_.wakeAll();
}

} // namespace lovagecourse
