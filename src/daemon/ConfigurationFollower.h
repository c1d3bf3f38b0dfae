#pragma once

#include "configuration/ConfigurationStateMachine.h"
#include "core/Metrics.h"
#include "platform/LogFollower.h"
#include "settings/DaemonSettings.h"
#include "wire/Link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace lovagecourse {

/// Keeps the daemon's configuration state up to date from the log, or from peers while the log is
/// unavailable or lags behind them. On entries, it also appends snapshots to the log.
class ConfigurationFollower
{
public:
    using ChangeHandler = std::function<void(const ConfigurationState &)>;

    ConfigurationFollower(const WireContext &wire, const DaemonSettings &settings, LogClient &log,
                          ChangeHandler onChange);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    const ConfigurationState &state() const;
    /// True once the daemon has a state as new as any active peer's, read from the whole log or,
    /// while the log is unavailable, fetched from a peer. Stays true afterwards.
    bool isReady() const;
    bool isLogAvailable() const;
    /// Records the offset of a peer's state; a newer state may be fetched from the peer over TCP.
    void onPeerOffset(const Endpoint &peer, LogOffset offset);
    /// Reply to a peer's request; holds no state when the peer's state is as new.
    ConfigurationStateReply replyTo(const ConfigurationStateRequest &request) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
