#pragma once

#include "configuration/ConfigurationState.h"
#include "http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace lovagecourse {

/// How the transfer of an order to its server ended.
enum class OrderResult : std::uint8_t {
    Accepted,
    /// The server has accepted a newer order.
    Outdated,
    /// The order was no longer allowed when the connection was ready; no byte of it was sent.
    NotSent,
    /// The server may or may not have accepted the order.
    Failed
};

/// Label of the metric lovagecourse_orders_total.
std::string_view metricLabel(OrderResult result);

/// Sends an order once, on a connection of its own. maySend is called when that connection is
/// ready, directly before the order is written, since the process may have been suspended after it
/// decided to send the order. onDone is called exactly once.
void startOrder(HttpClient &http, const ServerOrder &order, const Endpoint &address,
                std::function<bool()> maySend, std::function<void(OrderResult)> onDone);

} // namespace lovagecourse
