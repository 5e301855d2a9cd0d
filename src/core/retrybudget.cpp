#include "fescue/core/retrybudget.h"

#include <algorithm>

namespace fescue {

RetryBudget::RetryBudget(RetryBudgetLimits limits) noexcept
    : m_limits(limits), m_available(limits.reserve)
{ }

void RetryBudget::recordSuccess() noexcept
{
    m_available = std::min(m_limits.capacity, m_available + m_limits.shareOfSuccesses);
}

bool RetryBudget::tryTake(Millis now) noexcept
{
    refillReserve(now);
    if (m_available < 1.0)
        return false;
    m_available -= 1.0;
    return true;
}

void RetryBudget::refillReserve(Millis now) noexcept
{
    const Millis elapsed = m_started ? now - m_refilledAt : Millis {0};
    m_refilledAt = now;
    m_started = true;
    if (m_available >= m_limits.reserve)
        return;
    const double interval = static_cast<double>(m_limits.refillInterval.count);
    const double refill = static_cast<double>(elapsed.count) / interval;
    m_available = std::min(m_limits.reserve, m_available + refill);
}

} // namespace fescue
