#pragma once

#include "core/Clock.h"
#include "placing/FairShares.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace lovagecourse {

/// Which requests of an account arrive in a window that one of its earlier requests was told by
/// Retry-After. Only for the metric of how often such a request is admitted: a client's attempts
/// have nothing in common but the account, so a new request of the account in that window counts
/// as a return.
class ReturnPromises
{
public:
    /// Time after the told one in which a request counts as a return. Clients are a few
    /// milliseconds away; the rest is for the delay of a busy client or router.
    static constexpr milliseconds window{250};
    /// Bounds the memory for an account that sends many times its share.
    static constexpr std::size_t maxPerAccount = 256;

    void onRejected(AccountHash account, milliseconds retryAfter, TimePoint now);
    /// Returns whether the request that arrives now is a return; each told window counts for one.
    bool takeReturn(AccountHash account, TimePoint now);

private:
    /// Accounts that go elsewhere would be kept otherwise.
    static constexpr seconds removeInterval{1};

    void removeExpired(TimePoint now);

    /// Told times, in their order. Accounts without any are removed.
    std::unordered_map<AccountHash, std::deque<TimePoint>> told_;
    TimePoint removedAt_;
};

} // namespace lovagecourse
