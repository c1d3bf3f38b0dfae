#pragma once

#include "checking/Finding.h"

#include <map>
#include <string_view>
#include <vector>

namespace lovagecourse {

/// Collects findings of one check. A hostile file can cause a finding for every few of its bytes,
/// each with a name as long as the file; so both the number and the names are limited.
class FindingList
{
public:
    /// Adds a finding, or ignores it if there are maxOfOneKind of its kind.
    void add(FindingKind kind, std::optional<FieldPlace> place, std::string_view subject,
             std::string_view other = {});
    std::vector<Finding> take() { return std::move(findings_); }

    static constexpr std::size_t maxOfOneKind = 100;

private:
    std::vector<Finding> findings_;
    std::map<FindingKind, std::size_t> counts_;
};

/// Returns a name for the output. Of a name of more than 200 bytes, it has the beginning and the
/// first 16 digits of the SHA-256, so that different names stay different.
std::string shortened(std::string_view name);

} // namespace lovagecourse
