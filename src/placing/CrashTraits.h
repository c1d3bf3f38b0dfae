#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Hash of something that requests may have in common: one part of their prompts, or the whole
/// request when it comes again.
using TraitHash = std::uint64_t;
/// Identifies one run of a server, from its start to its end.
using ServerRunHash = std::uint64_t;

/// Trait of a request as a whole, for the same one that comes again under another id.
TraitHash wholeRequestTrait(std::string_view account, std::string_view method,
                            std::string_view target, std::string_view body);

/// A server broke the connection of a request with the trait before the answer began.
struct TraitCrash
{
    TraitHash trait = 0;
    ServerRunHash serverRun = 0;
    TimePoint sentAt;
    TimePoint brokenAt;
};

/// What happens to a request with certain traits.
enum class TraitDecision : std::uint8_t {
    Accept,
    /// Accepted to find out whether a trait crashes servers.
    Try,
    /// Another trait, which this request does not have, may be the cause of all crashes.
    RejectForNow,
    Reject
};

std::string_view toString(TraitDecision decision);

/// Finds the traits of requests that crash each server that begins to answer them, from what the
/// routers see: connections that break before the answer begins, and answers that begin. A trait is
/// rejected when several servers have broken off requests with it and none has begun to answer one
/// in the meantime. Sound traits of a request that crashes servers are cleared by the answers to
/// other requests. Two traits that have always come together are rejected together; a request with
/// only one of them is tried now and then.
class CrashTraits
{
public:
    /// Adds what this or another router has seen. Returns whether it was new.
    bool onCrash(const TraitCrash &crash, TimePoint now);
    /// An answer to a request with the trait has begun; drops what was seen before. Returns whether
    /// the trait was suspected.
    bool onBegun(TraitHash trait, TimePoint begunAt);
    /// The server has answered a request that was sent at the given time, so it had not crashed
    /// before; drops its crashes from shortly before.
    void onAlive(ServerRunHash serverRun, TimePoint sentAt, TimePoint now);
    /// When an answer last cleared the trait; kept for 30 seconds.
    std::optional<TimePoint> clearedAt(TraitHash trait) const;
    /// Decides about a request with these traits; draw is a random number in [0, 1).
    TraitDecision decide(const std::vector<TraitHash> &traits, double draw, TimePoint now);
    /// Returns the first of the traits that is rejected.
    std::optional<TraitHash> findRejected(const std::vector<TraitHash> &traits,
                                          TimePoint now) const;
    /// Time until the trait is accepted again; 0 when it is not rejected.
    std::chrono::nanoseconds rejectedFor(TraitHash trait, TimePoint now) const;
    /// All that is known of suspected traits, for other routers; the latest are kept.
    std::vector<TraitCrash> crashes(TimePoint now, std::size_t maxCount) const;
    /// Removes what has expired.
    void expire(TimePoint now);
    /// True when nothing is suspected.
    bool isEmpty() const { return suspects_.empty(); }
    std::size_t rejectedCount(TimePoint now) const;

private:
    struct Seen
    {
        TimePoint sentAt;
        TimePoint brokenAt;
    };

    struct Suspect
    {
        std::map<ServerRunHash, Seen> crashes;
        TimePoint lastCrash;
        TimePoint lastTry;
    };

    bool isExplained(const Suspect &suspect, const std::vector<TraitHash> &traits,
                     TimePoint now) const;
    const Suspect *rejectedSuspect(TraitHash trait, TimePoint now) const;
    bool makeRoom(TimePoint now);

    std::unordered_map<TraitHash, Suspect> suspects_;
    /// Latest answers of traits that were suspected; crashes from before are ignored.
    std::unordered_map<TraitHash, TimePoint> cleared_;
    /// When the latest request was sent that a server answered, for servers with dropped crashes.
    std::unordered_map<ServerRunHash, TimePoint> alive_;
    /// When servers last broke off a request with a suspected trait.
    std::unordered_map<ServerRunHash, TimePoint> lastBroken_;
};

} // namespace lovagecourse
