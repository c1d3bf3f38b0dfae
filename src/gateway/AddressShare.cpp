#include "gateway/AddressShare.h"

#include <algorithm>
#include <map>

namespace lovagecourse {

std::size_t addressBound(std::size_t accountBytes, unsigned percent, std::size_t maxBodyBytes)
{
    constexpr std::size_t hundred = 100;
    return std::max(accountBytes * percent / hundred, maxBodyBytes);
}

bool exceedsShare(const std::vector<AddressBytes> &held, ClientAddress address,
                  std::size_t additionalBytes, std::size_t bound)
{
    std::size_t bytes = additionalBytes;
    for (const AddressBytes &item : held)
        bytes += item.address == address ? item.bytes : 0;
    return bytes > bound;
}

std::optional<std::size_t> chooseOverShare(const std::vector<AddressBytes> &held,
                                           ClientAddress wanting, std::size_t bound)
{
    std::map<ClientAddress, std::size_t> totals;
    for (const AddressBytes &item : held)
        totals[item.address] += item.bytes;
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < held.size(); ++i) {
        const AddressBytes &item = held[i];
        const std::size_t total = totals.at(item.address);
        if (!item.canEnd || item.bytes == 0 || item.address == wanting || total <= bound)
            continue;
        const std::size_t chosenTotal = chosen ? totals.at(held[*chosen].address) : 0;
        const bool isLarger = chosen && total == chosenTotal && item.bytes > held[*chosen].bytes;
        if (total > chosenTotal || isLarger)
            chosen = i;
    }
    return chosen;
}

} // namespace lovagecourse
