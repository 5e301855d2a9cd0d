#include "fescue/policy/startrate.h"

#include <cmath>

namespace fescue {

namespace {

// Backlogged time after which a start counts for 1/e.
constexpr double memoryMillis = 8000;
// With less backlogged time than this, weighted, the rate is not known.
constexpr double leastMillis = 1000;

} // namespace

void StartRate::decayTo(Millis now) noexcept
{
    if (now <= m_at)
        return;
    const double elapsed = static_cast<double>((now - m_at).count);
    m_at = now;
    if (!m_backlogged)
        return;
    const double factor = std::exp(-elapsed / memoryMillis);
    m_starts *= factor;
    m_backloggedMillis = m_backloggedMillis * factor + memoryMillis * (1 - factor);
}

void StartRate::setBacklogged(bool backlogged, Millis now) noexcept
{
    decayTo(now);
    m_backlogged = backlogged;
}

void StartRate::started(Millis now) noexcept
{
    decayTo(now);
    if (m_backlogged)
        m_starts += 1;
}

std::optional<Millis> StartRate::waitFor(std::size_t ahead, Millis now) const noexcept
{
    StartRate current = *this;
    current.decayTo(now);
    if (current.m_backloggedMillis < leastMillis)
        return std::nullopt;
    // Half a start stands for what a window without any start leaves open.
    const double perMillis = (current.m_starts + 0.5) / current.m_backloggedMillis;
    return Millis {std::llround(static_cast<double>(ahead + 1) / perMillis)};
}

} // namespace fescue
