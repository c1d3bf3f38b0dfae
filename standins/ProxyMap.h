#pragma once

#include "FaultRules.h"

namespace lovagecourse {

/// One proxied address with its faults.
class ProxyMap
{
public:
    virtual ~ProxyMap() = default;

    /// Binds the address; false when that fails.
    virtual bool start() = 0;
    /// Replaces the rules.
    virtual void apply(const FaultRules &rules) = 0;
};

} // namespace lovagecourse
