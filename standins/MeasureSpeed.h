#pragma once

#include "Measure.h"

namespace lovagecourse {

/// Measures the added latency of a plain call and the plain calls and stream events per core
/// second, with one entry and one agent. The table has no rows if the fleet does not start.
MeasureTable measureSpeed(const MeasureOptions &options);

} // namespace lovagecourse
