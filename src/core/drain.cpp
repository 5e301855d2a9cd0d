#include "fescue/core/drain.h"

#include <algorithm>

namespace fescue {

DrainStep DrainMachine::stop(Millis now) noexcept
{
    if (m_phase != DrainPhase::Serving)
        return DrainStep::ReportOpen;
    m_phase = DrainPhase::Withdrawn;
    m_withdrawnAt = now;
    return DrainStep::LeaveDirectory;
}

DrainStep DrainMachine::tick(Millis now, std::size_t open) noexcept
{
    if (m_phase == DrainPhase::Withdrawn && now - m_withdrawnAt >= m_directoryTtl) {
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
