#pragma once

#include "Measure.h"

namespace lovagecourse {

/// Added latency, calls and stream events per core with one entry and one agent.
MeasureTable measureSpeed(const MeasureOptions &options);

} // namespace lovagecourse
