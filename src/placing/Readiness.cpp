#include "placing/Readiness.h"

namespace lovagecourse {

bool isReady(const ReadinessInput &input)
{
    return input == ReadinessInput{true, true, false, false, false};
}

std::string reasonsNotReady(const ReadinessInput &input)
{
    std::string reasons;
    const auto add = [&](bool applies, const char *reason) {
        if (!applies)
            return;
        if (!reasons.empty())
            reasons += ',';
        reasons += reason;
    };
    add(!input.hasConfiguration, "no-configuration");
    add(!input.hasServers, "no-servers");
    add(input.isStopping, "stopping");
    add(input.isOverloaded, "overloaded");
    add(input.isPaused, "rotation-paused");
    return reasons;
}

} // namespace lovagecourse
