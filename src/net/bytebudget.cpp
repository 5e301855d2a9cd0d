#include "fescue/net/bytebudget.h"

#include <algorithm>

namespace fescue::net {

namespace {

// The limit divided by these: the part that large requests leave to answers and small bodies, and
// the part that large answers leave to small bodies.
constexpr std::size_t shareBeyondRequestsDivisor = 2;
constexpr std::size_t smallShareDivisor = 8;

} // namespace

std::size_t ByteBudget::levelFor(ByteUse use, std::size_t bodyBytes) const noexcept
{
    if (bodyBytes <= smallBytes)
        return m_limit;
    const std::size_t divisor =
        use == ByteUse::Request ? shareBeyondRequestsDivisor : smallShareDivisor;
    return m_limit - m_limit / divisor;
}

bool ByteBudget::take(std::size_t n, std::size_t level) noexcept
{
    std::size_t used = m_used;
    do {
        if (used > level || n > level - used)
            return false;
    } while (!m_used.compare_exchange_weak(used, used + n));
    const std::size_t total = used + n;
    std::size_t peak = m_peak;
    while (peak < total && !m_peak.compare_exchange_weak(peak, total)) { }
    return true;
}

bool ByteReservation::reserve(std::size_t n) noexcept
{
    const std::size_t total = std::max(m_bytes + n, n);
    if (!m_budget->take(n, m_budget->levelFor(m_use, total)))
        return false;
    m_bytes += n;
    return true;
}

void ByteReservation::release() noexcept
{
    m_budget->m_used -= m_bytes;
    m_bytes = 0;
}

} // namespace fescue::net
