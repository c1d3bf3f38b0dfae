#include "gateway/QuietConnections.h"

namespace lovagecourse {

namespace {

// Clients send their first bytes with the handshake's last packet or right after it; this allows
// for a client that is busy.
constexpr milliseconds firstByteTime{100};
// header_timeout_ms of the deployments.
constexpr milliseconds requestLineTime{3000};

} // namespace

bool mayCloseUnused(std::chrono::nanoseconds age, bool hasReceivedBytes)
{
    return age >= (hasReceivedBytes ? requestLineTime : firstByteTime);
}

void QuietConnections::addUnused(MHD_Connection *connection, TimePoint now)
{
    add({connection, true, now});
}

void QuietConnections::addIdle(MHD_Connection *connection, TimePoint now)
{
    add({connection, false, now});
}

void QuietConnections::add(const QuietConnection &quiet)
{
    remove(quiet.connection);
    numbers_[quiet.connection] = ++lastNumber_;
    (quiet.isUnused ? unused_ : idle_)[lastNumber_] = quiet;
}

void QuietConnections::remove(MHD_Connection *connection)
{
    const auto found = numbers_.find(connection);
    if (found == numbers_.end())
        return;
    unused_.erase(found->second);
    idle_.erase(found->second);
    numbers_.erase(found);
}

void QuietConnections::visit(const std::function<bool(const QuietConnection &)> &function) const
{
    for (const auto *connections : {&unused_, &idle_}) {
        for (auto next = connections->begin(); next != connections->end();) {
            const QuietConnection quiet = next->second;
            ++next;
            if (!function(quiet))
                return;
        }
    }
}

} // namespace lovagecourse
