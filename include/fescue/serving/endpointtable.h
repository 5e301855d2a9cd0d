#pragma once

#include "fescue/serving/endpointincarnation.h"
#include "fescue/serving/endpointrecord.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace fescue::serving {

struct EndpointTableLimits
{
    // Entries that expired while the store was unreachable are written again within this time after
    // its return; from the platform's page on service discovery.
    Millis returnGrace = 2_s;
    // A removed endpoint continues to serve its running requests; its record is kept this long for
    // them.
    Millis departedRetention = 30_s;
    // An endpoint's notice that it is leaving is kept this long: longer than an outdated entry of
    // it may stay in the store.
    Millis noticeRetention = 120_s;
    // An endpoint's notice is repeated to peers for this time.
    Millis noticeRepeatTime = 30_s;
    // Entries of endpoints that send no heartbeats expire within this time: three heartbeats of
    // 1.2 s on the platform, and some delay.
    Millis entryLifetime = 4500_ms;
    // After the store was restored from an older copy, operator's orders that it lost remain in
    // force for this time. The platform's pages give no time for their return; this is five times
    // the one for entries.
    Millis lostOrderGrace = 10_s;
    // Notices about endpoints that are not listed are kept up to this number of all notices.
    std::size_t maxUnlistedNotices = 8192;
};

// How an entry of the store was received.
enum class EntrySource : std::uint8_t
{
    // The entry was written just now.
    Written,
    // The entry was listed. It may be outdated if the store was restored from an older copy.
    Listed,
};

// The state of an endpoint as known to this process.
struct EndpointView
{
    EndpointRecord record;
    // End of the endpoint's cold time by this process' clock.
    Millis coldUntil {0};
    // Time at which the endpoint announced that it is leaving, or its entry was removed; 0 if
    // neither has happened.
    Millis leavingSince {0};
    // True if the endpoint announced leaving itself, which is final for this incarnation. An
    // endpoint whose entry was only removed may return.
    bool announcedLeaving = false;
    // Time at which the endpoint was first listed in this incarnation.
    Millis firstListedAt {0};

    [[nodiscard]] bool leaving() const noexcept { return leavingSince > Millis {0}; }
    [[nodiscard]] bool isCold(Millis now) const noexcept { return now < coldUntil; }
};

// The endpoints of the platform's service discovery, and the availability zones that are out of
// service.
//
// While the store is unreachable, entries of running endpoints may expire: an endpoint whose entry
// is missing when the store returns stays usable for the grace period, and counts as leaving after
// that.
class EndpointTable
{
public:
    explicit EndpointTable(EndpointTableLimits limits = {}) noexcept : m_limits(limits) { }

    // Records an entry that was written or read.
    void listed(Millis now, const EndpointRecord &record,
                EntrySource source = EntrySource::Written);
    // Records that an entry was removed, or can no longer be read.
    void removed(Millis now, const EndpointName &name);
    // Records that an endpoint announced in a response, to this process or to a peer, that this
    // incarnation of it is leaving. Returns true if the endpoint counted as usable before. The
    // store may list it as usable for a while.
    bool announcedLeaving(Millis now, const EndpointIncarnation &notice);
    // Returns the recent leaving notices of endpoints, to be sent to peers.
    [[nodiscard]] std::vector<EndpointIncarnation> recentLeavingNotices(Millis now) const;
    // Records whether the store is reachable. Endpoints whose entries are removed while it is not,
    // or within the grace period after its return, stay usable until tick() finds that the grace
    // period is over.
    void storeReachable(Millis now, bool reachable) noexcept;
    // Records that the store was restored from an older copy, which is listed next. Endpoints whose
    // entries it lacks stay usable for the grace period. Endpoints that were leaving stay so until
    // they write a new entry, or until their listed entries have outlasted the lifetime of entries
    // without heartbeats.
    void storeRewound(Millis now);

    void zoneOut(const ZoneName &zone);
    void zoneIn(const ZoneName &zone);
    // Records that a listing has no order for a zone that is out of service. If the store was
    // restored from an older copy, the zone stays out of service for `lostOrderGrace`. Returns true
    // if the zone is in service from now on.
    bool zoneOrderMissing(Millis now, const ZoneName &zone);
    // Takes a zone out of service by an order that the store has lost and a peer has reported.
    void zoneOrderRetained(Millis now, const ZoneName &zone);
    // Returns true if nothing may be sent to the endpoints of a zone.
    [[nodiscard]] bool isZoneOut(const ZoneName &zone) const { return m_zonesOut.contains(zone); }
    [[nodiscard]] const std::set<ZoneName> &zonesOut() const noexcept { return m_zonesOut; }
    // Puts zones back into service whose lost order the operator has not written again in time.
    // Returns these zones.
    [[nodiscard]] std::vector<ZoneName> expireRetainedZoneOrders(Millis now);

    // Marks endpoints as leaving whose entries were still missing at the end of the grace period,
    // and removes outdated records. Returns the endpoints that count as leaving from now on.
    [[nodiscard]] std::vector<EndpointName> tick(Millis now);

    // Returns the endpoint in any state, or null if it is not known.
    [[nodiscard]] const EndpointView *find(const EndpointName &name) const;
    // Returns the endpoints of a service that may get new work: neither leaving nor in a zone that
    // is out of service.
    [[nodiscard]] std::vector<const EndpointView *> usable(const ServiceName &service) const;
    [[nodiscard]] const std::map<EndpointName, EndpointView> &all() const noexcept
    {
        return m_endpoints;
    }

private:
    // Returns true while the store is unreachable, and for the grace period after its return:
    // entries of running endpoints may be missing then.
    [[nodiscard]] bool removalsMayBeFalse(Millis now) const noexcept;
    void markLeaving(Millis now, EndpointView &endpoint) noexcept;
    // Makes endpoints usable again whose listed entries have outlasted the lifetime of entries
    // without heartbeats.
    void confirmListed(Millis now);
    [[nodiscard]] bool hasLeavingNotice(const EndpointName &name, Incarnation incarnation) const;

    struct Notice
    {
        Incarnation incarnation;
        Millis at {0};
    };

    EndpointTableLimits m_limits;
    std::map<EndpointName, EndpointView> m_endpoints;
    // Endpoints whose entries were removed, possibly by an outage of the store.
    std::set<EndpointName> m_unconfirmedRemovals;
    // Leaving notices, also of endpoints that are not listed yet.
    std::map<EndpointName, Notice> m_notices;
    std::set<ZoneName> m_zonesOut;
    // Zones out of service by an order that the store has lost, with the time at which they return
    // to service unless a new order arrives.
    std::map<ZoneName, Millis> m_retainedZoneOrders;
    bool m_reachable = true;
    Millis m_reachableSince {0};
    bool m_hadOutage = false;
    // Time at which the store was last restored from an older copy.
    std::optional<Millis> m_rewoundAt;
    // Endpoints that were removed by then, and those of them that the older copy lists.
    std::set<EndpointName> m_removedBeforeRewind;
    std::set<EndpointName> m_unconfirmedListings;
};

} // namespace fescue::serving
