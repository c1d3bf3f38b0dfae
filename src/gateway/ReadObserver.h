#pragma once

#include <functional>
#include <string_view>

namespace lovagecourse {

/// While it exists, reports the bytes that recv() returns in this thread, before its caller gets
/// them. Observers may be nested; only the innermost one is called.
///
/// libmicrohttpd has no callback between reading a head and parsing it, and peeking at the socket
/// before it reads misses bytes that arrive in between. This program therefore defines recv(),
/// which replaces the one of the C library also for shared libraries.
class ReadObserver
{
public:
    using OnRead = std::function<void(int descriptor, std::string_view bytes)>;

    explicit ReadObserver(OnRead onRead);
    ~ReadObserver();
    ReadObserver(const ReadObserver &) = delete;
    ReadObserver &operator=(const ReadObserver &) = delete;

    /// Calls the innermost observer of this thread, if there is one.
    static void notify(int descriptor, std::string_view bytes);

private:
    OnRead onRead_;
    ReadObserver *outer_;
};

} // namespace lovagecourse
