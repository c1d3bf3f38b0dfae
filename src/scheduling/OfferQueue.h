#pragma once

#include "core/Clock.h"
#include "core/Refusal.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Identifies an offer by the link over which it was received and its id on that link.
struct OfferKey
{
    /// Number of the link at this agent; not reused.
    std::uint64_t link = 0;
    OfferId offer;

    auto operator<=>(const OfferKey &) const = default;
};

/// An offer that waits at an agent.
struct QueuedOffer
{
    OfferKey key;
    Offer offer;
    TimePoint arrived;
};

/// Concurrency limit and requests in flight of the agent's server.
struct SlotState
{
    int limit = 1;
    int shortInFlight = 0;
    int longInFlight = 0;
    /// A crash suspect is in flight; nothing else may be granted.
    bool suspectRunning = false;
};

/// Order of grants among waiting offers.
enum class OfferOrder : std::uint8_t { LowestPosition, FirstComeFirstServed };

/// Limits and policies of an offer queue.
struct OfferQueueOptions
{
    std::size_t maxOffersPerAccount = 64;
    std::size_t maxOffers = 20000;
    OfferOrder order = OfferOrder::LowestPosition;
    /// False: all requests are treated as short.
    bool costClasses = true;
    /// A long request that waited this long is treated as short within its flow.
    milliseconds ageing{2000};
};

/// Slots above the limit that only short requests may take: max(1, limit / 8).
int shortReserve(int limit);

/// Offers that wait at one agent; selects the next one to grant.
///
/// By default the flow with the lowest position comes first. Within a flow, crash suspects come
/// first, then short offers, then long ones that have not aged. A crash suspect runs alone: it is
/// granted when the server is idle, and may block other grants for up to 2 s until then.
class OfferQueue
{
public:
    /// Returns the current fairness position of a flow.
    using PositionLookup = std::function<Position(const FlowId &)>;

    explicit OfferQueue(OfferQueueOptions options);
    ~OfferQueue();
    OfferQueue(const OfferQueue &) = delete;
    OfferQueue &operator=(const OfferQueue &) = delete;

    /// Adds an offer; returns the reason if it is refused. Ignores an offer that already waits.
    std::optional<RefusalReason> add(const OfferKey &key, const Offer &offer, TimePoint now);
    /// Removes an offer; false when it is not in the queue.
    bool withdraw(const OfferKey &key);
    /// Removes all offers of a link that closed.
    void withdrawLink(std::uint64_t link);
    /// Removes and returns the next offer to grant; empty when none may be granted now.
    std::optional<QueuedOffer> takeNext(TimePoint now, const SlotState &slots,
                                        const PositionLookup &position);
    /// Removes and returns all offers; for an agent that stops granting.
    std::vector<QueuedOffer> takeAll();
    /// Removes and returns offers whose deadline has passed.
    std::vector<QueuedOffer> takeExpired(TimePoint now);
    /// Number of waiting offers.
    std::size_t size() const;
    /// Flows with at least one waiting offer.
    std::vector<FlowId> waitingFlows() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
