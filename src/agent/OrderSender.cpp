#include "agent/OrderSender.h"

#include "agent/OrderTransfer.h"
#include "core/Log.h"

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{300};
// How often to check whether an announcement was read back from the log.
constexpr milliseconds announcementPollInterval{20};
// Must be shorter than the log's retention.
constexpr milliseconds reannounceInterval{3600000};

} // namespace

OrderSender::OrderSender(Daemon &daemon, ClaimLogClient &claimLog, ServerId server)
    : daemon_(daemon)
    , claimLog_(claimLog)
    , server_(std::move(server))
    , reannounceTimer_(daemon.loop(), [this] { reannounce(); })
    , retryTimer_(daemon.loop(), [this] { sendDue(); })
{
    reannounceTimer_.startRepeating(reannounceInterval);
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
        const auto handled = newestHandled_.find(order.action);
        const bool isNew = handled == newestHandled_.end() || handled->second < order.fencing;
        // A newer order was announced: an earlier incarnation sent this one, or it is superseded.
        const bool isOutdated =
                order.fencing < claimLog_.coordinator().claimState().newestOrder(server_);
        const bool isDue = order.server == server_ && isNew && !isOutdated;
        if (!isDue)
            continue;
        sendOrder(order, server->second.address);
        return;
    }
}

bool OrderSender::maySend(const ServerOrder &order)
{
    // Some servers do not check fencing numbers, so the log must show that no newer incarnation of
    // this agent started and that no newer order was announced.
    const ClaimCoordinator &coordinator = claimLog_.coordinator();
    if (coordinator.isFenced()) {
        retryTimer_.startOnce(retryInterval);
        return false;
    }
    if (coordinator.maySendOrder(order.fencing, daemon_.now()))
        return true;
    if (!coordinator.isAnnounced(order.fencing, daemon_.now())) {
        lastAnnounced_ = order.fencing;
        claimLog_.coordinator().announceOrder(order.fencing, daemon_.now());
        claimLog_.appendDueRecords();
    }
    retryTimer_.startOnce(announcementPollInterval);
    return false;
}

void OrderSender::reannounce()
{
    if (sending_ || lastAnnounced_ == FencingNumber(0) || !claimLog_.isNewestIncarnation())
        return;
    claimLog_.coordinator().announceOrder(lastAnnounced_, daemon_.now());
    claimLog_.appendDueRecords();
}

void OrderSender::sendOrder(const ServerOrder &order, const Endpoint &address)
{
    if (!maySend(order))
        return;
    sending_ = true;
    const auto mayStillSend = [this, order] {
        return claimLog_.coordinator().maySendOrder(order.fencing, daemon_.now());
    };
    startOrder(daemon_.http(), order, address, mayStillSend, [this, order](OrderResult result) {
        sending_ = false;
        const bool isHandled = result == OrderResult::Accepted || result == OrderResult::Outdated;
        if (isHandled)
            newestHandled_[order.action] = order.fencing;
        daemon_.metrics().count("lovagecourse_orders_total", metricLabel(result));
        logInfo(LogPart::Agent, "event=order action=", order.action, " fencing=", order.fencing,
                " result=", metricLabel(result));
        retryTimer_.startOnce(retryInterval);
    });
}

} // namespace lovagecourse
