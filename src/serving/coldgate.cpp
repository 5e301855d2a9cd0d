#include "fescue/serving/coldgate.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Processes to allow for, for each one that is known.
constexpr std::size_t unknownFactor = 2;

} // namespace

std::size_t ColdGate::part(double perSecond, std::size_t members) noexcept
{
    const std::size_t shares = std::max<std::size_t>(members, 1) * unknownFactor;
    return static_cast<std::size_t>(std::max(perSecond, 0.0) / static_cast<double>(shares));
}

bool ColdGate::wouldTake(Millis now, const EndpointName &endpoint, double perSecond,
                         std::size_t members) const
{
    const auto it = m_sent.find(endpoint);
    std::size_t recent = 0;
    if (it != m_sent.end()) {
        recent = static_cast<std::size_t>(std::count_if(
            it->second.begin(), it->second.end(), [now](Millis at) { return now - at < window; }));
    }
    return recent < part(perSecond, members);
}

bool ColdGate::tryTake(Millis now, const EndpointName &endpoint, double perSecond,
                       std::size_t members)
{
    if (!wouldTake(now, endpoint, perSecond, members))
        return false;
    std::deque<Millis> &sent = m_sent[endpoint];
    while (!sent.empty() && now - sent.front() >= window)
        sent.pop_front();
    sent.push_back(now);
    return true;
}

void ColdGate::purge(Millis now)
{
    std::erase_if(m_sent, [now](const std::pair<const EndpointName, std::deque<Millis>> &entry) {
        return entry.second.empty() || now - entry.second.back() >= window;
    });
}

} // namespace fescue::serving
