#include "store/StoreContact.h"

#include "direct/ServerDirectory.h"
#include "store/FleetStore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lovagecourse;

namespace {

constexpr milliseconds renewalInterval{1200};
constexpr milliseconds step{20};

struct StoreContactFixture
{
    StoreContact contact;
    TimePoint begin{std::chrono::hours(1)};

    void answerAt(milliseconds time) { contact.onAnswer(begin + time); }
};

/// Servers that renew their registrations in a store, a router that reads it and another that tells
/// of its reads, in steps of simulated time. The store may be down, the router's reads may be late,
/// the router alone may be cut off from the store.
class StoreHistory
{
public:
    explicit StoreHistory(unsigned seed)
        : random_(seed)
    {
        for (int i = 0; i < serverCount; ++i) {
            Server server;
            server.id = ServerId("s" + std::to_string(i));
            server.nextRenewal = now_ + pick(0, 1200);
            servers_.push_back(server);
        }
        readAt_ = now_ + milliseconds(1300);
    }

    void run(milliseconds time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step) {
            changeFaults();
            for (Server &server : servers_)
                runServer(server);
            if (now_ >= otherReadAt_ && now_ >= storeDownUntil_) {
                contact_.onAnswer(now_);
                otherReadAt_ = now_ + pick(700, 800);
            }
            if (now_ >= readAt_)
                read();
            check();
        }
    }

    int soundServersDropped() const { return soundServersDropped_; }
    int lateRemovals() const { return lateRemovals_; }
    int removals() const { return removals_; }
    int expiries() const { return expiries_; }

private:
    static constexpr int serverCount = 20;

    struct Server
    {
        ServerId id;
        TimePoint nextRenewal;
        TimePoint renewedAt;
        bool isListed = false;
        /// Removed on purpose; does not come back.
        bool isRemoved = false;
        TimePoint removedAt;
        /// First read after the removal that the store answered.
        std::optional<TimePoint> removalReadAt;
        /// An outage just before it makes it look like an expiry.
        bool mayHold = false;
        /// Time after removalReadAt in which no read was answered.
        std::chrono::nanoseconds unreadSince{0};
    };

    milliseconds pick(int from, int to)
    {
        return milliseconds(std::uniform_int_distribution<>(from, to)(random_));
    }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

    void append(const Server &server, bool isRenewal)
    {
        records_.push_back(KeyedRecord{
                server.id.value, isRenewal ? std::optional<std::string>("v") : std::nullopt, {}});
    }

    void changeFaults()
    {
        if (now_ < nextFault_)
            return;
        nextFault_ = now_ + pick(4000, 15000);
        const TimePoint end = now_ + pick(300, 9000);
        if (chance(0.5))
            storeDownUntil_ = end;
        else
            routerCutUntil_ = end;
    }

    void runServer(Server &server)
    {
        const bool isUp = now_ >= storeDownUntil_;
        if (server.isListed && now_ - server.renewedAt >= 3 * renewalInterval) {
            server.isListed = false;
            ++expiries_;
            append(server, false);
        }
        if (server.isRemoved || now_ < server.nextRenewal)
            return;
        if (!isUp) {
            server.nextRenewal = now_ + pick(200, 1200);
            return;
        }
        if (server.isListed && removals_ < serverCount / 2 && chance(0.02)) {
            server.isRemoved = true;
            server.isListed = false;
            server.removedAt = now_;
            ++removals_;
            append(server, false);
            return;
        }
        server.nextRenewal = now_ + pick(1150, 1250);
        server.renewedAt = now_;
        // A renewal of a registration that is there is no record.
        if (!std::exchange(server.isListed, true))
            append(server, true);
    }

    void read()
    {
        const bool isAnswered = now_ >= storeDownUntil_ && now_ >= routerCutUntil_ && !chance(0.15);
        if (!isAnswered) {
            isFailing_ = true;
            readAt_ = now_ + pick(600, 1000);
            return;
        }
        const bool wasFailing = std::exchange(isFailing_, false);
        contact_.onAnswer(now_);
        const auto silence = contact_.takeLongestSilence();
        if (wasFailing && asOf_)
            directory_.onStoreReturned(now_ - *asOf_, silence, now_);
        if (wasFailing && asOf_)
            mayHoldUntil_ += now_ - *asOf_;
        const bool wasOutage = !asOf_ || storeDownUntil_ > *asOf_;
        if (wasOutage)
            mayHoldUntil_ = now_ + ServerDirectory::reregistrationGrace;
        for (const KeyedRecord &record : records_)
            apply(record);
        records_.clear();
        for (Server &server : servers_) {
            if (server.removalReadAt && wasFailing)
                server.unreadSince += now_ - *asOf_;
            // A further outage starts the grace period again.
            const bool isHeld = server.mayHold && usable_[server.id];
            if (server.isRemoved && (!server.removalReadAt || (wasOutage && isHeld))) {
                server.unreadSince = std::chrono::nanoseconds(0);
                server.removalReadAt = now_;
                server.mayHold = now_ <= mayHoldUntil_;
            }
        }
        asOf_ = now_;
        readAt_ = now_ + pick(700, 900);
    }

    void apply(const KeyedRecord &record)
    {
        std::optional<ServerEntry> entry;
        if (record.value) {
            entry.emplace();
            entry->id = ServerId(record.key);
        }
        const ServerId id(record.key);
        apply(directory_.apply(id, entry, asOf_, now_));
    }

    void apply(const std::vector<RegistrationChange> &changes)
    {
        for (const RegistrationChange &change : changes)
            usable_[change.id] = change.entry.has_value();
    }

    void check()
    {
        apply(directory_.expire(!isFailing_, now_));
        for (Server &server : servers_) {
            // All servers live until they are removed, and register again soon after an outage.
            if (!server.isRemoved && usable_.contains(server.id) && !usable_[server.id])
                ++soundServersDropped_;
            const bool isHeld = server.removalReadAt && usable_[server.id];
            // After a real outage within the unread time, nothing tells a removal from an expiry.
            const std::chrono::nanoseconds bound =
                    server.mayHold ? ServerDirectory::reregistrationGrace + server.unreadSince
                                   : std::chrono::nanoseconds(0);
            if (isHeld && !isFailing_ && now_ > *server.removalReadAt + bound + step)
                ++lateRemovals_;
        }
    }

    std::mt19937 random_;
    TimePoint now_{std::chrono::hours(1)};
    std::vector<Server> servers_;
    std::vector<KeyedRecord> records_;
    ServerDirectory directory_{renewalInterval};
    std::map<ServerId, bool> usable_;
    std::optional<TimePoint> asOf_;
    /// End of the grace period after an outage of the store.
    TimePoint mayHoldUntil_;
    TimePoint readAt_;
    TimePoint otherReadAt_;
    StoreContact contact_;
    bool isFailing_ = false;
    TimePoint nextFault_{std::chrono::hours(1) + seconds(8)};
    TimePoint storeDownUntil_;
    TimePoint routerCutUntil_;
    int soundServersDropped_ = 0;
    int lateRemovals_ = 0;
    int removals_ = 0;
    int expiries_ = 0;
};

} // namespace

// Guards against a silence that is hidden by answers that are handled out of order, or counted
// twice.
TEST_CASE_METHOD(StoreContactFixture, "store contact, answers, keeps the longest time between two")
{
    CHECK(contact.takeLongestSilence() == std::chrono::nanoseconds(0));
    answerAt(milliseconds(0));
    answerAt(milliseconds(1500));
    answerAt(milliseconds(900));
    answerAt(milliseconds(2200));
    CHECK(contact.takeLongestSilence() == milliseconds(1500));
    answerAt(milliseconds(2500));
    CHECK(contact.takeLongestSilence() == milliseconds(300));
}

// Guards against removals that are held back without an outage, and against the loss of servers
// that could not renew.
TEST_CASE_METHOD(StoreContactFixture, "store contact, silence, tells whether any may have expired")
{
    CHECK_FALSE(mayHaveExpired(milliseconds(1700), renewalInterval));
    CHECK(mayHaveExpired(milliseconds(1800), renewalInterval));
}

// Guards against a removal that takes effect late, and a sound server that is dropped, in any order
// of late reads, outages, expiries, removals and returns.
TEST_CASE_METHOD(StoreContactFixture,
                 "store contact, random histories, removals in time and no sound server dropped")
{
    int removals = 0;
    int expiries = 0;
    for (unsigned seed = 1; seed <= 300; ++seed) {
        StoreHistory history(seed);
        history.run(seconds(60));
        CAPTURE(seed);
        CHECK(history.soundServersDropped() == 0);
        CHECK(history.lateRemovals() == 0);
        removals += history.removals();
        expiries += history.expiries();
    }
    CHECK(removals > 1000);
    CHECK(expiries > 1000);
}
