#include "core/MemoryAccount.h"

#include <malloc.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <string>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::size_t bytesPerMb = 1U << 20;
// Of max_memory_mb; the rest is for connections' buffers, the router's own state and the allocator.
constexpr std::size_t accountPercent = 40;
constexpr std::size_t smallReservePercent = 25;
constexpr std::size_t pressurePercent = 60;
// Bodies above this size are mapped and unmapped by themselves.
constexpr int mappedBlockBytes = 128 << 10;
constexpr int trimThresholdBytes = 1 << 20;

} // namespace

std::string_view toString(MemoryHolder holder)
{
    switch (holder) {
    case MemoryHolder::RequestHeads:
        return "request_heads";
    case MemoryHolder::RequestBodies:
        return "request_bodies";
    case MemoryHolder::ServerAnswers:
        return "server_answers";
    case MemoryHolder::UnreadAnswers:
        return "unread_answers";
    case MemoryHolder::LinkBuffers:
        return "link_buffers";
    case MemoryHolder::ServerConnections:
        return "server_connections";
    case MemoryHolder::Count:
        break;
    }
    return {};
}

MemoryLimits memoryLimits(unsigned maxMemoryMb)
{
    const std::size_t total = maxMemoryMb * bytesPerMb * accountPercent / 100;
    return MemoryLimits{total, total * smallReservePercent / 100};
}

std::size_t MemoryAccount::used(MemoryHolder holder) const
{
    assert(holder < MemoryHolder::Count);
    return usedBy_[static_cast<std::size_t>(holder)];
}

std::size_t MemoryAccount::missingBytes(std::size_t reservationBytes,
                                        std::size_t additionalBytes) const
{
    const bool isSmall = reservationBytes <= maxSmallReservation;
    const std::size_t limit = limits_.totalBytes - (isSmall ? 0 : limits_.smallReserveBytes);
    if (used_ <= limit)
        return additionalBytes - std::min(additionalBytes, limit - used_);
    // A client may announce any length, so the sum must not overflow.
    const std::size_t excess = used_ - limit;
    return excess + std::min(additionalBytes, std::numeric_limits<std::size_t>::max() - excess);
}

bool MemoryAccount::fits(std::size_t reservationBytes, std::size_t additionalBytes) const
{
    return missingBytes(reservationBytes, additionalBytes) == 0;
}

bool MemoryAccount::isUnderPressure() const
{
    return used_ > limits_.totalBytes * pressurePercent / 100;
}

void MemoryAccount::report(Metrics &metrics) const
{
    for (std::size_t i = 0; i < usedBy_.size(); ++i) {
        const std::string name(toString(static_cast<MemoryHolder>(i)));
        metrics.gauge("lovagecourse_memory_" + name + "_bytes", static_cast<double>(usedBy_[i]));
    }
    metrics.gauge("lovagecourse_memory_high_water_bytes", static_cast<double>(highWaterMark_));
    metrics.gauge("lovagecourse_memory_limit_bytes", static_cast<double>(limits_.totalBytes));
}

void MemoryAccount::change(MemoryHolder holder, std::size_t from, std::size_t to)
{
    usedBy_[static_cast<std::size_t>(holder)] += to - from;
    used_ += to - from;
    highWaterMark_ = std::max(highWaterMark_, used_);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : account_(other.account_)
    , holder_(other.holder_)
    , bytes_(std::exchange(other.bytes_, 0))
{}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    account_ = other.account_;
    holder_ = other.holder_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

ReserveResult MemoryReservation::growTo(std::size_t bytes)
{
    if (bytes <= bytes_)
        return ReserveResult::Reserved;
    if (account_ && !account_->fits(bytes, bytes - bytes_))
        return ReserveResult::Full;
    resize(bytes);
    return ReserveResult::Reserved;
}

void MemoryReservation::resize(std::size_t bytes)
{
    if (account_)
        account_->change(holder_, bytes_, bytes);
    bytes_ = bytes;
}

void MemoryReservation::moveTo(MemoryHolder holder)
{
    const std::size_t bytes = bytes_;
    release();
    holder_ = holder;
    resize(bytes);
}

void configureAllocator()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
}

} // namespace lovagecourse
