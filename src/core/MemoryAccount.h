#pragma once

#include "core/Metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lovagecourse {

/// What a process keeps bytes for.
enum class MemoryHolder : std::uint8_t {
    /// Heads of callers' requests, from their arrival to the end of the answer.
    RequestHeads,
    /// Bodies of callers' requests, from their first byte until no attempt needs them.
    RequestBodies,
    /// Answers of servers that are not complete yet.
    ServerAnswers,
    /// Answers that callers have not read yet.
    UnreadAnswers,
    /// Messages that other processes of the fleet have not read yet, and frames that have not
    /// arrived whole.
    LinkBuffers,
    /// The HTTP client's buffers and the heads of servers' answers.
    ServerConnections,
    Count
};

std::string_view toString(MemoryHolder holder);

/// Part of a process's memory that bytes from clients and servers may take.
struct MemoryLimits
{
    std::size_t totalBytes = 0;
    /// Part of totalBytes that only small reservations can use, so that large bodies don't keep
    /// small requests out.
    std::size_t smallReserveBytes = 0;
};

/// A reservation up to this size is small.
constexpr std::size_t maxSmallReservation = 64U << 10;

/// Returns the limits of a process that may use this much memory.
MemoryLimits memoryLimits(unsigned maxMemoryMb);

/// Counts the bytes that a process keeps for clients and servers. Not thread-safe. Must outlive
/// its reservations.
class MemoryAccount
{
public:
    explicit MemoryAccount(MemoryLimits limits)
        : limits_(limits)
    {}
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    const MemoryLimits &limits() const { return limits_; }
    std::size_t used() const { return used_; }
    std::size_t used(MemoryHolder holder) const;
    std::size_t highWaterMark() const { return highWaterMark_; }
    /// Returns the bytes that must be released before a reservation of this size fits; 0 if it
    /// fits.
    std::size_t missingBytes(std::size_t reservationBytes, std::size_t additionalBytes) const;
    /// Returns whether a reservation of this size fits.
    bool fits(std::size_t reservationBytes, std::size_t additionalBytes) const;
    /// Returns whether most of the memory is in use.
    bool isUnderPressure() const;
    /// Sets a gauge per holder and one for the high-water mark.
    void report(Metrics &metrics) const;

private:
    friend class MemoryReservation;
    void change(MemoryHolder holder, std::size_t from, std::size_t to);

    MemoryLimits limits_;
    std::size_t used_ = 0;
    std::size_t highWaterMark_ = 0;
    std::array<std::size_t, static_cast<std::size_t>(MemoryHolder::Count)> usedBy_{};
};

enum class ReserveResult : std::uint8_t { Reserved, Full };

/// Bytes reserved in an account; released by the destructor. Without an account, nothing is
/// counted and every reservation succeeds.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    MemoryReservation(MemoryAccount *account, MemoryHolder holder)
        : account_(account)
        , holder_(holder)
    {}
    ~MemoryReservation() { release(); }
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;

    std::size_t bytes() const { return bytes_; }
    /// Extends the reservation; if the account is full, it stays as it is.
    [[nodiscard]] ReserveResult growTo(std::size_t bytes);
    /// Sets the size without a limit, for bytes that are already stored.
    void resize(std::size_t bytes);
    /// Counts the bytes for another holder from now on.
    void moveTo(MemoryHolder holder);
    void release() { resize(0); }

private:
    MemoryAccount *account_ = nullptr;
    MemoryHolder holder_ = MemoryHolder::RequestBodies;
    std::size_t bytes_ = 0;
};

/// Makes the allocator return large blocks to the system when they are freed. By default, glibc
/// raises the size above which it does so up to 32 MB and keeps freed bodies.
void configureAllocator();

} // namespace lovagecourse
