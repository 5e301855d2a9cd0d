#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/serving/endpointlife.h"

#include <map>
#include <vector>

namespace fescue::serving {

// Times for which nothing is sent to an endpoint. A pause ends with its time or with the life of
// the endpoint that it was begun for.
class EndpointPauses
{
public:
    // Longer pauses count as this long; keeps the arithmetic on times within its range.
    static constexpr Millis longest {24LL * 60 * 60 * 1000};

    // Begins a pause for a life of an endpoint. A shorter pause does not
    // end one that is under way.
    void pause(Millis now, const EndpointName &endpoint, Incarnation incarnation, Millis span);
    // True where nothing may be sent to that life of the endpoint.
    [[nodiscard]] bool isPaused(Millis now, const EndpointName &endpoint,
                                Incarnation incarnation) const;
    // Time until the endpoint may be used; 0 where it may be now.
    [[nodiscard]] Millis remaining(Millis now, const EndpointName &endpoint,
                                   Incarnation incarnation) const;
    // All lives for which a pause is under way.
    [[nodiscard]] std::vector<EndpointLife> paused(Millis now) const;
    // Forgets pauses that have ended.
    void purge(Millis now);

private:
    struct Pause
    {
        Incarnation incarnation;
        Millis until {0};
    };

    std::map<EndpointName, Pause> m_pauses;
};

} // namespace fescue::serving
