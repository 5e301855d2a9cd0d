#include "fescue/serving/endpointhealth.h"

#include <algorithm>
#include <cmath>

namespace fescue::serving {

namespace {

// Averages below this failure rate are removed.
constexpr double removalThreshold = 0.01;

} // namespace

double EndpointHealth::decayed(const Average &average, Millis now)
{
    const double halvings =
        static_cast<double>((now - average.at).count) / static_cast<double>(halfLife.count);
    return average.rate * std::exp2(-std::max(halvings, 0.0));
}

void EndpointHealth::record(Millis now, const EndpointName &endpoint, bool succeeded)
{
    const auto it = m_averages.find(endpoint);
    if (succeeded && it == m_averages.end())
        return;
    Average &average = m_averages[endpoint];
    const double outcome = succeeded ? 0 : 1;
    average.rate = decayed(average, now) * (1 - outcomeWeight) + outcome * outcomeWeight;
    average.at = now;
}

void EndpointHealth::recordUnresponsive(Millis now, const EndpointName &endpoint)
{
    m_averages[endpoint] = {1.0, now};
}

double EndpointHealth::failureRate(Millis now, const EndpointName &endpoint) const
{
    const auto it = m_averages.find(endpoint);
    return it == m_averages.end() ? 0 : decayed(it->second, now);
}

bool EndpointHealth::isSuspect(Millis now, const EndpointName &endpoint) const
{
    return failureRate(now, endpoint) > suspectRate;
}

void EndpointHealth::purge(Millis now)
{
    std::erase_if(m_averages, [now](const std::pair<const EndpointName, Average> &entry) {
        return decayed(entry.second, now) < removalThreshold;
    });
}

} // namespace fescue::serving
