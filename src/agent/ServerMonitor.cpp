#include "agent/ServerMonitor.h"

#include "core/Log.h"

#include <iterator>
#include <utility>

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{500};
constexpr milliseconds probeTimeout{1000};

} // namespace

ServerMonitor::ServerMonitor(Daemon &daemon, ChangeHandler onChange)
    : daemon_(daemon)
    , onChange_(std::move(onChange))
    , restartWatch_(daemon.loop(), daemon.clock())
    , retryTimer_(daemon.loop(), [this] { startProbe(); })
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
    // The answer to a running probe may be older than the break that the caller has seen.
    (probing_ ? laterHandlers_ : probeHandlers_).push_back(std::move(onProbed));
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
    // A pooled connection would not show whether the server accepts new ones.
    request.freshConnection = true;
    HttpClient::Handlers handlers;
    // Any HTTP status shows that the server is up; plain services do not implement /load.
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
        retryTimer_.startOnce(retryInterval);
    auto handlers = std::exchange(probeHandlers_, {});
    auto later = std::exchange(laterHandlers_, {});
    if (answered) {
        if (daemon_.settings().watchRestarts)
            restartWatch_.watch(*address_);
        probeHandlers_ = std::move(later);
    } else {
        std::move(later.begin(), later.end(), std::back_inserter(handlers));
    }
    for (const ProbeHandler &handler : handlers)
        handler(answered);
    if (!probeHandlers_.empty())
        startProbe();
    if (!changed)
        return;
    logInfo(LogPart::Backend, answered ? "server answers probes" : "server does not answer probes");
    onChange_(answered);
}

} // namespace lovagecourse
