#include "agent/OrderSender.h"

#include "core/Log.h"

#include <nlohmann/json.hpp>

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{300};
constexpr milliseconds orderTimeout{5000};
constexpr int statusConflict = 409;

} // namespace

OrderSender::OrderSender(Daemon &daemon, ClaimJournal &journal, ServerId server)
    : daemon_(daemon)
    , journal_(journal)
    , server_(std::move(server))
    , retry_(daemon.loop(), [this] { sendDue(); })
{}

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
        const bool isDue = order.server == server_ && isNew;
        if (!isDue)
            continue;
        sendOrder(order, server->second.address);
        return;
    }
}

void OrderSender::sendOrder(const ServerOrder &order, const Endpoint &address)
{
    // A run that a newer one replaced must not give orders, since some servers check no numbers.
    if (!journal_.isNewestRun()) {
        retry_.startOnce(retryInterval);
        return;
    }
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
