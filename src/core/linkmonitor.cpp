#include "fescue/core/linkmonitor.h"

#include <algorithm>

namespace fescue {

LinkMonitor::LinkMonitor(Millis now, LinkLimits limits) noexcept
    : m_limits(limits), m_receivedAt(now), m_acknowledgedAt(now), m_sentAt(now), m_lastTick(now)
{ }

void LinkMonitor::received(Millis now, const LinkHeartbeat &heartbeat) noexcept
{
    received(now);
    m_lastReceived = std::max(m_lastReceived, heartbeat.number);
    const bool news = heartbeat.received > m_lastAcknowledged && heartbeat.received <= m_lastSent;
    if (!news)
        return;
    m_lastAcknowledged = heartbeat.received;
    m_acknowledgedAt = now;
}

LinkStep LinkMonitor::tick(Millis now) noexcept
{
    // After a pause of this process, what has arrived meanwhile has yet to be read.
    if (now - m_lastTick > m_limits.pauseLimit) {
        m_receivedAt = now;
        m_acknowledgedAt = now;
    }
    m_lastTick = now;
    if (now - m_receivedAt > m_limits.silentAfter)
        return LinkStep::CloseNothingReceived;
    if (now - m_acknowledgedAt > m_limits.silentAfter)
        return LinkStep::CloseNothingAcknowledged;
    const bool due = m_lastSent == 0 || now - m_sentAt >= m_limits.heartbeatInterval;
    return due ? LinkStep::SendHeartbeat : LinkStep::None;
}

LinkHeartbeat LinkMonitor::nextHeartbeat(Millis now) noexcept
{
    m_sentAt = now;
    ++m_lastSent;
    return {m_lastSent, m_lastReceived};
}

} // namespace fescue
