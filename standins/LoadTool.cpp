#include "LoadTool.h"

#include <algorithm>

namespace lovagecourse {

using nlohmann::json;

namespace {

constexpr int statusOk = 200;
// Pause after an unsuccessful request, so that immediate refusals do not cause a busy loop.
constexpr std::chrono::milliseconds closedLoopPause{10};

/// Reason, problem type or code in the body of a refusal; empty if there is none.
std::string refusalReason(const std::string &body)
{
    const json problem = json::parse(body, nullptr, false);
    for (const char *name : {"reason", "type", "code"}) {
        if (problem.is_object() && problem.contains(name) && problem[name].is_string())
            return problem[name].get<std::string>();
    }
    return {};
}

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

LoadTool::LoadTool(EventLoop &loop, LoadOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , plan_(options_.profile)
    , multi_(loop, [this](CURL *easy, CURLcode code) { onDone(easy, code); })
    , arrivalTimer_(loop, [this] { sendDueRequests(); })
    , endTimer_(loop, [this] { loop_.stop(); })
{}

LoadTool::~LoadTool()
{
    while (!transfers_.empty()) {
        CURL *easy = transfers_.begin()->first;
        multi_.remove(easy);
        releaseTransfer(easy);
    }
}

void LoadTool::start()
{
    start_ = std::chrono::steady_clock::now();
    const auto limit = options_.sendingTime + options_.drainTime;
    endTimer_.startOnce(std::chrono::duration_cast<std::chrono::nanoseconds>(limit));
    for (std::uint64_t connection = 0; connection < options_.closedConnections; ++connection)
        sendNext(start_);
    if (options_.closedConnections > 0)
        return;
    nextArrival_ = start_ + plan_.nextArrival();
    sendDueRequests();
}

bool LoadTool::isSending() const
{
    return std::chrono::steady_clock::now() - start_ < options_.sendingTime;
}

void LoadTool::sendDueRequests()
{
    const TimePoint end =
            start_ + std::chrono::duration_cast<std::chrono::nanoseconds>(options_.sendingTime);
    const TimePoint now = std::chrono::steady_clock::now();
    while (nextArrival_ <= now && nextArrival_ < end) {
        sendNext(nextArrival_);
        nextArrival_ = start_ + plan_.nextArrival();
    }
    const auto wait = std::min(nextArrival_, end) - now;
    if (now < end)
        arrivalTimer_.startOnce(std::max(wait, std::chrono::nanoseconds(0)));
    else
        stopIfDrained();
}

void LoadTool::sendNext(TimePoint planned)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->tool = this;
    transfer->request = plan_.nextRequest();
    transfer->check = AnswerCheck(transfer->request.prompt, transfer->request.tokens);
    transfer->planned = planned;
    CURL *easy = curl_easy_init();
    transfer->easy = easy;
    configureRequest(easy, *transfer);
    statistics_.countSent(accountOf(*transfer));
    statistics_.recordCost(transfer->request.tokens);
    transfers_[easy] = std::move(transfer);
    multi_.add(easy);
}

void LoadTool::configureRequest(CURL *easy, Transfer &transfer)
{
    const PlannedRequest &request = transfer.request;
    const LoadAccount &account = options_.profile.accounts[request.account];
    std::vector<std::string> headers = options_.headers;
    if (!account.key.empty())
        headers.push_back("Authorization: Bearer " + account.key);
    headers.push_back("X-Request-Id: load-" + std::to_string(options_.profile.seed) + "-"
                      + std::to_string(request.number));
    const bool plain = !options_.plainPath.empty();
    const std::string url =
            options_.targets[request.target] + (plain ? options_.plainPath : options_.path);
    if (!plain) {
        headers.emplace_back("Content-Type: application/json");
        const json message = {{"role", "user"}, {"content", request.prompt}};
        transfer.requestBody = json{
                {"model", options_.model},
                {"messages", json::array({message})},
                {"stream", options_.isStreaming},
                {"max_tokens",
                 request.tokens}}.dump();
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(transfer.requestBody.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.requestBody.c_str());
    }
    for (const std::string &header : headers)
        transfer.headers = curl_slist_append(transfer.headers, header.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &LoadTool::onBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
}

std::size_t LoadTool::onBytes(char *bytes, std::size_t size, std::size_t count, void *transfer)
{
    auto &target = *static_cast<Transfer *>(transfer);
    target.tool->onBody(target, std::string_view(bytes, size * count));
    return size * count;
}

void LoadTool::onBody(Transfer &transfer, std::string_view bytes)
{
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    const bool isStream = options_.isStreaming && options_.plainPath.empty() && status == statusOk;
    if (!isStream) {
        transfer.body.append(bytes);
        return;
    }
    const std::uint64_t tokens = transfer.check.append(bytes);
    if (isSending())
        statistics_.countEvents(tokens);
    if (tokens == 0)
        return;
    if (transfer.firstToken == TimePoint())
        transfer.firstToken = std::chrono::steady_clock::now();
    statistics_.countTokens(accountOf(transfer), tokens, isSending());
    const auto now = std::chrono::steady_clock::now();
    statistics_.addToTimeline(accountOf(transfer), tokens, secondsBetween(start_, now));
}

void LoadTool::onDone(CURL *easy, CURLcode code)
{
    Transfer &transfer = *transfers_.at(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    const TimePoint now = std::chrono::steady_clock::now();
    LoadResult result;
    result.status = static_cast<int>(status);
    result.outcome = classifyOutcome(transfer, result.status, code);
    result.account = accountOf(transfer);
    result.latencySeconds = secondsBetween(transfer.planned, now);
    if (transfer.firstToken != TimePoint())
        result.firstTokenSeconds = secondsBetween(transfer.planned, transfer.firstToken);
    if (result.outcome == LoadOutcome::Refused)
        result.reason = refusalReason(transfer.body);
    const bool isNonStreamingModelAnswer = options_.plainPath.empty() && !options_.isStreaming;
    if (result.outcome == LoadOutcome::Ok && isNonStreamingModelAnswer)
        statistics_.countTokens(result.account, transfer.request.tokens, isSending());
    statistics_.add(result);
    releaseTransfer(easy);
    continueClosedLoop(result.outcome);
    stopIfDrained();
}

LoadOutcome LoadTool::classifyOutcome(Transfer &transfer, int status, CURLcode code)
{
    if (status == 0)
        return LoadOutcome::Failed;
    if (status != statusOk)
        return code == CURLE_OK ? LoadOutcome::Refused : LoadOutcome::Truncated;
    if (transfer.check.isWrong())
        return LoadOutcome::Wrong;
    if (code != CURLE_OK)
        return LoadOutcome::Truncated;
    if (!options_.plainPath.empty())
        return isExpectedPlainAnswer(transfer) ? LoadOutcome::Ok : LoadOutcome::Wrong;
    if (options_.isStreaming)
        return transfer.check.isComplete() ? LoadOutcome::Ok : LoadOutcome::Truncated;
    const PlannedRequest &request = transfer.request;
    const bool isExpected = isExpectedAnswer(transfer.body, request.prompt, request.tokens);
    return isExpected ? LoadOutcome::Ok : LoadOutcome::Wrong;
}

bool LoadTool::isExpectedPlainAnswer(const Transfer &transfer)
{
    if (plainAnswer_.empty())
        plainAnswer_ = transfer.body;
    return !transfer.body.empty() && transfer.body == plainAnswer_;
}

void LoadTool::releaseTransfer(CURL *easy)
{
    const auto found = transfers_.find(easy);
    curl_easy_cleanup(easy);
    curl_slist_free_all(found->second->headers);
    transfers_.erase(found);
}

void LoadTool::continueClosedLoop(LoadOutcome outcome)
{
    if (options_.closedConnections == 0 || !isSending())
        return;
    if (outcome == LoadOutcome::Ok) {
        sendNext(std::chrono::steady_clock::now());
        return;
    }
    std::erase_if(pauseTimers_, [](const auto &timer) { return !timer->isActive(); });
    pauseTimers_.push_back(std::make_unique<Timer>(loop_, [this] {
        if (isSending())
            sendNext(std::chrono::steady_clock::now());
        else
            stopIfDrained();
    }));
    pauseTimers_.back()->startOnce(closedLoopPause);
}

void LoadTool::stopIfDrained()
{
    if (transfers_.empty() && !isSending())
        loop_.stop();
}

json LoadTool::finish()
{
    const double elapsed = secondsBetween(start_, std::chrono::steady_clock::now());
    for (const auto &[easy, transfer] : transfers_) {
        LoadResult result;
        result.outcome = LoadOutcome::Unfinished;
        result.account = accountOf(*transfer);
        statistics_.add(result);
    }
    return statistics_.report(std::min(elapsed, options_.sendingTime.count()));
}

const std::string &LoadTool::accountOf(const Transfer &transfer) const
{
    return options_.profile.accounts[transfer.request.account].name;
}

} // namespace lovagecourse
