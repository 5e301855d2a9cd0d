#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace fescue::net {

// What bytes are held for.
enum class ByteUse : std::uint8_t
{
    Request,
    Answer,
};

// Limits the memory of all bodies that a process holds at a time: those of requests, from their
// arrival to the end of their answers, and answers that are held whole. Large requests leave a part
// to answers, and both leave a part to small bodies. Must outlive its reservations; may be used by
// several threads.
class ByteBudget
{
public:
    // A body of at most this size is small.
    static constexpr std::size_t smallBytes = std::size_t {64} * 1024;

    explicit ByteBudget(std::size_t limit) noexcept : m_limit(limit) { }

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    [[nodiscard]] std::size_t used() const noexcept { return m_used; }
    // The most that was used at a time.
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }
    // Returns how much may be in use together with a body of this size.
    [[nodiscard]] std::size_t levelFor(ByteUse use, std::size_t bodyBytes) const noexcept;
    // Counts a request that was refused for want of room.
    void countRefusal() noexcept { m_refusals.fetch_add(1, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t refusals() const noexcept { return m_refusals; }

private:
    friend class ByteReservation;

    [[nodiscard]] bool take(std::size_t n, std::size_t level) noexcept;

    std::size_t m_limit;
    std::atomic<std::size_t> m_used {0};
    std::atomic<std::size_t> m_peak {0};
    std::atomic<std::uint64_t> m_refusals {0};
};

// The bytes that one body has reserved from a budget. The destructor releases them.
class ByteReservation
{
public:
    explicit ByteReservation(ByteBudget &budget, ByteUse use = ByteUse::Answer) noexcept
        : m_budget(&budget), m_use(use)
    { }
    ~ByteReservation() { release(); }
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    // Reserves `n` more bytes. Returns false, and reserves nothing, if the budget has less left for
    // a body of this size.
    [[nodiscard]] bool reserve(std::size_t n) noexcept;
    // Reserves what is missing to a total. Returns false, and reserves nothing, as reserve().
    [[nodiscard]] bool reserveUpTo(std::size_t total) noexcept
    {
        return total <= m_bytes || reserve(total - m_bytes);
    }
    void release() noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    ByteBudget *m_budget;
    ByteUse m_use;
    std::size_t m_bytes = 0;
};

} // namespace fescue::net
