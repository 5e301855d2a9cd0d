#include "fescue/core/drain.h"

#include <algorithm>

namespace fescue {

DrainMachine::DrainMachine(Millis directoryTtl, DrainLimits limits) noexcept
    : m_directoryTtl(directoryTtl), m_limits(limits)
{ }

DrainStep DrainMachine::stop(Millis now) noexcept
{
    if (m_phase != DrainPhase::Serving)
        return DrainStep::ReportOpen;
    m_phase = DrainPhase::Withdrawn;
    m_stoppedAt = now;
    return DrainStep::LeaveDirectory;
}

void DrainMachine::withdrawalConfirmed(Millis now) noexcept
{
    if (m_phase == DrainPhase::Withdrawn && !m_confirmedAt)
        m_confirmedAt = now;
}

DrainStep DrainMachine::tick(Millis now, std::size_t open) noexcept
{
    const Millis unlistedAt = m_confirmedAt.value_or(m_stoppedAt + m_limits.confirmLimit);
    const Millis lastCallerAt = unlistedAt + m_limits.spreadTime + m_directoryTtl;
    if (m_phase == DrainPhase::Withdrawn && now >= lastCallerAt) {
        m_phase = DrainPhase::Refusing;
        return DrainStep::RefuseNew;
    }
    if (m_phase == DrainPhase::Refusing && open == 0) {
        m_phase = DrainPhase::Finished;
        return DrainStep::Exit;
    }
    return DrainStep::None;
}

void DrainMachine::raiseDirectoryTtl(Millis ttl) noexcept
{
    m_directoryTtl = std::max(m_directoryTtl, ttl);
}

bool DrainMachine::acceptsNew() const noexcept
{
    return m_phase == DrainPhase::Serving || m_phase == DrainPhase::Withdrawn;
}

bool DrainMachine::listedInDirectory() const noexcept
{
    return m_phase == DrainPhase::Serving;
}

} // namespace fescue
