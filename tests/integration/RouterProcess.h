#pragma once

#include "integration/Process.h"

#include <memory>
#include <string>

namespace lovagecourse::test {

/// A router process on loopback addresses, with its settings and its log in a folder of its own.
class RouterProcess
{
public:
    /// Secret of the fleet.
    static constexpr const char *fleetKey = "a-key-of-the-memory-tests";

    /// store: endpoint of the platform's store.
    RouterProcess(const std::string &name, const std::string &store, unsigned maxMemoryMb);
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    /// Starts the process, also again after kill().
    void start();
    void kill() { process_->kill(); }
    Process &process() { return *process_; }
    const std::string &callers() const { return callers_; }
    const std::string &datagrams() const { return datagrams_; }
    /// Whether the router says at this moment that it may get callers.
    bool isReady() const;
    double metric(const std::string &name) const;
    /// The log so far.
    std::string log() const;

private:
    std::string callers_;
    std::string ready_;
    std::string admin_;
    std::string datagrams_;
    std::string folder_;
    std::unique_ptr<Process> process_;
};

} // namespace lovagecourse::test
