#include "fescue/serving/endpointtable.h"

#include <algorithm>

namespace fescue::serving {

void EndpointTable::listed(Millis now, const EndpointRecord &record, EntrySource source)
{
    const auto it = m_endpoints.find(record.name);
    const bool sameIncarnation =
        it != m_endpoints.end() && it->second.record.incarnation == record.incarnation;
    const bool fromListing = source == EntrySource::Listed;
    if (fromListing && sameIncarnation && m_removedBeforeRewind.contains(record.name)) {
        m_unconfirmedListings.insert(record.name);
        return;
    }
    m_unconfirmedRemovals.erase(record.name);
    m_removedBeforeRewind.erase(record.name);
    m_unconfirmedListings.erase(record.name);
    // The cold time starts when the entry is written; a listing of the same entry does not restart
    // it.
    const bool isKnown = fromListing && sameIncarnation && it->second.record == record;
    EndpointView view;
    view.record = record;
    view.firstListedAt = sameIncarnation ? it->second.firstListedAt : now;
    view.coldUntil = isKnown ? it->second.coldUntil : now + record.coldRemaining;
    const bool announcedBefore = (sameIncarnation && it->second.announcedLeaving)
        || hasLeavingNotice(record.name, record.incarnation);
    view.announcedLeaving = record.draining || announcedBefore;
    if (view.announcedLeaving)
        view.leavingSince = sameIncarnation && it->second.leaving() ? it->second.leavingSince : now;
    m_endpoints[record.name] = std::move(view);
}

bool EndpointTable::removalsMayBeFalse(Millis now) const noexcept
{
    return !m_reachable || (m_hadOutage && now - m_reachableSince < m_limits.returnGrace);
}

void EndpointTable::markLeaving(Millis now, EndpointView &endpoint) noexcept
{
    if (!endpoint.leaving())
        endpoint.leavingSince = now;
}

bool EndpointTable::hasLeavingNotice(const EndpointName &name, Incarnation incarnation) const
{
    const auto it = m_notices.find(name);
    return it != m_notices.end() && it->second.incarnation == incarnation;
}

bool EndpointTable::announcedLeaving(Millis now, const EndpointIncarnation &notice)
{
    const auto recorded = m_notices.find(notice.endpoint);
    // A notice of an earlier incarnation may arrive late.
    if (recorded != m_notices.end() && recorded->second.incarnation >= notice.incarnation)
        return false;
    const auto it = m_endpoints.find(notice.endpoint);
    if (it == m_endpoints.end() && recorded == m_notices.end()
        && m_notices.size() >= m_limits.maxUnlistedNotices)
        return false;
    m_notices[notice.endpoint] = {notice.incarnation, now};
    if (it == m_endpoints.end() || it->second.record.incarnation != notice.incarnation)
        return false;
    const bool wasNotLeaving = !it->second.leaving();
    it->second.announcedLeaving = true;
    markLeaving(now, it->second);
    return wasNotLeaving;
}

std::vector<EndpointIncarnation> EndpointTable::recentLeavingNotices(Millis now) const
{
    std::vector<EndpointIncarnation> notices;
    for (const std::pair<const EndpointName, Notice> &entry : m_notices) {
        if (now - entry.second.at <= m_limits.noticeRepeatTime)
            notices.push_back({entry.first, entry.second.incarnation});
    }
    return notices;
}

void EndpointTable::removed(Millis now, const EndpointName &name)
{
    m_unconfirmedListings.erase(name);
    const auto it = m_endpoints.find(name);
    if (it == m_endpoints.end())
        return;
    if (removalsMayBeFalse(now) && !it->second.leaving())
        m_unconfirmedRemovals.insert(name);
    else
        markLeaving(now, it->second);
}

void EndpointTable::storeReachable(Millis now, bool reachable) noexcept
{
    if (reachable && !m_reachable)
        m_reachableSince = now;
    if (!reachable)
        m_hadOutage = true;
    m_reachable = reachable;
}

void EndpointTable::storeRewound(Millis now)
{
    m_hadOutage = true;
    m_reachableSince = now;
    m_rewoundAt = now;
    for (const std::pair<const EndpointName, EndpointView> &entry : m_endpoints) {
        const EndpointView &endpoint = entry.second;
        const Incarnation incarnation = endpoint.record.incarnation;
        // Makes recentLeavingNotices() report it: peers that start now read from the older copy
        // that it is usable.
        if (endpoint.announcedLeaving && !hasLeavingNotice(entry.first, incarnation))
            m_notices[entry.first] = {incarnation, now};
        else if (endpoint.leaving() && !endpoint.announcedLeaving)
            m_removedBeforeRewind.insert(entry.first);
    }
}

void EndpointTable::zoneOut(const ZoneName &zone)
{
    m_zonesOut.insert(zone);
    m_retainedZoneOrders.erase(zone);
}

void EndpointTable::zoneIn(const ZoneName &zone)
{
    m_zonesOut.erase(zone);
    m_retainedZoneOrders.erase(zone);
}

bool EndpointTable::zoneOrderMissing(Millis now, const ZoneName &zone)
{
    const bool retained = m_rewoundAt && now - *m_rewoundAt < m_limits.lostOrderGrace;
    if (retained && m_zonesOut.contains(zone))
        m_retainedZoneOrders[zone] = *m_rewoundAt + m_limits.lostOrderGrace;
    else
        zoneIn(zone);
    return !retained;
}

void EndpointTable::zoneOrderRetained(Millis now, const ZoneName &zone)
{
    m_zonesOut.insert(zone);
    m_retainedZoneOrders[zone] = now + m_limits.lostOrderGrace;
}

std::vector<ZoneName> EndpointTable::expireRetainedZoneOrders(Millis now)
{
    std::vector<ZoneName> zones;
    for (const std::pair<const ZoneName, Millis> &retained : m_retainedZoneOrders) {
        if (now >= retained.second)
            zones.push_back(retained.first);
    }
    for (const ZoneName &zone : zones)
        zoneIn(zone);
    return zones;
}

void EndpointTable::confirmListed(Millis now)
{
    if (!m_rewoundAt || now - *m_rewoundAt < m_limits.entryLifetime)
        return;
    for (const EndpointName &name : m_unconfirmedListings) {
        const auto it = m_endpoints.find(name);
        if (it != m_endpoints.end() && !it->second.announcedLeaving)
            it->second.leavingSince = {0};
    }
    m_unconfirmedListings.clear();
    m_removedBeforeRewind.clear();
}

std::vector<EndpointName> EndpointTable::tick(Millis now)
{
    confirmListed(now);
    std::vector<EndpointName> leaving;
    if (!removalsMayBeFalse(now)) {
        for (const EndpointName &name : m_unconfirmedRemovals) {
            // An endpoint that had also announced its departure may have been forgotten since.
            const auto it = m_endpoints.find(name);
            if (it == m_endpoints.end())
                continue;
            markLeaving(now, it->second);
            leaving.push_back(name);
        }
        m_unconfirmedRemovals.clear();
    }
    std::erase_if(m_endpoints, [this, now](const std::pair<const EndpointName, EndpointView> &e) {
        return e.second.leaving() && now - e.second.leavingSince > m_limits.departedRetention;
    });
    std::erase_if(m_notices, [this, now](const std::pair<const EndpointName, Notice> &entry) {
        return now - entry.second.at > m_limits.noticeRetention;
    });
    return leaving;
}

const EndpointView *EndpointTable::find(const EndpointName &name) const
{
    const auto it = m_endpoints.find(name);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

std::vector<const EndpointView *> EndpointTable::usable(const ServiceName &service) const
{
    std::vector<const EndpointView *> found;
    for (const std::pair<const EndpointName, EndpointView> &entry : m_endpoints) {
        const EndpointView &endpoint = entry.second;
        if (endpoint.record.service == service && !endpoint.leaving()
            && !m_zonesOut.contains(endpoint.record.zone))
            found.push_back(&endpoint);
    }
    return found;
}

} // namespace fescue::serving
