#include "fescue/serving/coldshares.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// The distributed part of the limit is the limit divided by this.
constexpr double distributedDivisor = 2;

} // namespace

void ColdShares::recordMembers(Millis now, std::span<const MemberView> members)
{
    for (const MemberView &member : members) {
        m_seenAt[member.info.name] = now;
        const bool isFirst = m_firstPeerSeenAt == Millis {0} && member.info.name != m_self;
        if (isFirst)
            m_firstPeerSeenAt = now;
    }
    m_seenAt[m_self] = now;
    std::erase_if(m_seenAt, [now](const std::pair<const MemberName, Millis> &entry) {
        return now - entry.second > memberRetention;
    });
}

bool ColdShares::isAmongFirst(const EndpointName &endpoint, std::size_t n) const
{
    const std::uint64_t own = rendezvousScore(endpoint.text(), m_self.text());
    std::size_t before = 0;
    for (const std::pair<const MemberName, Millis> &entry : m_seenAt) {
        if (rendezvousScore(endpoint.text(), entry.first.text()) > own && ++before >= n)
            return false;
    }
    return n > 0;
}

std::size_t ColdShares::share(Millis now, const EndpointName &endpoint, double perSecond) const
{
    if (m_firstPeerSeenAt == Millis {0} || now - m_firstPeerSeenAt < settlingTime)
        return 0;
    const std::size_t distributed =
        static_cast<std::size_t>(std::max(perSecond, 0.0) / distributedDivisor);
    const std::size_t members = std::max(m_seenAt.size(), minMembers);
    const std::size_t each = distributed / members;
    if (each > 0)
        return each;
    return isAmongFirst(endpoint, distributed) ? 1 : 0;
}

} // namespace fescue::serving
