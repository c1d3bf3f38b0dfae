#include "agent/ClaimLogClient.h"

#include "claims/IdempotencyKeyCheck.h"

namespace lovagecourse {

namespace {

constexpr const char *claimsStream = "claims";
constexpr milliseconds tickInterval{20};
// Longer than a slow append. After a timeout, the same record is appended again.
constexpr milliseconds appendTimeout{1000};
constexpr seconds expireInterval{10};
// Claims are kept for 120 s longer than the key window: 60 s for keys from hosts whose clocks are
// ahead, 30 s for requests that wait between the entry's check and the claim, 30 s for reading.
constexpr seconds waitAllowance{30};
constexpr seconds retentionBeyondWindow{120};

} // namespace

struct ClaimLogClient::Impl
{
    Impl(Daemon &owner, const ServerId &serverId)
        : daemon(owner)
        , server(serverId)
        , coordinator(ClaimOwner{owner.settings().name, serverId, owner.incarnation()})
        , follower(
                  owner.loop(), owner.log(), claimsStream, LogOffset(0),
                  [this](const LogBatch &batch) { onBatch(batch); }, [](bool) {})
        , tick(owner.loop(), [this] { onTick(); })
    {
        tick.startRepeating(tickInterval);
    }

    void onBatch(const LogBatch &batch)
    {
        const bool caughtUp = follower.isCaughtUp() || batch.records.empty();
        coordinator.onBatch(batch, caughtUp, daemon.now());
        appendDueRecords();
    }

    void onTick()
    {
        coordinator.onTick(daemon.now());
        appendDueRecords();
        if (daemon.now() - lastExpiry < expireInterval)
            return;
        lastExpiry = daemon.now();
        coordinator.expire(daemon.clock().wallNow() - daemon.settings().keyWindow
                           - retentionBeyondWindow);
    }

    void begin(const ClaimRequest &request, ClaimCoordinator::DecisionHandler onDecision)
    {
        const auto reason = checkIdempotencyKey(request.key.key, daemon.clock().wallNow(),
                                                daemon.settings().keyWindow + waitAllowance);
        if (reason)
            return onDecision(ClaimRefused{Refusal{*reason, Ran::Unknown}});
        coordinator.begin(request, std::move(onDecision), daemon.now());
        appendDueRecords();
    }

    void appendDueRecords()
    {
        const auto due = coordinator.appendDue(daemon.now());
        if (!due)
            return;
        daemon.metrics().count("lovagecourse_claim_appends_total");
        daemon.log().append(claimsStream, due->recordId, due->body, appendTimeout,
                            [this, recordId = due->recordId](const AppendResult &result) {
                                if (result.index() != 0)
                                    daemon.metrics().count(
                                            "lovagecourse_claim_append_failures_total");
                                coordinator.onAppendResult(recordId, result, daemon.now());
                                appendDueRecords();
                            });
    }

    Daemon &daemon;
    ServerId server;
    ClaimCoordinator coordinator;
    LogFollower follower;
    TimePoint lastExpiry;
    Timer tick;
};

ClaimLogClient::ClaimLogClient(Daemon &daemon, const ServerId &server)
    : impl_(std::make_unique<Impl>(daemon, server))
{}

ClaimLogClient::~ClaimLogClient() = default;

ClaimCoordinator &ClaimLogClient::coordinator()
{
    return impl_->coordinator;
}

void ClaimLogClient::begin(const ClaimRequest &request,
                           ClaimCoordinator::DecisionHandler onDecision)
{
    impl_->begin(request, std::move(onDecision));
}

void ClaimLogClient::appendDueRecords()
{
    impl_->appendDueRecords();
}

bool ClaimLogClient::isNewestIncarnation() const
{
    const auto newest = impl_->coordinator.claimState().newestIncarnation(impl_->server);
    return newest && *newest == impl_->daemon.incarnation();
}

} // namespace lovagecourse
