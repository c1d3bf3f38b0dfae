#include "agent/OrderSender.h"

#include "core/Log.h"

#include <nlohmann/json.hpp>

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{300};
constexpr milliseconds orderTimeout{5000};
// While an announcement is on its way through the log.
constexpr milliseconds announcePoll{20};
// Shorter than any retention of the log.
constexpr milliseconds refreshInterval{3600000};
constexpr int statusConflict = 409;

} // namespace

OrderSender::OrderSender(Daemon &daemon, ClaimJournal &journal, ServerId server)
    : daemon_(daemon)
    , journal_(journal)
    , server_(std::move(server))
    , refresh_(daemon.loop(), [this] { refresh(); })
    , retry_(daemon.loop(), [this] { sendDue(); })
{
    refresh_.startRepeating(refreshInterval);
}

void OrderSender::onConfiguration(const ConfigurationState &)
{
    sendDue();
}

void OrderSender::sendDue()
{
    if (sending_)
        return;
    const ConfigurationState &state = daemon_.configuration().state();
    const auto server = state.servers.find(server_);
    if (server == state.servers.end())
        return;
    for (const ServerOrder &order : state.orders) {
        const auto settled = settled_.find(order.action);
        const bool isNew = settled == settled_.end() || settled->second < order.fencing;
        // A former run of this agent gave the order, or a newer one took its place.
        const bool isOutdated =
                order.fencing < journal_.coordinator().claimState().newestOrder(server_);
        const bool isDue = order.server == server_ && isNew && !isOutdated;
        if (!isDue)
            continue;
        sendOrder(order, server->second.address);
        return;
    }
}

bool OrderSender::mayGive(const ServerOrder &order)
{
    // Some servers check no numbers, so the log must show that no newer run of this agent started
    // and that none gave a newer order.
    const ClaimCoordinator &coordinator = journal_.coordinator();
    if (coordinator.isFenced()) {
        retry_.startOnce(retryInterval);
        return false;
    }
    if (coordinator.maySendOrder(order.fencing, daemon_.now()))
        return true;
    if (!coordinator.isAnnounced(order.fencing, daemon_.now())) {
        announced_ = order.fencing;
        journal_.coordinator().announceOrder(order.fencing, daemon_.now());
        journal_.pump();
    }
    retry_.startOnce(announcePoll);
    return false;
}

void OrderSender::refresh()
{
    if (sending_ || announced_ == FencingNumber(0) || !journal_.isNewestRun())
        return;
    journal_.coordinator().announceOrder(announced_, daemon_.now());
    journal_.pump();
}

void OrderSender::sendOrder(const ServerOrder &order, const Endpoint &address)
{
    if (!mayGive(order))
        return;
    sending_ = true;
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + toString(address) + "/orders";
    request.headers = {{"content-type", "application/json"}};
    request.body = nlohmann::json{{"fencing", order.fencing.value},
                                  {"action", order.action},
                                  {"argument", order.argument}}
                           .dump();
    request.totalTimeout = orderTimeout;
    auto status = std::make_shared<int>(0);
    HttpClient::Handlers handlers;
    handlers.onHead = [status](int received, const HeaderList &) { *status = received; };
    handlers.onDone = [this, order, status](const std::optional<HttpFailure> &failure) {
        sending_ = false;
        const bool taken = !failure && *status < 300;
        const bool outdated = !failure && *status == statusConflict;
        if (taken || outdated)
            settled_[order.action] = order.fencing;
        daemon_.metrics().count("lovagecourse_orders_total", taken      ? "taken"
                                                             : outdated ? "outdated"
                                                                        : "failed");
        logInfo(LogPart::Agent, "order ", order.action, " with number ", order.fencing,
                taken      ? " was taken"
                : outdated ? " was refused as outdated"
                           : " failed");
        retry_.startOnce(retryInterval);
    };
    daemon_.http().start(request, std::move(handlers));
}

} // namespace lovagecourse
