#include "core/HeapMeter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::ptrdiff_t> used = 0;
std::atomic<std::ptrdiff_t> highest = 0;

void add(std::ptrdiff_t bytes)
{
    const std::ptrdiff_t now = used += bytes;
    std::ptrdiff_t before = highest;
    while (before < now && !highest.compare_exchange_weak(before, now)) {
    }
}

void freeBlock(void *block)
{
    used -= static_cast<std::ptrdiff_t>(malloc_usable_size(block));
    std::free(block);
}

} // namespace

// The other forms of new and delete call these.
void *operator new(std::size_t size)
{
    void *const block = std::malloc(size > 0 ? size : 1);
    if (!block)
        throw std::bad_alloc();
    add(static_cast<std::ptrdiff_t>(malloc_usable_size(block)));
    return block;
}

void operator delete(void *block) noexcept
{
    freeBlock(block);
}

void operator delete(void *block, std::size_t /*size*/) noexcept
{
    freeBlock(block);
}

namespace lovagecourse::test {

HeapMeter::HeapMeter()
    : start_(used)
{
    highest = start_;
}

std::size_t HeapMeter::peak() const
{
    return static_cast<std::size_t>(highest - start_);
}

} // namespace lovagecourse::test
