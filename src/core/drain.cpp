#include "fescue/core/drain.h"

#include <algorithm>

namespace fescue {

bool endsBefore(Deadline call, Deadline processEnd) noexcept
{
    return call.earlier(processEnd) == call;
}

DrainMachine::DrainMachine(Millis directoryTtl, DrainLimits limits) noexcept
    : m_directoryTtl(directoryTtl), m_limits(limits)
{ }

DrainStep DrainMachine::stop(Millis now) noexcept
{
    if (m_phase != DrainPhase::Serving)
        return DrainStep::ReportOpen;
    m_phase = DrainPhase::Withdrawn;
    m_stoppedAt = now;
    if (m_limits.grace) {
        const Millis answerTime = std::min(m_limits.answerTime, *m_limits.grace);
        m_lastCallEnd = Deadline::after(now, *m_limits.grace - answerTime);
        m_end = Deadline::after(now, *m_limits.grace);
    }
    return DrainStep::LeaveDirectory;
}

void DrainMachine::withdrawalConfirmed(Millis now) noexcept
{
    if (m_phase == DrainPhase::Withdrawn && !m_confirmedAt)
        m_confirmedAt = now;
}

DrainStep DrainMachine::tick(Millis now, std::size_t open) noexcept
{
    if (m_phase == DrainPhase::Serving || m_phase == DrainPhase::Finished)
        return DrainStep::None;
    if (m_end.hasPassed(now)) {
        m_phase = DrainPhase::Finished;
        return DrainStep::GiveUp;
    }
    if (m_phase != DrainPhase::Closing && m_lastCallEnd.hasPassed(now)) {
        m_phase = DrainPhase::Closing;
        m_closingAt = now;
        return DrainStep::RefuseAll;
    }
    const Millis unlistedAt = m_confirmedAt.value_or(m_stoppedAt + m_limits.confirmLimit);
    const Millis lastCallerAt = unlistedAt + m_limits.spreadTime + m_directoryTtl;
    if (m_phase == DrainPhase::Withdrawn && now >= lastCallerAt) {
        m_phase = DrainPhase::Refusing;
        return DrainStep::RefuseNew;
    }
    if (m_phase == DrainPhase::Refusing && open == 0) {
        m_phase = DrainPhase::Closing;
        m_closingAt = now;
        return DrainStep::CloseConnections;
    }
    const bool closed = m_connectionsClosed || now >= m_closingAt + m_limits.closeTime;
    if (m_phase == DrainPhase::Closing && open == 0 && closed) {
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
