#include "fescue/serving/sharedretrybudget.h"

#include <algorithm>

namespace fescue::serving {

namespace {

void expireBefore(std::deque<Millis> &times, Millis limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

void SharedRetryBudget::expire(Millis now)
{
    const Millis limit = now - m_retryLimit.window;
    expireBefore(m_requests, limit);
    expireBefore(m_paidByRequests, limit);
    expireBefore(m_paidByPool, limit);
}

void SharedRetryBudget::recordRequest(Millis now)
{
    expire(now);
    m_requests.push_back(now);
}

void SharedRetryBudget::peerReported(Millis now, const MemberName &peer, std::uint32_t used)
{
    if (!m_peers.contains(peer)) {
        std::erase_if(m_peers, [now](const std::pair<const MemberName, PeerUse> &entry) {
            return now - entry.second.at > peerLifetime;
        });
    }
    m_peers[peer] = {now, used};
}

double SharedRetryBudget::usedByPeers(Millis now, std::size_t members, double pool) const
{
    const std::size_t others = members > 0 ? members - 1 : 0;
    std::size_t reporting = 0;
    double used = 0;
    for (const std::pair<const MemberName, PeerUse> &peer : m_peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        ++reporting;
        used += peer.second.used;
    }
    const std::size_t silent = others > reporting ? others - reporting : 0;
    const double equalShare = pool / static_cast<double>(std::max<std::size_t>(members, 1));
    return used + static_cast<double>(silent) * equalShare;
}

bool SharedRetryBudget::tryTake(Millis now, std::size_t members, RetryPurpose purpose)
{
    expire(now);
    const double paid =
        static_cast<double>(m_requests.size()) * m_retryLimit.retriesPerRequest * usedShareFraction;
    if (static_cast<double>(m_paidByRequests.size()) + 1 <= paid) {
        m_paidByRequests.push_back(now);
        return true;
    }
    const double usable = purpose == RetryPurpose::Rejected ? rejectedFraction : 1;
    const double pool = m_retryLimit.allowance * poolFraction * usable;
    const double used = static_cast<double>(m_paidByPool.size()) + usedByPeers(now, members, pool);
    if (used + 1 > pool)
        return false;
    m_paidByPool.push_back(now);
    return true;
}

std::uint32_t SharedRetryBudget::poolUsed(Millis now)
{
    expire(now);
    return static_cast<std::uint32_t>(m_paidByPool.size());
}

} // namespace fescue::serving
