#include "agent/ServerMonitor.h"

#include "core/Log.h"

#include <utility>

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{500};
constexpr milliseconds probeTimeout{1000};

} // namespace

ServerMonitor::ServerMonitor(Daemon &daemon, UpHandler onUp)
    : daemon_(daemon)
    , onUp_(std::move(onUp))
    , retry_(daemon.loop(), [this] { startProbe(); })
{}

void ServerMonitor::setAddress(const Endpoint &address)
{
    if (address_ == address)
        return;
    address_ = address;
    startProbe();
}

void ServerMonitor::probe(ProbeHandler onProbed)
{
    waiting_.push_back(std::move(onProbed));
    startProbe();
}

void ServerMonitor::startProbe()
{
    if (probing_ || !address_)
        return;
    probing_ = true;
    HttpRequest request;
    request.url = "http://" + toString(*address_) + "/load";
    request.connectTimeout = probeTimeout;
    request.totalTimeout = probeTimeout;
    // A pooled connection would not show that the server takes new ones.
    request.freshConnection = true;
    HttpClient::Handlers handlers;
    // Any HTTP answer shows that the server is up; plain services have no load report.
    handlers.onDone = [this](const std::optional<HttpFailure> &failure) {
        onProbed(!failure.has_value());
    };
    daemon_.http().start(request, std::move(handlers));
}

void ServerMonitor::onProbed(bool answered)
{
    probing_ = false;
    const bool changed = answered != up_;
    up_ = answered;
    if (!answered)
        retry_.startOnce(retryInterval);
    const auto waiting = std::exchange(waiting_, {});
    for (const ProbeHandler &handler : waiting)
        handler(answered);
    if (!changed)
        return;
    logInfo(LogPart::Backend, answered ? "server answers" : "server does not answer");
    onUp_(answered);
}

} // namespace lovagecourse
