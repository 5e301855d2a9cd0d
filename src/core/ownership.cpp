#include "fescue/core/ownership.h"

#include <algorithm>
#include <utility>

namespace fescue {

OwnershipMachine::OwnershipMachine(ClaimHolder self, FencingSupport fencing,
                                   OwnershipLimits limits) noexcept
    : m_self(std::move(self)), m_fencing(fencing), m_limits(limits)
{ }

OwnershipStep OwnershipMachine::setWanted(Millis now, bool wanted)
{
    m_wanted = wanted;
    if (wanted)
        return tryCreate(now);
    if (!m_holds)
        return OwnershipStep::None;
    m_holds = false;
    m_known.reset();
    return OwnershipStep::DeleteKey;
}

void OwnershipMachine::leaseGranted(Millis sentAt) noexcept
{
    leaseLost();
    if (sentAt >= m_resumedAt)
        m_leaseEnd = sentAt + m_limits.leaseTtl;
}

void OwnershipMachine::leaseRenewed(Millis sentAt) noexcept
{
    if (sentAt < m_resumedAt)
        return;
    const Millis end = sentAt + m_limits.leaseTtl;
    m_leaseEnd = std::max(m_leaseEnd.value_or(end), end);
}

void OwnershipMachine::leaseLost() noexcept
{
    m_leaseEnd.reset();
    if (m_holds)
        m_known.reset();
    m_holds = false;
}

OwnershipStep OwnershipMachine::keyCreated(Millis now, StoreRevision revision)
{
    if (m_pending != Pending::Create)
        return OwnershipStep::None;
    return take(now, revision);
}

OwnershipStep OwnershipMachine::keyExists(Millis now)
{
    return m_pending == Pending::Create ? readKey(now) : OwnershipStep::None;
}

OwnershipStep OwnershipMachine::keyAnswerLost(Millis now)
{
    return m_pending == Pending::Create ? readKey(now) : OwnershipStep::None;
}

OwnershipStep OwnershipMachine::keyRead(Millis now, const std::optional<OwnerKey> &key)
{
    if (m_pending != Pending::Read)
        return OwnershipStep::None;
    m_pending = Pending::Nothing;
    m_known = key;
    if (!key)
        return tryCreate(now);
    m_seen = std::max(m_seen, key->revision);
    if (key->holder == m_self)
        return take(now, key->revision);
    return OwnershipStep::None;
}

OwnershipStep OwnershipMachine::keyChanged(Millis now, StoreRevision at,
                                           const std::optional<OwnerKey> &key)
{
    // Watches lag: what they show may be older than the key that this process wrote or read.
    if (at <= m_seen)
        return OwnershipStep::None;
    m_seen = at;
    const bool own = key && key->holder == m_self;
    if (m_holds && !own)
        m_holds = false;
    if (own)
        return OwnershipStep::None;
    m_known = key;
    return tryCreate(now);
}

OwnershipStep OwnershipMachine::fenceRefused(Millis now)
{
    m_holds = false;
    m_known.reset();
    return readKey(now);
}

OwnershipStep OwnershipMachine::tick(Millis now)
{
    noticePause(now);
    const bool overdue = now - m_pendingSince >= m_limits.answerTimeout;
    if (m_pending != Pending::Nothing)
        return overdue ? readKey(now) : OwnershipStep::None;
    return tryCreate(now);
}

bool OwnershipMachine::mayGrant(Millis now) noexcept
{
    return mayAct(now, m_limits.creditTerm);
}

bool OwnershipMachine::mayOrder(Millis now) noexcept
{
    const bool checks = m_fencing == FencingSupport::Checks;
    return mayAct(now, checks ? Millis {0} : m_limits.longestPause);
}

bool OwnershipMachine::mayAct(Millis now, Millis wait) noexcept
{
    noticePause(now);
    return m_holds && leaseStands(now) && now - m_takenAt >= wait;
}

// After a pause the lease may have lapsed, and only a renewal that is asked for from now on tells.
void OwnershipMachine::noticePause(Millis now) noexcept
{
    if (m_lastLook && now - *m_lastLook > m_limits.pauseLimit) {
        m_resumedAt = now;
        m_leaseEnd.reset();
    }
    m_lastLook = now;
}

bool OwnershipMachine::leaseStands(Millis now) const noexcept
{
    return m_leaseEnd && now + m_limits.clockMargin < *m_leaseEnd;
}

OwnershipStep OwnershipMachine::tryCreate(Millis now)
{
    const bool free = !m_holds && !m_known && m_pending == Pending::Nothing;
    if (!m_wanted || !free || !leaseStands(now))
        return OwnershipStep::None;
    m_pending = Pending::Create;
    m_pendingSince = now;
    return OwnershipStep::CreateKey;
}

OwnershipStep OwnershipMachine::readKey(Millis now)
{
    m_pending = Pending::Read;
    m_pendingSince = now;
    return OwnershipStep::ReadKey;
}

OwnershipStep OwnershipMachine::take(Millis now, StoreRevision revision)
{
    m_pending = Pending::Nothing;
    m_revision = revision;
    m_seen = std::max(m_seen, revision);
    m_takenAt = now;
    m_known = OwnerKey {m_self, revision};
    if (!m_wanted) {
        m_known.reset();
        return OwnershipStep::DeleteKey;
    }
    m_holds = true;
    return OwnershipStep::None;
}

} // namespace fescue
