#include "agent/ServerMonitor.h"

#include "core/Log.h"

#include <curl/curl.h>

#include <iterator>
#include <utility>

namespace lovagecourse {

namespace {

constexpr milliseconds retryInterval{500};
constexpr milliseconds probeTimeout{1000};
// A server that is ending may still accept a connection and reset it. The next attempt is refused.
constexpr int maxProbeAttempts = 3;

} // namespace

ServerMonitor::ServerMonitor(Daemon &daemon, ChangeHandler onChange)
    : daemon_(daemon)
    , onChange_(std::move(onChange))
    , restartWatches_(daemon.loop(), daemon.clock())
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
    handlers.onDone = [this](const std::optional<HttpFailure> &failure) { onProbeEnded(failure); };
    daemon_.http().start(request, std::move(handlers));
}

void ServerMonitor::onProbeEnded(const std::optional<HttpFailure> &failure)
{
    probing_ = false;
    const int code = failure ? failure->curlCode : CURLE_OK;
    const bool isBroken =
            failure && code != CURLE_COULDNT_CONNECT && code != CURLE_OPERATION_TIMEDOUT;
    if (isBroken && ++brokenAttempts_ < maxProbeAttempts)
        return startProbe();
    brokenAttempts_ = 0;
    onProbed(!failure                        ? ProbeResult::Answered
             : code == CURLE_COULDNT_CONNECT ? ProbeResult::Refused
                                             : ProbeResult::Silent);
}

void ServerMonitor::onProbed(ProbeResult result)
{
    const bool answered = result == ProbeResult::Answered;
    const bool changed = answered != up_;
    up_ = answered;
    if (!answered)
        retryTimer_.startOnce(retryInterval);
    auto handlers = std::exchange(probeHandlers_, {});
    auto later = std::exchange(laterHandlers_, {});
    if (answered) {
        if (daemon_.settings().watchRestarts)
            restartWatches_.watch(*address_);
        probeHandlers_ = std::move(later);
    } else {
        std::move(later.begin(), later.end(), std::back_inserter(handlers));
    }
    for (const ProbeHandler &handler : handlers)
        handler(result);
    if (!probeHandlers_.empty())
        startProbe();
    if (!changed)
        return;
    logInfo(LogPart::Backend, answered ? "server answers probes" : "server does not answer probes");
    onChange_(answered);
}

} // namespace lovagecourse
