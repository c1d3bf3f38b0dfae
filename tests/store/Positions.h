#pragma once

#include "store/StorePosition.h"

namespace lovagecourse::test {

/// Position in a store that names no era.
inline StorePosition at(std::uint64_t offset)
{
    return {std::nullopt, LogOffset(offset)};
}

inline StorePosition inEra(std::uint64_t era, std::uint64_t offset)
{
    return {StoreEra(era), LogOffset(offset)};
}

} // namespace lovagecourse::test
