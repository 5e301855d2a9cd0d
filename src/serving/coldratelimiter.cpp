#include "fescue/serving/coldratelimiter.h"

#include <algorithm>

namespace fescue::serving {

bool ColdRateLimiter::wouldTake(Millis now, const EndpointName &endpoint, std::size_t share) const
{
    const auto it = m_sent.find(endpoint);
    std::size_t recent = 0;
    if (it != m_sent.end()) {
        recent = static_cast<std::size_t>(std::count_if(
            it->second.begin(), it->second.end(), [now](Millis at) { return now - at < window; }));
    }
    return recent < share;
}

bool ColdRateLimiter::tryTake(Millis now, const EndpointName &endpoint, std::size_t share)
{
    if (!wouldTake(now, endpoint, share))
        return false;
    std::deque<Millis> &sent = m_sent[endpoint];
    while (!sent.empty() && now - sent.front() >= window)
        sent.pop_front();
    sent.push_back(now);
    return true;
}

void ColdRateLimiter::purge(Millis now)
{
    std::erase_if(m_sent, [now](const std::pair<const EndpointName, std::deque<Millis>> &entry) {
        return entry.second.empty() || now - entry.second.back() >= window;
    });
}

} // namespace fescue::serving
