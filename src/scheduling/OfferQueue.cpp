#include "scheduling/OfferQueue.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace lovagecourse {

namespace {

/// With up to this many waiting flows, every decision looks up all positions.
constexpr std::size_t maxExactLookupFlows = 64;
/// With more flows, all positions are looked up at this interval. Positions rarely decrease (only
/// when an estimate is corrected), and homes refresh them every 250 ms.
constexpr milliseconds refreshInterval{100};
/// Maximum time for which a crash suspect at the head of the queue stops grants, until the server
/// is idle.
constexpr milliseconds suspectBlockTimeout{2000};
/// Minimum time between a block that timed out and the next one; limits the lost capacity to 5%.
constexpr milliseconds suspectBlockPause{38000};

/// Sort key of a flow's offers: start of the request's wait, then arrival number.
using WaitOrder = std::pair<TimePoint, std::uint64_t>;
using OfferMap = std::map<WaitOrder, QueuedOffer>;

/// Offers of one flow.
struct FlowQueue
{
    FlowId flow;
    /// Sequence number of the flow; breaks ties between positions.
    std::uint64_t number = 0;
    /// Position by which the flow is sorted; may be older than the result of a lookup.
    Position position;
    OfferMap shortOffers;
    OfferMap longOffers;
    OfferMap suspects;

    bool empty() const { return shortOffers.empty() && longOffers.empty() && suspects.empty(); }
};

/// Orders by position, then by the time at which the flow began to wait.
struct PositionLess
{
    bool operator()(const FlowQueue *left, const FlowQueue *right) const
    {
        return std::tie(left->position, left->number) < std::tie(right->position, right->number);
    }
};

/// Location of an offer in the queue.
struct Location
{
    FlowQueue *queue = nullptr;
    OfferMap *offers = nullptr;
    WaitOrder waitOrder;
};

/// Kinds of offers that may be granted now.
struct Admission
{
    bool anyClass = false;
    /// Only a slot of the short reserve is free.
    bool shortOnly = false;
    /// Crash suspects may be granted, or may block other grants until the server is idle.
    bool suspects = false;
};

/// Next offer of a flow to be granted.
struct Head
{
    OfferMap *offers = nullptr;
    OfferMap::iterator offer;
    bool isSuspect = false;
};

TimePoint deadlineOf(const QueuedOffer &queued)
{
    return queued.arrived + milliseconds(queued.offer.deadlineMs);
}

} // namespace

int shortReserve(int limit)
{
    return std::max(1, limit / 8);
}

struct OfferQueue::Impl
{
    explicit Impl(OfferQueueOptions initial)
        : options(initial)
    {}

    FlowQueue &queueOf(const FlowId &flow);
    OfferMap &offersFor(FlowQueue &queue, const Offer &offer) const;
    QueuedOffer remove(const OfferKey &key);
    Admission admission(TimePoint now, const SlotState &slots) const;
    std::optional<Head> headOf(FlowQueue &queue, TimePoint now, const Admission &admitted) const;
    void refreshPositions(TimePoint now, const PositionLookup &position);
    std::optional<Head> lowestHead(TimePoint now, const Admission &admitted,
                                   const PositionLookup &position);
    std::optional<Head> oldestHead(TimePoint now, const Admission &admitted);
    /// Starts a block unless one is active. Until it times out, the queue waits for the server to
    /// become idle for a crash suspect at its head instead of skipping it.
    void blockForSuspect(TimePoint now);

    OfferQueueOptions options;
    std::unordered_map<FlowId, FlowQueue> flows;
    std::set<FlowQueue *, PositionLess> order;
    std::map<OfferKey, Location> index;
    std::set<std::pair<TimePoint, OfferKey>> deadlines;
    std::unordered_map<AccountId, std::size_t> offersOfAccount;
    std::uint64_t lastNumber = 0;
    /// Waiting short offers, without crash suspects.
    std::size_t shortCount = 0;
    /// Time of the last lookup of all positions.
    TimePoint refreshedAt;
    std::optional<TimePoint> blockedSince;
    std::optional<TimePoint> nextBlockAt;
};

FlowQueue &OfferQueue::Impl::queueOf(const FlowId &flow)
{
    const auto [found, isNew] = flows.try_emplace(flow);
    FlowQueue &queue = found->second;
    if (isNew) {
        queue.flow = flow;
        queue.number = ++lastNumber;
        // lowestHead() looks up positions from the front and only moves flows back, so a new flow
        // starts at the front.
        queue.position = Position(-std::numeric_limits<double>::infinity());
        order.insert(&queue);
    }
    return queue;
}

OfferMap &OfferQueue::Impl::offersFor(FlowQueue &queue, const Offer &offer) const
{
    if (offer.suspect)
        return queue.suspects;
    const bool isLong = options.costClasses && offer.costClass == CostClass::Long;
    return isLong ? queue.longOffers : queue.shortOffers;
}

QueuedOffer OfferQueue::Impl::remove(const OfferKey &key)
{
    const auto found = index.find(key);
    assert(found != index.end());
    const Location location = found->second;
    index.erase(found);
    auto node = location.offers->extract(location.waitOrder);
    QueuedOffer queued = std::move(node.mapped());
    deadlines.erase({deadlineOf(queued), key});
    if (location.offers == &location.queue->shortOffers)
        --shortCount;
    const auto count = offersOfAccount.find(queued.offer.flow.account);
    if (--count->second == 0)
        offersOfAccount.erase(count);
    if (location.queue->empty()) {
        order.erase(location.queue);
        flows.erase(queued.offer.flow);
    }
    return queued;
}

Admission OfferQueue::Impl::admission(TimePoint now, const SlotState &slots) const
{
    Admission admitted;
    const int inFlight = slots.shortInFlight + slots.longInFlight;
    admitted.anyClass = inFlight < slots.limit;
    // At most one reserve slot per running long request, so that short requests alone stay within
    // the limit.
    const int reserve = std::min(shortReserve(slots.limit), slots.longInFlight);
    // The reserve also stays available when the limit falls below the number of long requests in
    // flight. Without this, short requests waited 2 s for several long ones to end.
    const bool isReserveFree = inFlight < slots.limit + reserve || slots.shortInFlight < reserve;
    admitted.shortOnly =
            options.costClasses && !admitted.anyClass && shortCount > 0 && isReserveFree;
    const bool canBlock = blockedSince ? now - *blockedSince < suspectBlockTimeout
                                       : !nextBlockAt || now >= *nextBlockAt;
    admitted.suspects = admitted.anyClass && (inFlight == 0 || canBlock);
    return admitted;
}

std::optional<Head> OfferQueue::Impl::headOf(FlowQueue &queue, TimePoint now,
                                             const Admission &admitted) const
{
    if (admitted.suspects && !queue.suspects.empty())
        return Head{&queue.suspects, queue.suspects.begin(), true};
    const bool hasShort = !queue.shortOffers.empty();
    if (!admitted.anyClass || queue.longOffers.empty()) {
        if (!hasShort)
            return std::nullopt;
        return Head{&queue.shortOffers, queue.shortOffers.begin()};
    }
    const WaitOrder oldestLong = queue.longOffers.begin()->first;
    const bool aged = now - oldestLong.first >= options.ageing;
    const bool shortFirst = hasShort && (!aged || queue.shortOffers.begin()->first < oldestLong);
    OfferMap &offers = shortFirst ? queue.shortOffers : queue.longOffers;
    return Head{&offers, offers.begin()};
}

void OfferQueue::Impl::refreshPositions(TimePoint now, const PositionLookup &position)
{
    if (order.size() > maxExactLookupFlows && now - refreshedAt < refreshInterval)
        return;
    refreshedAt = now;
    order.clear();
    for (auto &[flow, queue] : flows) {
        queue.position = position(flow);
        order.insert(&queue);
    }
}

std::optional<Head> OfferQueue::Impl::lowestHead(TimePoint now, const Admission &admitted,
                                                 const PositionLookup &position)
{
    refreshPositions(now, position);
    auto next = order.begin();
    while (next != order.end()) {
        FlowQueue *queue = *next;
        const std::optional<Head> head = headOf(*queue, now, admitted);
        if (!head) {
            ++next;
            continue;
        }
        const Position current = position(queue->flow);
        if (current <= queue->position)
            return head;
        next = order.erase(next);
        queue->position = current;
        const auto moved = order.insert(queue).first;
        if (next == order.end() || PositionLess{}(*moved, *next))
            next = moved;
    }
    return std::nullopt;
}

std::optional<Head> OfferQueue::Impl::oldestHead(TimePoint now, const Admission &admitted)
{
    std::optional<Head> oldest;
    for (auto &[flow, queue] : flows) {
        const std::optional<Head> head = headOf(queue, now, admitted);
        if (head && (!oldest || head->offer->first < oldest->offer->first))
            oldest = head;
    }
    return oldest;
}

void OfferQueue::Impl::blockForSuspect(TimePoint now)
{
    if (blockedSince)
        return;
    blockedSince = now;
    nextBlockAt = now + suspectBlockTimeout + suspectBlockPause;
}

OfferQueue::OfferQueue(OfferQueueOptions options)
    : impl_(std::make_unique<Impl>(options))
{}

OfferQueue::~OfferQueue() = default;

std::optional<RefusalReason> OfferQueue::add(const OfferKey &key, const Offer &offer, TimePoint now)
{
    if (impl_->index.contains(key))
        return std::nullopt;
    if (impl_->index.size() >= impl_->options.maxOffers)
        return RefusalReason::AgentQueueFull;
    const auto count = impl_->offersOfAccount.find(offer.flow.account);
    if (count != impl_->offersOfAccount.end()
        && count->second >= impl_->options.maxOffersPerAccount)
        return RefusalReason::AgentQueueFull;

    FlowQueue &queue = impl_->queueOf(offer.flow);
    OfferMap &offers = impl_->offersFor(queue, offer);
    const WaitOrder waitOrder{now - milliseconds(offer.waitedMs), ++impl_->lastNumber};
    const QueuedOffer queued{key, offer, now};
    offers.emplace(waitOrder, queued);
    impl_->index.emplace(key, Location{&queue, &offers, waitOrder});
    impl_->deadlines.emplace(deadlineOf(queued), key);
    ++impl_->offersOfAccount[offer.flow.account];
    if (&offers == &queue.shortOffers)
        ++impl_->shortCount;
    return std::nullopt;
}

bool OfferQueue::withdraw(const OfferKey &key)
{
    if (!impl_->index.contains(key))
        return false;
    impl_->remove(key);
    return true;
}

void OfferQueue::withdrawLink(std::uint64_t link)
{
    auto next = impl_->index.lower_bound(OfferKey{link, OfferId(0)});
    while (next != impl_->index.end() && next->first.link == link) {
        const OfferKey key = next->first;
        ++next;
        impl_->remove(key);
    }
}

std::optional<QueuedOffer> OfferQueue::takeNext(TimePoint now, const SlotState &slots,
                                                const PositionLookup &position)
{
    if (slots.suspectRunning || impl_->index.empty())
        return std::nullopt;
    if (impl_->blockedSince && now - *impl_->blockedSince >= suspectBlockTimeout)
        impl_->blockedSince.reset();
    const Admission admitted = impl_->admission(now, slots);
    if (!admitted.anyClass && !admitted.shortOnly)
        return std::nullopt;

    const bool byPosition = impl_->options.order == OfferOrder::LowestPosition;
    const std::optional<Head> head = byPosition ? impl_->lowestHead(now, admitted, position)
                                                : impl_->oldestHead(now, admitted);
    if (!head)
        return std::nullopt;
    if (head->isSuspect && slots.shortInFlight + slots.longInFlight > 0) {
        impl_->blockForSuspect(now);
        return std::nullopt;
    }
    if (head->isSuspect) {
        impl_->blockedSince.reset();
        impl_->nextBlockAt.reset();
    }
    return impl_->remove(head->offer->second.key);
}

std::vector<QueuedOffer> OfferQueue::takeAll()
{
    std::vector<QueuedOffer> taken;
    taken.reserve(impl_->index.size());
    while (!impl_->index.empty()) {
        const OfferKey key = impl_->index.begin()->first;
        taken.push_back(impl_->remove(key));
    }
    return taken;
}

std::vector<QueuedOffer> OfferQueue::takeExpired(TimePoint now)
{
    std::vector<QueuedOffer> taken;
    while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
        const OfferKey key = impl_->deadlines.begin()->second;
        taken.push_back(impl_->remove(key));
    }
    return taken;
}

std::size_t OfferQueue::size() const
{
    return impl_->index.size();
}

std::vector<FlowId> OfferQueue::waitingFlows() const
{
    std::vector<FlowId> waiting;
    waiting.reserve(impl_->flows.size());
    for (const auto &[flow, queue] : impl_->flows)
        waiting.push_back(flow);
    return waiting;
}

} // namespace lovagecourse
