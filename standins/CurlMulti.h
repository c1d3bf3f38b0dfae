#pragma once

#include "core/EventLoop.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>

namespace lovagecourse {

/// Runs libcurl transfers in the event loop (multi socket interface).
class CurlMulti
{
public:
    using DoneHandler = std::function<void(CURL *easy, CURLcode code)>;

    CurlMulti(EventLoop &loop, DoneHandler onDone);
    ~CurlMulti();
    CurlMulti(const CurlMulti &) = delete;
    CurlMulti &operator=(const CurlMulti &) = delete;

    /// Starts a transfer; its end calls the handler, which then owns the handle.
    void add(CURL *easy);
    /// Cancels a transfer and closes its connection without calling the handler.
    void remove(CURL *easy);

private:
    static int onSocket(CURL *easy, curl_socket_t descriptor, int what, void *self, void *);
    static int onTimeout(CURLM *multi, long timeoutMs, void *self);

    void runSocketAction(curl_socket_t descriptor, int events);
    void reportFinishedTransfers();

    EventLoop &loop_;
    DoneHandler onDone_;
    CURLM *multi_;
    Timer timer_;
    std::map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers_;
};

} // namespace lovagecourse
