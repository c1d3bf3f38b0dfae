#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lovagecourse {

/// Moves up to count items from the beginning of the list into the result, for messages of limited
/// size.
template <class Item>
std::vector<Item> takeFirst(std::vector<Item> &items, std::size_t count)
{
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(items.size(), count));
    std::vector<Item> taken(items.begin(), end);
    items.erase(items.begin(), end);
    return taken;
}

} // namespace lovagecourse
