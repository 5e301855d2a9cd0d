#include "fescue/serving/loadledger.h"

#include <algorithm>
#include <utility>

namespace fescue::serving {

namespace {

std::vector<EndpointLoadEntry> listOf(const std::map<EndpointName, EndpointLoad> &loads)
{
    std::vector<EndpointLoadEntry> list;
    list.reserve(loads.size());
    for (const std::pair<const EndpointName, EndpointLoad> &entry : loads)
        list.push_back({entry.first, entry.second});
    return list;
}

// Subtracts a load, or as much of it as there is: a lost report may have left it out of the sum.
void subtractUpTo(EndpointLoad &sum, const EndpointLoad &load)
{
    sum.requests -= std::min(sum.requests, load.requests);
    sum.memoryTokens -= std::min(sum.memoryTokens, load.memoryTokens);
    sum.prefillTokens -= std::min(sum.prefillTokens, load.prefillTokens);
}

} // namespace

EndpointLoad &EndpointLoad::operator+=(const EndpointLoad &other) noexcept
{
    requests += other.requests;
    memoryTokens += other.memoryTokens;
    prefillTokens += other.prefillTokens;
    progressEvents += other.progressEvents;
    progressMillis += other.progressMillis;
    return *this;
}

EndpointLoad &EndpointLoad::operator-=(const EndpointLoad &other) noexcept
{
    requests -= other.requests;
    memoryTokens -= other.memoryTokens;
    prefillTokens -= other.prefillTokens;
    progressEvents -= other.progressEvents;
    progressMillis -= other.progressMillis;
    return *this;
}

void LoadLedger::add(const EndpointName &endpoint, const EndpointLoad &load)
{
    m_own[endpoint] += load;
}

void LoadLedger::subtract(const EndpointName &endpoint, const EndpointLoad &load)
{
    const auto it = m_own.find(endpoint);
    if (it == m_own.end())
        return;
    it->second -= load;
    if (it->second == EndpointLoad {})
        m_own.erase(it);
}

void LoadLedger::setProgress(std::span<const EndpointLoadEntry> progress)
{
    m_ownProgress.clear();
    for (const EndpointLoadEntry &entry : progress) {
        EndpointLoad &own = m_ownProgress[entry.endpoint];
        own.progressEvents += entry.load.progressEvents;
        own.progressMillis += entry.load.progressMillis;
    }
}

std::map<EndpointName, EndpointLoad> LoadLedger::ownLoads() const
{
    std::map<EndpointName, EndpointLoad> loads = m_own;
    for (const std::pair<const EndpointName, EndpointLoad> &entry : m_ownProgress)
        loads[entry.first] += entry.second;
    return loads;
}

void LoadLedger::peerReported(Millis now, const MemberName &peer,
                              std::vector<EndpointLoadEntry> loads)
{
    if (!m_peers.contains(peer)) {
        std::erase_if(m_peers, [now](const std::pair<const MemberName, PeerLoads> &entry) {
            return now - entry.second.at > peerLifetime;
        });
    }
    m_peers[peer] = {now, std::move(loads)};
}

EndpointLoad LoadLedger::total(Millis now, const EndpointName &endpoint) const
{
    EndpointLoad sum;
    const auto it = m_own.find(endpoint);
    if (it != m_own.end())
        sum = it->second;
    const auto progress = m_ownProgress.find(endpoint);
    if (progress != m_ownProgress.end())
        sum += progress->second;
    for (const std::pair<const MemberName, PeerLoads> &peer : m_peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        for (const EndpointLoadEntry &reported : peer.second.loads) {
            if (reported.endpoint == endpoint)
                sum += reported.load;
        }
    }
    for (const std::pair<const ZoneName, ZoneSum> &zone : m_zones) {
        const auto load = zone.second.loads.find(endpoint);
        if (load != zone.second.loads.end() && now - zone.second.at <= zoneLifetime)
            sum += load->second;
    }
    applyChanges(now, endpoint, sum);
    return sum;
}

void LoadLedger::applyChanges(Millis now, const EndpointName &endpoint, EndpointLoad &sum) const
{
    for (const std::pair<const ZoneName, EndpointChanges> &zone : m_changes) {
        const auto it = zone.second.find(endpoint);
        if (it == zone.second.end())
            continue;
        const auto summed = m_zones.find(zone.first);
        for (const ZoneChange &change : it->second) {
            const bool isSummed = summed != m_zones.end() && change.at <= summed->second.at;
            if (isSummed || now - change.at > zoneLifetime)
                continue;
            if (change.added)
                sum += change.load;
            else
                subtractUpTo(sum, change.load);
        }
    }
}

void LoadLedger::eraseChanges(EndpointChanges &changes, Millis until)
{
    for (std::pair<const EndpointName, std::vector<ZoneChange>> &entry : changes) {
        m_changeCount -= std::erase_if(
            entry.second, [until](const ZoneChange &change) { return change.at <= until; });
    }
    std::erase_if(changes, [](const std::pair<const EndpointName, std::vector<ZoneChange>> &entry) {
        return entry.second.empty();
    });
}

void LoadLedger::purge(Millis now)
{
    if (now - m_purgedAt <= zoneLifetime)
        return;
    m_purgedAt = now;
    const Millis expired = now - zoneLifetime - 1_ms;
    for (std::pair<const ZoneName, EndpointChanges> &zone : m_changes)
        eraseChanges(zone.second, expired);
    std::erase_if(m_changes, [](const std::pair<const ZoneName, EndpointChanges> &zone) {
        return zone.second.empty();
    });
    std::erase_if(m_zones, [expired](const std::pair<const ZoneName, ZoneSum> &zone) {
        return zone.second.at <= expired;
    });
}

bool LoadLedger::zoneChanged(Millis now, const LoadChange &change)
{
    purge(now);
    const bool isNewZone = !m_changes.contains(change.fromZone);
    if (m_changeCount >= maxChanges || (isNewZone && m_changes.size() >= maxZones))
        return false;
    m_changes[change.fromZone][change.endpoint].push_back({now, change.added, change.load});
    ++m_changeCount;
    return true;
}

void LoadLedger::peerRemoved(const MemberName &peer, const EndpointName &endpoint,
                             const EndpointLoad &load)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return;
    for (EndpointLoadEntry &reported : it->second.loads) {
        if (reported.endpoint == endpoint)
            subtractUpTo(reported.load, load);
    }
}

bool LoadLedger::zoneReported(Millis now, const ZoneName &zone, Millis age,
                              std::span<const EndpointLoadEntry> loads)
{
    purge(now);
    if (!m_zones.contains(zone) && m_zones.size() >= maxZones)
        return false;
    const Millis at = now - age;
    ZoneSum &latest = m_zones[zone];
    // Sums arrive through two relays and may overtake each other.
    if (at + sumSpan < latest.at)
        return true;
    if (at > latest.at + sumSpan) {
        latest = {at, {}};
        // Later sums contain these changes.
        const auto changes = m_changes.find(zone);
        if (changes != m_changes.end())
            eraseChanges(changes->second, at);
    }
    std::size_t known = 0;
    for (const std::pair<const ZoneName, ZoneSum> &sum : m_zones)
        known += sum.second.loads.size();
    bool isComplete = true;
    for (const EndpointLoadEntry &reported : loads) {
        const auto it = latest.loads.find(reported.endpoint);
        if (it != latest.loads.end()) {
            it->second = reported.load;
        } else if (known < maxZoneLoads) {
            latest.loads.emplace(reported.endpoint, reported.load);
            ++known;
        } else {
            isComplete = false;
        }
    }
    return isComplete;
}

bool LoadLedger::hasRecentZoneReport(Millis now, const ZoneName &zone) const
{
    const auto it = m_zones.find(zone);
    return it != m_zones.end() && now - it->second.at <= zoneLifetime;
}

std::vector<EndpointLoadEntry> LoadLedger::sum(Millis now) const
{
    std::map<EndpointName, EndpointLoad> sums = ownLoads();
    for (const std::pair<const MemberName, PeerLoads> &peer : m_peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        for (const EndpointLoadEntry &reported : peer.second.loads)
            sums[reported.endpoint] += reported.load;
    }
    return listOf(sums);
}

std::vector<ZoneLoads> LoadLedger::zones(Millis now) const
{
    std::vector<ZoneLoads> zones;
    for (const std::pair<const ZoneName, ZoneSum> &zone : m_zones) {
        const Millis age = now - zone.second.at;
        if (age <= zoneLifetime)
            zones.push_back({zone.first, age, listOf(zone.second.loads)});
    }
    return zones;
}

std::size_t LoadLedger::requestingProcesses(Millis now, const EndpointName &endpoint) const
{
    const auto own = m_own.find(endpoint);
    std::size_t n = own != m_own.end() && own->second.requests > 0 ? 1 : 0;
    for (const std::pair<const MemberName, PeerLoads> &peer : m_peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        n += static_cast<std::size_t>(
            std::any_of(peer.second.loads.begin(), peer.second.loads.end(),
                        [&endpoint](const EndpointLoadEntry &reported) {
                            return reported.endpoint == endpoint && reported.load.requests > 0;
                        }));
    }
    return n;
}

std::vector<EndpointLoadEntry> LoadLedger::own() const
{
    return listOf(ownLoads());
}

ScopedLoad::ScopedLoad(LoadLedger &ledger, EndpointName endpoint, const EndpointLoad &load)
    : m_ledger(&ledger), m_endpoint(std::move(endpoint)), m_load(load)
{
    m_ledger->add(m_endpoint, m_load);
}

ScopedLoad::~ScopedLoad()
{
    m_ledger->subtract(m_endpoint, m_load);
}

void ScopedLoad::prefillDone()
{
    const EndpointLoad prefill {0, 0, m_load.prefillTokens};
    m_ledger->subtract(m_endpoint, prefill);
    m_load.prefillTokens = 0;
}

} // namespace fescue::serving
