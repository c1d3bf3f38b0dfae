#include "MeasureSpeed.h"

#include <memory>

namespace lovagecourse {

using nlohmann::json;

namespace {

/// CPU seconds that the entry and the agent have used since their start.
double cpuSeconds(const MeasureFleet &fleet, const std::string &agent)
{
    const auto cpu = fleet.metrics("process_cpu_seconds_total");
    return cpu.at("entry-1") + cpu.at(agent);
}

/// Runs a load tool; adds the CPU seconds of the entry and the agent to its report.
json runLoadAndMeasureCpu(MeasureFleet &fleet, const std::string &agent,
                          const std::vector<std::string> &arguments)
{
    const double before = cpuSeconds(fleet, agent);
    fleet.startLoad("load", arguments);
    json report = fleet.report("load");
    report["cpu_seconds"] = cpuSeconds(fleet, agent) - before;
    return report;
}

/// Command line of a load tool that makes plain calls in a closed loop for 4 s.
std::vector<std::string> plainCallArguments(const std::string &url, const std::string &connections)
{
    return {"--target",  url,         "--plain", "/trials/7/status", "--closed",
            connections, "--seconds", "4",       "--account",        "a1=a1-key"};
}

} // namespace

MeasureTable measureSpeed(const MeasureOptions &options)
{
    MeasureTable table{"speed", "ms added to a plain call, median", 2, false, options.seed, {}};
    MeasureFleetOptions small = options.fleet;
    small.entries = 1;
    small.engines = 1;
    small.desks = 1;
    small.delayMs = 0;
    small.maxLimit = 256;
    small.policy = "fixed_limit = 128";
    small.engineOptions = {"--base-gap-ms", "5", "--knee", "128", "--max-batch", "128"};
    MeasureFleet fleet(small);
    if (!fleet.start())
        return table;
    const std::string desk = "agent-desk-1";
    const json direct =
            runLoadAndMeasureCpu(fleet, desk, plainCallArguments(fleet.serverUrl("desk-1"), "1"));
    const json routed =
            runLoadAndMeasureCpu(fleet, desk, plainCallArguments(fleet.entryUrl(1), "1"));
    const json concurrent =
            runLoadAndMeasureCpu(fleet, desk, plainCallArguments(fleet.entryUrl(1), "64"));
    const json streams = runLoadAndMeasureCpu(fleet, "agent-engine-1",
                                              {"--target", fleet.entryUrl(1), "--model", "m",
                                               "--stream", "--closed", "100", "--max-tokens", "200",
                                               "--seconds", "4", "--account", "a1=a1-key"});
    MeasureRow row;
    row.policy = "one entry, one agent";
    row.value =
            routed["latency_ms"]["p50"].get<double>() - direct["latency_ms"]["p50"].get<double>();
    row.details = {{"direct_ms", direct["latency_ms"]},
                   {"routed_ms", routed["latency_ms"]},
                   {"plain_calls_per_core_s",
                    concurrent["ok"].get<double>() / concurrent["cpu_seconds"].get<double>()},
                   {"plain_calls_per_s", concurrent["ok_per_second"]},
                   {"stream_events_per_core_s",
                    streams["tokens"].get<double>() / streams["cpu_seconds"].get<double>()},
                   {"stream_events_per_s", streams["events_per_second"]},
                   {"stream_ok", streams["ok"]}};
    table.rows.push_back(std::move(row));
    return table;
}

} // namespace lovagecourse
