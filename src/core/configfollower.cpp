#include "fescue/core/configfollower.h"

#include <algorithm>

namespace fescue {

ConfigVerdict ConfigFollower::offer(ConfigVersion version, ConfigSource source)
{
    if (source == ConfigSource::Store)
        m_storeAnswered = true;
    m_newestKnown = std::max(m_newestKnown, version);
    settleFetch(version);
    if (version > m_inForce) {
        m_inForce = version;
        return ConfigVerdict::Apply;
    }
    if (version == m_inForce)
        return ConfigVerdict::AlreadyInForce;
    if (source == ConfigSource::Peer)
        return ConfigVerdict::IgnoreOlder;
    ++m_storeRegressions;
    return ConfigVerdict::StoreWentBack;
}

void ConfigFollower::peerHas(Millis now, const MemberName &peer, ConfigVersion version)
{
    if (!m_ready)
        m_peersAnswered.insert(peer);
    if (!m_firstPeerAt)
        m_firstPeerAt = now;
    if (version <= m_newestKnown && !m_newestPeer.empty())
        return;
    if (version < m_newestKnown || version.value == 0)
        return;
    m_newestKnown = version;
    m_newestPeer = peer;
    if (!m_fetchStartedAt)
        m_nextSource = ConfigSource::Peer;
}

void ConfigFollower::storeIsEmpty()
{
    m_storeAnswered = true;
    m_fetchStartedAt.reset();
    if (m_inForce.value > 0)
        ++m_storeRegressions;
}

std::optional<ConfigFetch> ConfigFollower::nextFetch(Millis now)
{
    if (m_fetchStartedAt && now - *m_fetchStartedAt >= m_limits.fetchTimeout)
        fetchFailed();
    const bool behind = m_inForce < m_newestKnown;
    const bool booting = m_inForce.value == 0 && !m_storeAnswered;
    if (m_fetchStartedAt || (!behind && !booting))
        return std::nullopt;
    m_fetchStartedAt = now;
    if (!behind || m_newestPeer.empty())
        m_nextSource = ConfigSource::Store;
    if (m_nextSource == ConfigSource::Store)
        return ConfigFetch {ConfigSource::Store, MemberName {}, m_newestKnown};
    return ConfigFetch {ConfigSource::Peer, m_newestPeer, m_newestKnown};
}

void ConfigFollower::fetchFailed() noexcept
{
    m_fetchStartedAt.reset();
    const bool fromPeer = m_nextSource == ConfigSource::Peer;
    m_nextSource = fromPeer ? ConfigSource::Store : ConfigSource::Peer;
}

bool ConfigFollower::ready(Millis now, std::size_t expectedPeers)
{
    if (m_ready)
        return true;
    if (!m_startedAt)
        m_startedAt = now;
    if (m_inForce.value == 0 || m_inForce < m_newestKnown)
        return false;
    // The store alone is not enough, since it may have come back with an older value.
    const bool majority = m_peersAnswered.size() * 2 > expectedPeers || expectedPeers == 0;
    const std::optional<Millis> waitsSince = m_storeAnswered ? m_startedAt : m_firstPeerAt;
    const bool waited = waitsSince && now - *waitsSince >= m_limits.bootWait;
    m_ready = (majority && (m_storeAnswered || m_firstPeerAt)) || waited;
    if (m_ready)
        m_peersAnswered.clear();
    return m_ready;
}

// Ends the fetch in progress. Where it brought less than is known to exist, the next one waits for
// the end of the timeout and goes to the other source.
void ConfigFollower::settleFetch(ConfigVersion version)
{
    if (version >= m_newestKnown) {
        m_fetchStartedAt.reset();
        m_nextSource = ConfigSource::Peer;
    }
}

} // namespace fescue
