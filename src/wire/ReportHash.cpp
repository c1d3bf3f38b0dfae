#include "wire/ReportHash.h"

#include <xxhash.h>

namespace lovagecourse {

std::uint32_t reportHash(const std::string &id)
{
    return XXH32(id.data(), id.size(), 0);
}

} // namespace lovagecourse
