#include "fescue/serving/endpointpauses.h"

#include <algorithm>

namespace fescue::serving {

void EndpointPauses::pause(Millis now, const EndpointName &endpoint, Incarnation incarnation,
                           Millis span)
{
    const Millis until = now + std::clamp(span, Millis {0}, maxPause);
    Pause &pause = m_pauses[endpoint];
    const bool extends = pause.incarnation != incarnation || pause.until < until;
    if (extends)
        pause = {incarnation, until};
}

bool EndpointPauses::isPaused(Millis now, const EndpointName &endpoint,
                              Incarnation incarnation) const
{
    return remaining(now, endpoint, incarnation) > Millis {0};
}

Millis EndpointPauses::remaining(Millis now, const EndpointName &endpoint,
                                 Incarnation incarnation) const
{
    const auto it = m_pauses.find(endpoint);
    if (it == m_pauses.end() || it->second.incarnation != incarnation)
        return {0};
    return std::max(it->second.until - now, Millis {0});
}

std::vector<EndpointIncarnation> EndpointPauses::paused(Millis now) const
{
    std::vector<EndpointIncarnation> incarnations;
    for (const std::pair<const EndpointName, Pause> &entry : m_pauses) {
        if (entry.second.until > now)
            incarnations.push_back({entry.first, entry.second.incarnation});
    }
    return incarnations;
}

void EndpointPauses::purge(Millis now)
{
    std::erase_if(m_pauses, [now](const std::pair<const EndpointName, Pause> &entry) {
        return entry.second.until <= now;
    });
}

} // namespace fescue::serving
