#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovagecourse {

/// IPv4 address of a client, in network byte order.
using ClientAddress = std::uint32_t;

/// Bytes that a process keeps for one request of a client address.
struct AddressBytes
{
    ClientAddress address = 0;
    std::size_t bytes = 0;
    /// False once the request was handed on and may run.
    bool canEnd = true;
};

/// Returns how much one address may hold while others want memory: the percentage of the account,
/// but at least one body of the largest legal size.
std::size_t addressBound(std::size_t accountBytes, unsigned percent, std::size_t maxBodyBytes);

/// Returns whether the address would hold more than the bound. Handles one client that opens many
/// connections and refills the memory as fast as it becomes free.
bool exceedsShare(const std::vector<AddressBytes> &held, ClientAddress address,
                  std::size_t additionalBytes, std::size_t bound);

/// Chooses what is ended when the memory is full and an address wants some: of the other address
/// that holds most, the largest that can be ended. Returns the index, or nothing if no other
/// address is over the bound.
std::optional<std::size_t> chooseOverShare(const std::vector<AddressBytes> &held,
                                           ClientAddress wanting, std::size_t bound);

} // namespace lovagecourse
