#pragma once

#include "core/EventLoop.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>

namespace lovagecourse {

/// libcurl multi handle in the event loop.
class CurlMulti
{
public:
    using DoneHandler = std::function<void(CURL *easy, CURLcode code)>;

    CurlMulti(EventLoop &loop, DoneHandler onDone);
    ~CurlMulti();
    CurlMulti(const CurlMulti &) = delete;
    CurlMulti &operator=(const CurlMulti &) = delete;

    /// Starts a transfer; the handler gets the handle back when it ends.
    void add(CURL *easy);
    /// Stops a transfer and closes its connection; the handler is not called.
    void remove(CURL *easy);

private:
    static int onSocket(CURL *easy, curl_socket_t descriptor, int what, void *self, void *);
    static int onTimeout(CURLM *multi, long timeoutMs, void *self);

    void act(curl_socket_t descriptor, int events);
    void reportDone();

    EventLoop &loop_;
    DoneHandler onDone_;
    CURLM *multi_;
    Timer timer_;
    std::map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers_;
};

} // namespace lovagecourse
