#include "fescue/core/freshness.h"

#include <algorithm>

namespace fescue {

void FreshnessJudge::storeContact(Millis askedAt, ConfigVersion version)
{
    noteContact(askedAt, version);
}

void FreshnessJudge::peerAnswered(const MemberName &peer, Millis askedAt, const StoreVouch &vouch)
{
    Millis &answeredFor = m_peers.try_emplace(peer, askedAt).first->second;
    answeredFor = std::max(answeredFor, askedAt);
    if (vouch.contactAge)
        noteContact(askedAt - *vouch.contactAge, vouch.version);
}

void FreshnessJudge::versionExists(ConfigVersion version) noexcept
{
    if (version <= m_newest)
        return;
    m_newest = version;
    m_newestSince = m_lastTick.value_or(Millis {0});
}

void FreshnessJudge::forgetPeer(const MemberName &peer)
{
    m_peers.erase(peer);
}

void FreshnessJudge::tick(Millis now)
{
    if (m_lastTick && now - *m_lastTick > m_limits.pauseLimit)
        m_resumedAt = now;
    m_lastTick = now;
}

FreshnessVerdict FreshnessJudge::verdict(Millis now, ConfigVersion inForce,
                                         std::size_t expectedPeers)
{
    tick(now);
    const bool newerExists = m_newest > inForce;
    if (isFresh(now, inForce) && !(m_isolated && newerExists)) {
        m_isolated = false;
        return FreshnessVerdict::Fresh;
    }
    // Counts this process on both sides.
    const bool reachesMost = (reachablePeers(now) + 1) * 2 > expectedPeers + 1;
    m_isolated = newerExists || !reachesMost;
    return m_isolated ? FreshnessVerdict::Isolated : FreshnessVerdict::Outage;
}

StoreVouch FreshnessJudge::ownVouch(Millis now) const
{
    StoreVouch vouch;
    for (const std::pair<const ConfigVersion, Millis> &contact : m_contacts) {
        const Millis age = now - contact.second;
        if (vouch.contactAge && age > *vouch.contactAge)
            continue;
        vouch.contactAge = age;
        vouch.version = contact.first;
    }
    return vouch;
}

void FreshnessJudge::noteContact(Millis at, ConfigVersion version)
{
    versionExists(version);
    Millis &latest = m_contacts.try_emplace(version, at).first->second;
    latest = std::max(latest, at);
    while (m_contacts.size() > maxVersions)
        m_contacts.erase(m_contacts.begin());
}

bool FreshnessJudge::isFresh(Millis now, ConfigVersion inForce) const
{
    for (const std::pair<const ConfigVersion, Millis> &contact : m_contacts) {
        if (contact.first > inForce)
            break;
        const bool sincePause = contact.second >= m_resumedAt;
        const bool wentBack = contact.first < m_newest && contact.second > m_newestSince;
        if (sincePause && !wentBack && now - contact.second <= m_limits.contactLimit)
            return true;
    }
    return false;
}

std::size_t FreshnessJudge::reachablePeers(Millis now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [this, now](const std::pair<const MemberName, Millis> &p) {
            return p.second >= m_resumedAt && now - p.second <= m_limits.peerLimit;
        }));
}

} // namespace fescue
