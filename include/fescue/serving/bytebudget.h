#pragma once

#include <cstddef>

namespace fescue::serving {

// Limits the total memory of all responses that are buffered whole before they are forwarded. Must
// outlive its reservations.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit) noexcept : m_limit(limit) { }

    [[nodiscard]] std::size_t used() const noexcept { return m_used; }

private:
    friend class ByteReservation;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

// The bytes that one response has reserved from a budget. The destructor releases them.
class ByteReservation
{
public:
    explicit ByteReservation(ByteBudget &budget) noexcept : m_budget(&budget) { }
    ~ByteReservation() { m_budget->m_used -= m_bytes; }
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    // Reserves `n` more bytes. Returns false, and reserves nothing, if the budget has less left.
    [[nodiscard]] bool reserve(std::size_t n) noexcept
    {
        if (n > m_budget->m_limit - m_budget->m_used)
            return false;
        m_budget->m_used += n;
        m_bytes += n;
        return true;
    }

private:
    ByteBudget *m_budget;
    std::size_t m_bytes = 0;
};

} // namespace fescue::serving
