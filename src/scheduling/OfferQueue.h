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

/// An offer and the link that it came over.
struct OfferKey
{
    /// Number of the link at this agent; never used again.
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

/// Slots of the agent's server.
struct SlotState
{
    int limit = 1;
    int shortInFlight = 0;
    int longInFlight = 0;
    /// A crash suspect runs, which must run alone.
    bool suspectRuns = false;
};

/// Order among waiting offers.
enum class OfferOrder : std::uint8_t { LowestPosition, FirstComeFirstServed };

/// Limits and policies of an offer queue.
struct OfferQueueOptions
{
    std::size_t maxOffersPerAccount = 64;
    std::size_t maxOffers = 20000;
    OfferOrder order = OfferOrder::LowestPosition;
    bool costClasses = true;
    /// A long request that waited this long is treated as short within its account.
    milliseconds ageing{2000};
};

/// Slots beyond the limit that only short work may take: max(1, limit / 8).
int shortReserve(int limit);

/// Offers that wait at one agent, and which of them is granted next.
class OfferQueue
{
public:
    using PositionLookup = std::function<Position(const FlowId &)>;

    explicit OfferQueue(OfferQueueOptions options);
    ~OfferQueue();
    OfferQueue(const OfferQueue &) = delete;
    OfferQueue &operator=(const OfferQueue &) = delete;

    /// Empty when the offer now waits; else why it is refused.
    std::optional<RefusalReason> add(const OfferKey &key, const Offer &offer, TimePoint now);
    /// Removes an offer; false when it did not wait.
    bool withdraw(const OfferKey &key);
    /// Removes all offers of a link that closed.
    void withdrawLink(std::uint64_t link);
    /// Takes the offer to be granted next; empty when there is no slot for any.
    std::optional<QueuedOffer> takeNext(TimePoint now, const SlotState &slots,
                                        const PositionLookup &position);
    /// Removes and returns all offers, for an agent that stops granting.
    std::vector<QueuedOffer> takeAll();
    /// Removes and returns offers whose deadline passed.
    std::vector<QueuedOffer> takeExpired(TimePoint now);
    std::size_t size() const;
    /// Flows with at least one waiting offer.
    std::vector<FlowId> waitingFlows() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
