#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <map>

namespace fescue::serving {

// Endpoints that turned a request away and named a time for which they want nothing from this
// process. A pause ends with its time or with the life of the endpoint that asked for it, and
// concerns this process only.
class EndpointPauses
{
public:
    // Longer pauses count as this long; keeps the arithmetic on times within its range.
    static constexpr Millis longest {24LL * 60 * 60 * 1000};

    // Records that a life of an endpoint asked for a pause from now on. A shorter pause does not
    // end one that is under way.
    void pause(Millis now, const EndpointName &endpoint, Incarnation incarnation, Millis span);
    // True where nothing may be sent to that life of the endpoint.
    [[nodiscard]] bool isPaused(Millis now, const EndpointName &endpoint,
                                Incarnation incarnation) const;
    // Time until the endpoint may be used; 0 where it may be now.
    [[nodiscard]] Millis remaining(Millis now, const EndpointName &endpoint,
                                   Incarnation incarnation) const;
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
