#pragma once

#include "MeasureFleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagecourse {

/// Options of a measurement.
struct MeasureOptions
{
    MeasureFleetOptions fleet;
    std::uint64_t seed = 1;
    double seconds = 12;
};

/// Outcome of one policy in one measure.
struct MeasureRow
{
    std::string policy;
    double value = 0;
    /// Figures that explain the value.
    nlohmann::json details;
};

/// One measure with our policy, in the first row, and its baselines.
struct MeasureTable
{
    std::string name;
    std::string unit;
    double target = 0;
    bool higherIsBetter = false;
    std::uint64_t seed = 1;
    std::vector<MeasureRow> rows;
};

/// Names of the measures.
std::vector<std::string> measureNames();
/// Runs one measure; a table without rows means that a fleet did not start.
MeasureTable runMeasureByName(const std::string &name, const MeasureOptions &options);

/// The table as text.
std::string toText(const MeasureTable &table);
nlohmann::json toJson(const MeasureTable &table);
/// Bars of all policies with a line at the target.
std::string toSvg(const MeasureTable &table);

/// Runs the sub-command `measure`; returns the exit status.
int runMeasure(int argc, char **argv);

} // namespace lovagecourse
