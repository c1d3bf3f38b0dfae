#pragma once

#include "checking/Finding.h"
#include "checking/ListedConfiguration.h"

#include <vector>

namespace lovagecourse {

/// Fleet-wide limits from the routers' settings.
struct RetrySettings
{
    double ratio = 0;
    double slack = 0;
    double hedgeShare = 0;
};

/// Finds entries that never match, and names that are used twice.
std::vector<Finding> checkEntries(const ListedConfiguration &configuration);
/// Finds limits that contradict each other.
std::vector<Finding> checkLimits(const ListedConfiguration &configuration);
/// Finds limits that contradict the settings.
std::vector<Finding> checkAgainstSettings(const ListedConfiguration &configuration,
                                          const RetrySettings &settings);

} // namespace lovagecourse
