#pragma once

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace lovagecourse::test {

/// Leaves the process no free descriptor until it is destroyed.
class DescriptorLimit
{
public:
    DescriptorLimit()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        // New descriptors have the lowest free number.
        const int next = dup(STDOUT_FILENO);
        close(next);
        rlimit lowered = before_;
        lowered.rlim_cur = static_cast<rlim_t>(next);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit before_{};
};

} // namespace lovagecourse::test
