#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <map>

namespace fescue::serving {

// Recent failure rates of endpoints, measured on the requests of this process. Health checks are
// not used: endpoints that fail requests often pass them.
class EndpointHealth
{
public:
    // Weight of one outcome in the exponential moving average.
    static constexpr double outcomeWeight = 0.15;
    // The average halves in this time without requests, so that suspect endpoints are tried again.
    static constexpr Millis halfLife {2500};
    // Above this failure rate an endpoint is used only if no other is available. Healthy services
    // fail up to one request in seven.
    static constexpr double suspectRate = 0.3;

    void record(Millis now, const EndpointName &endpoint, bool succeeded);
    // Records that the endpoint does not answer at all, which makes it suspect at once.
    void recordUnresponsive(Millis now, const EndpointName &endpoint);
    [[nodiscard]] double failureRate(Millis now, const EndpointName &endpoint) const;
    [[nodiscard]] bool isSuspect(Millis now, const EndpointName &endpoint) const;
    // Removes the records of endpoints without a recent failure.
    void purge(Millis now);

private:
    struct Average
    {
        double rate = 0;
        Millis at {0};
    };

    [[nodiscard]] static double decayed(const Average &average, Millis now);

    std::map<EndpointName, Average> m_averages;
};

} // namespace fescue::serving
