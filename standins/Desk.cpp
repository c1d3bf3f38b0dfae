#include "Desk.h"

#include <algorithm>

namespace lovagecourse {

using nlohmann::json;

namespace {

// A booking or order with this text in its body crashes the server.
constexpr std::string_view crashText = "crash-the-server";
constexpr std::string_view statusPrefix = "/trials/";
constexpr std::string_view statusSuffix = "/status";

bool isStatusPath(const std::string &path)
{
    return path.size() > statusPrefix.size() + statusSuffix.size() && path.starts_with(statusPrefix)
           && path.ends_with(statusSuffix);
}

} // namespace

Desk::Desk(EventLoop &loop, const DeskOptions &options)
    : loop_(loop)
    , options_(options)
    , server_(loop, options.listen, options.restartTime,
              [this](const HttpExchangePtr &exchange) { handle(exchange); })
{}

bool Desk::start()
{
    return server_.start();
}

void Desk::handle(const HttpExchangePtr &exchange)
{
    const std::string route = exchange->method() + " " + exchange->path();
    if (server_.isCrashing())
        exchange->abort();
    else if (route == "POST /bookings" || route == "POST /orders-desk/orders")
        runBooking(exchange);
    else if (exchange->method() == "GET" && isStatusPath(exchange->path()))
        answerStatus(exchange);
    else if (route == "POST /control")
        control(exchange);
    else if (route == "GET /journal")
        exchange->respond(200, json{{"runs", executions_}, {"crashes", server_.crashes()}}.dump());
    else
        exchange->respond(404, R"({"error":{"message":"unknown path"}})");
}

void Desk::runBooking(const HttpExchangePtr &exchange)
{
    const std::string key = exchange->header("Idempotency-Key");
    const std::uint64_t run = ++executions_[key];
    if (exchange->body().find(crashText) != std::string::npos) {
        crash();
        return;
    }
    const bool losesAnswer = answersToLose_ > 0;
    if (losesAnswer)
        --answersToLose_;
    runAfter(options_.serviceTime * slowFactor_, [exchange, key, run, losesAnswer] {
        if (losesAnswer)
            exchange->abort();
        else
            exchange->respond(201, json{{"booking", key}, {"run", run}}.dump());
    });
}

void Desk::answerStatus(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    const std::size_t length = path.size() - statusPrefix.size() - statusSuffix.size();
    const std::string trial = path.substr(statusPrefix.size(), length);
    runAfter(options_.statusTime * slowFactor_, [exchange, trial] {
        exchange->respond(200, json{{"trial", trial}, {"status", "running"}}.dump());
    });
}

void Desk::control(const HttpExchangePtr &exchange)
{
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
        exchange->respond(400, R"({"error":{"message":"expected a JSON object"}})");
        return;
    }
    if (body.contains("lose_answers") && body["lose_answers"].is_number_unsigned())
        answersToLose_ = body["lose_answers"].get<std::uint64_t>();
    if (body.contains("slow_factor") && body["slow_factor"].is_number())
        slowFactor_ = std::max(0., body["slow_factor"].get<double>());
    exchange->respond(200, "{}");
    if (body.contains("crash") && body["crash"] == true)
        crash();
}

void Desk::crash()
{
    timers_.clear();
    server_.crash();
}

void Desk::runAfter(std::chrono::duration<double, std::milli> delay, std::function<void()> action)
{
    timers_.emplace_back();
    const auto position = std::prev(timers_.end());
    *position = std::make_unique<Timer>(loop_, [this, position, action = std::move(action)] {
        // Erasing the timer is safe, because the event loop calls a copy of this callback.
        const auto run = action;
        timers_.erase(position);
        run();
    });
    (*position)->startOnce(std::chrono::duration_cast<std::chrono::nanoseconds>(delay));
}

} // namespace lovagecourse
