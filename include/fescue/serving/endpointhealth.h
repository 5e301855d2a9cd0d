#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <map>

namespace fescue::serving {

// Recent failures of endpoints as the requests of this process met them. An endpoint's own health
// answer is not asked: endpoints that fail requests often say that they are well.
class EndpointHealth
{
public:
    // Weight of one outcome in the average.
    static constexpr double outcomeWeight = 0.15;
    // The average halves in this time without requests, so that avoided endpoints are tried again.
    static constexpr Millis halfLife {2500};
    // Above this failure rate an endpoint is used only where no other is left. Sound services fail
    // up to one request in seven by themselves.
    static constexpr double suspectRate = 0.3;

    void record(Millis now, const EndpointName &endpoint, bool succeeded);
    // Records that the endpoint does not answer at all: it is suspect at once.
    void recordSilent(Millis now, const EndpointName &endpoint);
    [[nodiscard]] double failureRate(Millis now, const EndpointName &endpoint) const;
    [[nodiscard]] bool isSuspect(Millis now, const EndpointName &endpoint) const;
    // Forgets endpoints without a recent failure.
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
