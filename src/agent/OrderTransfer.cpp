#include "agent/OrderTransfer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace lovagecourse {

namespace {

constexpr milliseconds orderTimeout{5000};
// Bytes that the server's host has not acknowledged by then are given up. An order is sent within
// 2 s of its announcement and a new incarnation waits 3 s (ClaimCoordinator), so no retransmission
// arrives after an order of that incarnation.
constexpr milliseconds acknowledgementTimeout{1000};
constexpr int statusConflict = 409;
constexpr int firstNonSuccess = 300;

struct Progress
{
    int status = 0;
    bool isWithheld = false;
};

OrderResult orderResult(const Progress &progress, bool hasFailed)
{
    if (progress.isWithheld)
        return OrderResult::NotSent;
    if (hasFailed)
        return OrderResult::Failed;
    if (progress.status == statusConflict)
        return OrderResult::Outdated;
    return progress.status < firstNonSuccess ? OrderResult::Accepted : OrderResult::Failed;
}

} // namespace

std::string_view metricLabel(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "taken";
    case OrderResult::Outdated:
        return "outdated";
    case OrderResult::NotSent:
        return "not-sent";
    case OrderResult::Failed:
        return "failed";
    }
    return {};
}

void startOrder(HttpClient &http, const ServerOrder &order, const Endpoint &address,
                std::function<bool()> maySend, std::function<void(OrderResult)> onDone)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + toString(address) + "/orders";
    request.headers = {{"content-type", "application/json"}};
    request.body = nlohmann::json{{"fencing", order.fencing.value},
                                  {"action", order.action},
                                  {"argument", order.argument}}
                           .dump();
    request.totalTimeout = orderTimeout;
    request.tcpUserTimeout = acknowledgementTimeout;
    // libcurl would send the order again if a kept connection ended without an answer. sendBodyOnce
    // prevents that too, but writes head and body with two system calls, between which the process
    // may be suspended.
    request.freshConnection = true;
    auto progress = std::make_shared<Progress>();
    HttpClient::Handlers handlers;
    handlers.onConnected = [progress, maySend = std::move(maySend)] {
        progress->isWithheld = !maySend();
        return !progress->isWithheld;
    };
    handlers.onHead = [progress](const HttpHead &head) { progress->status = head.status; };
    handlers.onDone = [progress,
                       onDone = std::move(onDone)](const std::optional<HttpFailure> &failure) {
        onDone(orderResult(*progress, failure.has_value()));
    };
    http.start(std::move(request), std::move(handlers));
}

} // namespace lovagecourse
