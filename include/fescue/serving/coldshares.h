#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <map>
#include <span>

namespace fescue::serving {

// The part of one process in what a cold endpoint bears from all of them.
//
// Half of the bound is given out. Where every member gets at least one request of it, parts are
// equal; a member that knows only half of the others takes twice its part, which the other half of
// the bound covers. Where there are more members than requests, each endpoint has its own order of
// the members (rendezvous) and the first ones get one request each. Members that are gone stay in
// the order for a while, so that views differ by newcomers only: as many as the other half of the
// bound may be unknown to some before the sum can exceed it.
class ColdShares
{
public:
    // Members count for this time after they were last seen; longer than any outage in which a
    // process that is out of sight can still reach endpoints.
    static constexpr Millis remember = 60_s;
    // A process takes no part before it has known others for this time: it has just started, and
    // others that start with it are not registered yet.
    static constexpr Millis settle = 3_s;
    // Bounds are divided as if there were at least as many members: a process that has just started
    // knows few of the others. Deployments have 7 entry VMs or more.
    static constexpr std::size_t fewestMembers = 7;

    explicit ColdShares(MemberName self) : m_self(std::move(self)) { }

    // Records the members in view.
    void seen(Millis now, std::span<const MemberView> members);
    // Requests in a second that this process may send to an endpoint which bears `perSecond`.
    [[nodiscard]] std::size_t part(Millis now, const EndpointName &endpoint,
                                   double perSecond) const;

private:
    // True where fewer than `n` members come before this process in the endpoint's order.
    [[nodiscard]] bool isAmongFirst(const EndpointName &endpoint, std::size_t n) const;

    MemberName m_self;
    std::map<MemberName, Millis> m_seenAt;
    // When the first other member was seen; 0 where none was.
    Millis m_knownSince {0};
};

} // namespace fescue::serving
