#pragma once

#include <cstddef>

namespace lovagecourse::test {

/// Measures the memory that operator new hands out from its construction on, in all threads. One
/// at a time.
class HeapMeter
{
public:
    HeapMeter();
    /// Highest use so far, less the use at the beginning.
    std::size_t peak() const;

private:
    std::ptrdiff_t start_;
};

} // namespace lovagecourse::test
