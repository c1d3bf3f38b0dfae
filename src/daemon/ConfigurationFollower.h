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

/// Keeps the daemon's configuration state at the newest that the log or any peer has.
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
    /// True once the daemon may take traffic: it has read the whole log, or holds a peer's state
    /// while the log is out, and no reachable peer has a newer one.
    bool isReady() const;
    bool isLogAvailable() const;
    /// A peer told its offset; a newer state is fetched from it over TCP.
    void onPeerOffset(const Endpoint &peer, LogOffset offset);
    /// Answer to a peer's request.
    StateReply replyTo(const StateRequest &request) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
