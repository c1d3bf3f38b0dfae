#include "Engine.h"

#include "ExpectedAnswer.h"

#include <algorithm>
#include <charconv>

namespace lovagecourse {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds sampleInterval{50};
constexpr std::uint64_t defaultTokens = 32;
// A prompt that contains this text crashes the engine.
constexpr std::string_view crashText = "crash-the-server";
// A stream with a prompt that contains this text can't be resumed: the answer is an error without a
// body.
constexpr std::string_view failResumeText = "fail-to-resume";

std::string contentOf(const json &message)
{
    if (!message.is_object() || !message.contains("content"))
        return {};
    const json &content = message["content"];
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string joinContents(const json &messages)
{
    std::string prompt;
    for (const json &message : messages)
        prompt += (prompt.empty() ? "" : "\n") + contentOf(message);
    return prompt;
}

/// One server-sent event. Tokens contain no characters that JSON escapes, so it is concatenated
/// without the JSON library.
std::string tokenEvent(const std::string &token, bool isLast)
{
    return R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")"
           + token + R"("},"finish_reason":)" + (isLast ? "\"length\"" : "null") + "}]}\n\n";
}

json errorBody(const std::string &message)
{
    return {{"error", {{"message", message}}}};
}

} // namespace

Engine::Engine(EventLoop &loop, const EngineOptions &options)
    : options_(options)
    , server_(loop, options.listen, options.restartTime,
              [this](const HttpExchangePtr &exchange) { handle(exchange); })
    , stepTimer_(loop, [this] { step(); })
    , sampleTimer_(loop, [this] { sampleLoad(); })
    , cache_(options.cachedPrefixes)
    , history_(options.loadLag)
{}

Engine::~Engine()
{
    // Closing the connections calls cancel(), which accesses the sequences.
    server_.stop();
}

bool Engine::start()
{
    sampleTimer_.startRepeating(sampleInterval);
    return server_.start();
}

void Engine::handle(const HttpExchangePtr &exchange)
{
    const bool staysReachable = exchange->path() == "/control" || exchange->path() == "/journal";
    if (frozen_ && !staysReachable) {
        requestsWhileFrozen_.push_back(exchange);
        return;
    }
    dispatch(exchange);
}

void Engine::dispatch(const HttpExchangePtr &exchange)
{
    const std::string route = exchange->method() + " " + exchange->path();
    if (server_.isCrashing())
        exchange->abort();
    else if (route == "POST /v1/chat/completions")
        acceptCompletion(exchange);
    else if (route == "GET /load")
        exchange->respond(200, load().dump());
    else if (route == "POST /orders")
        handleOrder(exchange);
    else if (route == "GET /orders")
        exchange->respond(200, orders_.dump());
    else if (route == "POST /control")
        control(exchange);
    else if (route == "GET /journal")
        exchange->respond(200, journal().dump());
    else
        exchange->respond(404, errorBody("unknown path").dump());
}

void Engine::acceptCompletion(const HttpExchangePtr &exchange)
{
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()
        || body["messages"].empty()) {
        exchange->respond(400, errorBody("expected a JSON object with messages").dump());
        return;
    }
    auto sequence = std::make_shared<Sequence>();
    sequence->exchange = exchange;
    sequence->prompt = joinContents(body["messages"]);
    sequence->firstMessage = contentOf(body["messages"][0]);
    const json &model = body.contains("model") ? body["model"] : json("");
    sequence->model = model.is_string() ? model.get<std::string>() : "";
    sequence->digest = promptDigest(sequence->prompt);
    const json &count = body.contains("max_tokens") ? body["max_tokens"] : json(defaultTokens);
    sequence->tokenCount = count.is_number_unsigned() ? count.get<std::uint64_t>() : defaultTokens;
    sequence->isStreaming = body.contains("stream") && body["stream"] == true;
    const std::string resume = exchange->header("X-Resume-From");
    std::from_chars(resume.data(), resume.data() + resume.size(), sequence->nextToken);
    const std::string id = exchange->header("X-Request-Id");
    ++requests_[id.empty() ? sequence->prompt : id];
    if (sequence->nextToken > 0 && sequence->prompt.find(failResumeText) != std::string::npos) {
        exchange->respond(500, "");
        return;
    }
    const Sequence *raw = sequence.get();
    exchange->onClosed([this, raw] { cancel(raw); });
    waiting_.push_back(std::move(sequence));
    admitWaiting();
}

void Engine::admitWaiting()
{
    while (!server_.isCrashing() && !waiting_.empty() && running_.size() < options_.maxBatch) {
        const SequencePtr next = waiting_.front();
        waiting_.pop_front();
        startSequence(next);
    }
}

void Engine::startSequence(const SequencePtr &sequence)
{
    ++started_;
    if (sequence->prompt.find(crashText) != std::string::npos) {
        crash();
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const bool cached = cache_.touch(sequence->firstMessage);
    const auto prefill = cached ? options_.prefillTime * 0 : options_.prefillTime * slowFactor_;
    sequence->readyAt = now + std::chrono::duration_cast<std::chrono::nanoseconds>(prefill);
    if (sequence->isStreaming)
        sequence->exchange->beginStream("text/event-stream");
    running_.push_back(sequence);
    maxRunning_ = std::max(maxRunning_, running_.size());
    if (!stepTimer_.isActive())
        scheduleStep(now);
}

void Engine::cancel(const Sequence *sequence)
{
    const auto isIt = [sequence](const SequencePtr &other) { return other.get() == sequence; };
    const auto removed = std::erase_if(running_, isIt) + std::erase_if(waiting_, isIt);
    if (removed == 0)
        return;
    ++cancelled_;
    admitWaiting();
}

void Engine::crash()
{
    stepTimer_.stop();
    waiting_.clear();
    running_.clear();
    requestsWhileFrozen_.clear();
    cache_.clear();
    history_.clear();
    frozen_ = false;
    server_.crash();
}

void Engine::setFrozen(bool frozen)
{
    if (frozen == frozen_)
        return;
    frozen_ = frozen;
    if (frozen) {
        stepTimer_.stop();
        return;
    }
    if (!running_.empty())
        scheduleStep(std::chrono::steady_clock::now());
    const std::vector<HttpExchangePtr> pending = std::move(requestsWhileFrozen_);
    requestsWhileFrozen_.clear();
    for (const HttpExchangePtr &exchange : pending)
        dispatch(exchange);
}

std::chrono::nanoseconds Engine::interTokenLatency() const
{
    const double batch = static_cast<double>(running_.size());
    const auto latency = options_.baseInterTokenLatency
                         * std::max(1., batch / options_.kneeBatchSize) * slowFactor_;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(latency);
}

void Engine::scheduleStep(TimePoint from)
{
    if (frozen_)
        return;
    const auto now = std::chrono::steady_clock::now();
    stepStart_ = from;
    nextStep_ = std::max(from + interTokenLatency(), now);
    stepTimer_.startOnce(nextStep_ - now);
}

void Engine::step()
{
    // Iterates over a copy, because finished sequences leave running_.
    const std::vector<SequencePtr> batch = running_;
    for (const SequencePtr &sequence : batch) {
        // A sequence takes part from the first step that starts after its prefill.
        if (sequence->readyAt <= stepStart_)
            emitToken(*sequence);
    }
    std::erase_if(running_, [](const SequencePtr &one) { return one->exchange == nullptr; });
    admitWaiting();
    if (!running_.empty() && !server_.isCrashing())
        scheduleStep(nextStep_);
}

void Engine::emitToken(Sequence &sequence)
{
    if (sequence.nextToken < sequence.tokenCount) {
        const std::string token = answerToken(sequence.digest, sequence.nextToken);
        ++sequence.nextToken;
        ++tokens_;
        if (sequence.isStreaming)
            sequence.exchange->send(tokenEvent(token, sequence.nextToken == sequence.tokenCount));
        else
            sequence.text += token;
    }
    if (sequence.nextToken >= sequence.tokenCount)
        finish(sequence);
}

void Engine::finish(Sequence &sequence)
{
    ++finished_;
    if (sequence.isStreaming) {
        sequence.exchange->send("data: [DONE]\n\n");
        sequence.exchange->end();
    } else {
        const json message = {{"role", "assistant"}, {"content", sequence.text}};
        const json choice = {{"index", 0}, {"message", message}, {"finish_reason", "length"}};
        const json answer = {{"object", "chat.completion"},
                             {"model", sequence.model},
                             {"choices", json::array({choice})},
                             {"usage", {{"completion_tokens", sequence.tokenCount}}}};
        sequence.exchange->respond(200,
                                   answer.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    sequence.exchange.reset();
}

void Engine::handleOrder(const HttpExchangePtr &exchange)
{
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("fencing") || !body["fencing"].is_number_unsigned()) {
        exchange->respond(400, errorBody("expected a JSON object with a fencing number").dump());
        return;
    }
    const auto fencing = body["fencing"].get<std::uint64_t>();
    if (options_.checksFencing && fencing < highestFencing_) {
        exchange->respond(409, json{{"highest_fencing", highestFencing_}}.dump());
        return;
    }
    highestFencing_ = std::max(highestFencing_, fencing);
    orders_.push_back(body);
    exchange->respond(200, json{{"taken", true}}.dump());
}

void Engine::control(const HttpExchangePtr &exchange)
{
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
        exchange->respond(400, errorBody("expected a JSON object").dump());
        return;
    }
    if (body.contains("slow_factor") && body["slow_factor"].is_number())
        slowFactor_ = std::max(0., body["slow_factor"].get<double>());
    if (body.contains("frozen") && body["frozen"].is_boolean())
        setFrozen(body["frozen"].get<bool>());
    exchange->respond(200, "{}");
    if (body.contains("crash") && body["crash"] == true)
        crash();
}

json Engine::load() const
{
    const LoadReport report = history_.report(std::chrono::steady_clock::now());
    return {{"running", report.running}, {"tokens_per_second", report.tokensPerSecond}};
}

json Engine::journal() const
{
    return {{"started", started_},          {"finished", finished_},      {"cancelled", cancelled_},
            {"crashes", server_.crashes()}, {"max_running", maxRunning_}, {"requests", requests_}};
}

void Engine::sampleLoad()
{
    history_.add({std::chrono::steady_clock::now(), running_.size(), tokens_});
}

} // namespace lovagecourse
