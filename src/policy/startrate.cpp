#include "fescue/policy/startrate.h"

#include <cmath>

namespace fescue {

namespace {

// Time constant of the mean: after this much backlogged time, the weight of a start is 1/e.
constexpr double averagingMillis = 8000;
// Weighted backlogged time below which the rate counts as unknown.
constexpr double minBackloggedMillis = 1000;

} // namespace

void StartRate::decayTo(Millis now) noexcept
{
    if (now <= m_at)
        return;
    const double elapsed = static_cast<double>((now - m_at).count);
    m_at = now;
    if (!m_backlogged)
        return;
    const double factor = std::exp(-elapsed / averagingMillis);
    m_starts *= factor;
    m_backloggedMillis = m_backloggedMillis * factor + averagingMillis * (1 - factor);
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
    if (current.m_backloggedMillis < minBackloggedMillis)
        return std::nullopt;
    // The additional 0.5 starts keep the rate above zero if the window contains no start.
    const double perMillis = (current.m_starts + 0.5) / current.m_backloggedMillis;
    return Millis {std::llround(static_cast<double>(ahead + 1) / perMillis)};
}

} // namespace fescue
