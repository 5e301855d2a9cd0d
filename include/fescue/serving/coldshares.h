#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <map>
#include <span>

namespace fescue::serving {

// Computes the share of this process in the cold limit of an endpoint, which applies to the
// requests of all processes together.
//
// Only half of the limit is distributed. If that is at least one request for each member, shares
// are equal; a member that knows only half of the others uses twice its share, which the
// undistributed half covers. If there are more members than requests, members are ranked for each
// endpoint by rendezvous hashing, and the first ones get one request each. Departed members keep
// their rank for a while, so that the views of two members differ only by new members: the sum of
// all shares exceeds the limit only if more new members are unknown to some than the undistributed
// half has requests.
class ColdShares
{
public:
    // Members count for this time after they were last seen. Longer than any outage in which a
    // process that others cannot see can still reach endpoints.
    static constexpr Millis memberRetention = 60_s;
    // A process has no share before it has known other members for this time: after its start,
    // processes that start at the same time may not be registered yet.
    static constexpr Millis settlingTime = 3_s;
    // Limits are divided by at least this number of members, because a process that has just
    // started knows few of the others. Deployments have 7 entry VMs or more.
    static constexpr std::size_t minMembers = 7;

    explicit ColdShares(MemberName self) : m_self(std::move(self)) { }

    // Records the members that are visible now.
    void recordMembers(Millis now, std::span<const MemberView> members);
    // Returns the number of requests a second that this process may send to a cold endpoint whose
    // limit is `perSecond`.
    [[nodiscard]] std::size_t share(Millis now, const EndpointName &endpoint,
                                    double perSecond) const;

private:
    // Returns true if fewer than `n` members rank before this process for the endpoint.
    [[nodiscard]] bool isAmongFirst(const EndpointName &endpoint, std::size_t n) const;

    MemberName m_self;
    std::map<MemberName, Millis> m_seenAt;
    // Time at which the first other member was seen; 0 if none was.
    Millis m_firstPeerSeenAt {0};
};

} // namespace fescue::serving
