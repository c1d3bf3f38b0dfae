#include "agent/ClaimJournal.h"

#include "core/Log.h"

namespace lovagecourse {

namespace {

constexpr const char *claimsStream = "claims";
constexpr milliseconds tickInterval{20};
// Longer than a slow append takes; after it, the same record is appended again.
constexpr milliseconds appendTimeout{1000};

} // namespace

struct ClaimJournal::Impl
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
        pump();
    }

    void onTick()
    {
        coordinator.onTick(daemon.now());
        pump();
    }

    void pump()
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
                                pump();
                            });
    }

    Daemon &daemon;
    ServerId server;
    ClaimCoordinator coordinator;
    LogFollower follower;
    Timer tick;
};

ClaimJournal::ClaimJournal(Daemon &daemon, const ServerId &server)
    : impl_(std::make_unique<Impl>(daemon, server))
{}

ClaimJournal::~ClaimJournal() = default;

ClaimCoordinator &ClaimJournal::coordinator()
{
    return impl_->coordinator;
}

void ClaimJournal::pump()
{
    impl_->pump();
}

bool ClaimJournal::isNewestRun() const
{
    const auto newest = impl_->coordinator.fold().newestIncarnation(impl_->server);
    return newest && *newest == impl_->daemon.incarnation();
}

} // namespace lovagecourse
