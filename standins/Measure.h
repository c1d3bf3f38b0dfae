#pragma once

#include "MeasureFleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagecourse {

/// Options of one measurement.
struct MeasureOptions
{
    MeasureFleetOptions fleet;
    std::uint64_t seed = 1;
    /// Time of load per policy.
    double seconds = 12;
};

/// Result of one policy in a measurement.
struct MeasureRow
{
    std::string policy;
    /// In the unit of the table.
    double value = 0;
    /// Further figures, such as request counts, latencies and fault counters.
    nlohmann::json details;
};

/// Results of one measurement: the default policy in the first row, then the baselines.
struct MeasureTable
{
    std::string name;
    std::string unit;
    double target = 0;
    /// True when the target is a lower bound, false when it is an upper bound.
    bool higherIsBetter = false;
    std::uint64_t seed = 1;
    std::vector<MeasureRow> rows;
};

/// Names that runMeasureByName() accepts.
std::vector<std::string> measureNames();
/// Runs one measurement. The table has no rows if the name is unknown or no fleet started.
MeasureTable runMeasureByName(const std::string &name, const MeasureOptions &options);

/// One line per policy with the value, whether it meets the target, and the details as JSON.
std::string toText(const MeasureTable &table);
nlohmann::json toJson(const MeasureTable &table);
/// Bar chart of all policies with a dashed line at the target.
std::string toSvg(const MeasureTable &table);

/// Runs the sub-command `measure`; returns the exit status.
int runMeasure(int argc, char **argv);

} // namespace lovagecourse
