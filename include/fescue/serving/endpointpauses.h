#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/serving/endpointincarnation.h"

#include <map>
#include <vector>

namespace fescue::serving {

// Pauses in which no requests are sent to an endpoint. A pause ends when its time has passed or
// when the endpoint restarts.
class EndpointPauses
{
public:
    // Longer pauses are cut to this length, which keeps time arithmetic from overflowing.
    static constexpr Millis maxPause {24LL * 60 * 60 * 1000};

    // Begins a pause for an incarnation of an endpoint. Has no effect if a pause that ends later is
    // in force for the same incarnation.
    void pause(Millis now, const EndpointName &endpoint, Incarnation incarnation, Millis span);
    // Returns true if a pause is in force for that incarnation of the endpoint.
    [[nodiscard]] bool isPaused(Millis now, const EndpointName &endpoint,
                                Incarnation incarnation) const;
    // Returns the time until the endpoint may be used; 0 if it may be used now.
    [[nodiscard]] Millis remaining(Millis now, const EndpointName &endpoint,
                                   Incarnation incarnation) const;
    // Returns all endpoint incarnations for which a pause is in force.
    [[nodiscard]] std::vector<EndpointIncarnation> paused(Millis now) const;
    // Removes pauses that have ended.
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
