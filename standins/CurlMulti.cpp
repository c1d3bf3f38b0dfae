#include "CurlMulti.h"

#include <utility>

namespace lovagecourse {

namespace {

// Large enough for all concurrent streams of a trial, so that requests reuse connections instead
// of waiting for new ones.
constexpr long maxIdleConnections = 4096;

} // namespace

CurlMulti::CurlMulti(EventLoop &loop, DoneHandler onDone)
    : loop_(loop)
    , onDone_(std::move(onDone))
    , multi_(curl_multi_init())
    , timer_(loop, [this] { runSocketAction(CURL_SOCKET_TIMEOUT, 0); })
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlMulti::onSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlMulti::onTimeout);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxIdleConnections);
}

CurlMulti::~CurlMulti()
{
    curl_multi_cleanup(multi_);
}

void CurlMulti::add(CURL *easy)
{
    curl_multi_add_handle(multi_, easy);
}

void CurlMulti::remove(CURL *easy)
{
    curl_multi_remove_handle(multi_, easy);
}

int CurlMulti::onSocket(CURL *, curl_socket_t descriptor, int what, void *self, void *)
{
    auto &multi = *static_cast<CurlMulti *>(self);
    if (what == CURL_POLL_REMOVE) {
        multi.watchers_.erase(descriptor);
        return 0;
    }
    auto &watcher = multi.watchers_[descriptor];
    if (!watcher) {
        watcher = std::make_unique<IoWatcher>(
                multi.loop_, descriptor,
                [&multi, descriptor](int events) { multi.runSocketAction(descriptor, events); });
    }
    const int reads = (what & CURL_POLL_IN) != 0 ? EV_READ : 0;
    const int writes = (what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0;
    watcher->watch(reads | writes);
    return 0;
}

int CurlMulti::onTimeout(CURLM *, long timeoutMs, void *self)
{
    auto &multi = *static_cast<CurlMulti *>(self);
    if (timeoutMs < 0)
        multi.timer_.stop();
    else
        multi.timer_.startOnce(std::chrono::milliseconds(timeoutMs));
    return 0;
}

void CurlMulti::runSocketAction(curl_socket_t descriptor, int events)
{
    const int reads = (events & EV_READ) != 0 ? CURL_CSELECT_IN : 0;
    const int writes = (events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0;
    int running = 0;
    curl_multi_socket_action(multi_, descriptor, reads | writes, &running);
    reportFinishedTransfers();
}

void CurlMulti::reportFinishedTransfers()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        // Removing the handle invalidates the message.
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(multi_, easy);
        onDone_(easy, code);
    }
}

} // namespace lovagecourse
