#pragma once

#include <cstdint>
#include <string>

namespace lovagecourse {

/// Returns the hash that identifies a server, a router, a service or an account in messages between
/// routers.
std::uint32_t reportHash(const std::string &id);

} // namespace lovagecourse
