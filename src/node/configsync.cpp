#include "configsync.h"

#include "fescue/config/snapshotjson.h"

#include <algorithm>
#include <utility>

namespace fescue::node {

bool ConfigSync::checkStore(Millis now, Millis wait)
{
    if (!m_watchedVersion)
        return readStore(now);
    const net::StoreResult<net::StoreList> answer = m_store.watch(configKeyPrefix, m_watched, wait);
    if (!answer)
        return false;
    for (const net::StoreItem &item : answer->items) {
        if (item.key != configKey)
            continue;
        if (item.deleted)
            m_hooks.warn("config-deleted", "the store holds no configuration any more");
        else
            offer(item.value, item.revision.value, ConfigSource::Store);
    }
    confirm(now, answer->revision);
    return true;
}

bool ConfigSync::readStore(Millis now)
{
    const net::StoreResult<net::StoreList> answer = m_store.list(configKeyPrefix);
    if (!answer) {
        m_follower.fetchFailed();
        return false;
    }
    bool found = false;
    for (const net::StoreItem &item : answer->items) {
        if (item.key != configKey)
            continue;
        found = true;
        offer(item.value, item.revision.value, ConfigSource::Store);
    }
    if (!found) {
        m_follower.storeIsEmpty();
        m_watchedVersion = ConfigVersion {};
    }
    confirm(now, answer->revision);
    return true;
}

// A configuration that this process cannot read is one that it does not know, so the store then
// confirms nothing.
void ConfigSync::confirm(Millis askedAt, net::StoreRevision revision)
{
    m_watched = std::max(m_watched, revision);
    if (!m_unreadable && m_watchedVersion)
        m_hooks.confirmed(askedAt, *m_watchedVersion);
}

void ConfigSync::peerHas(Millis now, const MemberName &peer, ConfigVersion version)
{
    m_follower.peerHas(now, peer, version);
}

void ConfigSync::requested(const MemberName &from, const peer::ConfigRequest &request)
{
    if (m_follower.inForce() > request.knownVersion)
        m_hooks.send(from, peer::ConfigBody {m_follower.inForce(), m_bodyRevision, m_body});
}

void ConfigSync::received(const peer::ConfigBody &body)
{
    offer(body.body, body.revision, ConfigSource::Peer);
}

bool ConfigSync::fetchDue(Millis now)
{
    const std::optional<ConfigFetch> fetch = m_follower.nextFetch(now);
    if (!fetch)
        return false;
    if (fetch->from == ConfigSource::Store)
        return true;
    m_hooks.send(fetch->peer, peer::ConfigRequest {m_follower.inForce()});
    return false;
}

// Takes over a configuration where it is newer.
void ConfigSync::offer(const std::string &body, std::uint64_t revision, ConfigSource source)
{
    Result<Snapshot> snapshot = parseSnapshot(body);
    if (!snapshot) {
        m_hooks.warn("config-unreadable", snapshot.error().toString());
        m_follower.fetchFailed();
        m_unreadable = m_unreadable || source == ConfigSource::Store;
        return;
    }
    m_unreadable = false;
    const ConfigVersion version = snapshot->version;
    const ConfigVerdict verdict = m_follower.offer(version, source);
    if (verdict == ConfigVerdict::StoreWentBack)
        m_hooks.warn("config-store-went-back",
                     "the store shows version " + std::to_string(version.value));
    if (source == ConfigSource::Store || revision > m_watched.value) {
        m_watched = std::max(m_watched, net::StoreRevision {revision});
        m_watchedVersion = version;
    }
    if (verdict != ConfigVerdict::Apply)
        return;
    m_body = body;
    m_bodyRevision = revision;
    m_snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    m_hooks.applied(m_snapshot);
}

} // namespace fescue::node
