#include "gateway/ReadObserver.h"

#include <sys/socket.h>

#include <utility>

namespace lovagecourse {

namespace {

thread_local ReadObserver *innermost = nullptr;

} // namespace

ReadObserver::ReadObserver(OnRead onRead)
    : onRead_(std::move(onRead))
    , outer_(std::exchange(innermost, this))
{}

ReadObserver::~ReadObserver()
{
    innermost = outer_;
}

void ReadObserver::notify(int descriptor, std::string_view bytes)
{
    if (innermost)
        innermost->onRead_(descriptor, bytes);
}

} // namespace lovagecourse

/// Replaces recv() of the C library in the whole process. recvfrom() without an address is the
/// same system call.
extern "C" __attribute__((visibility("default"))) ssize_t recv(int descriptor, void *buffer,
                                                               size_t size, int flags)
{
    const ssize_t count = recvfrom(descriptor, buffer, size, flags, nullptr, nullptr);
    if (count > 0 && (flags & MSG_PEEK) == 0)
        lovagecourse::ReadObserver::notify(
                descriptor,
                std::string_view(static_cast<const char *>(buffer), static_cast<size_t>(count)));
    return count;
}
