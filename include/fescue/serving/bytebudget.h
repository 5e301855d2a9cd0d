#pragma once

#include <cstddef>

namespace fescue::serving {

// Bounds the memory that all answers take together which are read whole before they are passed on.
// Must outlive its shares.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit) noexcept : m_limit(limit) { }

    [[nodiscard]] std::size_t used() const noexcept { return m_used; }

private:
    friend class ByteShare;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

// What one answer takes out of a budget, given back at the end.
class ByteShare
{
public:
    explicit ByteShare(ByteBudget &budget) noexcept : m_budget(&budget) { }
    ~ByteShare() { m_budget->m_used -= m_bytes; }
    ByteShare(const ByteShare &) = delete;
    ByteShare &operator=(const ByteShare &) = delete;

    // Takes more bytes; false where the budget has none left.
    [[nodiscard]] bool take(std::size_t n) noexcept
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
