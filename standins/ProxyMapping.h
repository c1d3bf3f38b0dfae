#pragma once

#include "FaultRules.h"

namespace lovagecourse {

/// Mapping of one listening address to a target, with fault injection.
class ProxyMapping
{
public:
    virtual ~ProxyMapping() = default;

    /// Binds the listening address; false on failure.
    virtual bool start() = 0;
    /// Replaces the fault rules.
    virtual void apply(const FaultRules &rules) = 0;
};

} // namespace lovagecourse
