#include "fescue/serving/enginepace.h"

#include <algorithm>
#include <utility>

namespace fescue::serving {

namespace {

// Number of events in one observation below which chance dominates its pace.
constexpr std::uint64_t minEvents = 8;
// Weight of a new observation in an engine's pace.
constexpr double observationWeight = 0.4;
// Limits of the result: a stalled generation says little about the engine's speed.
constexpr double minSlowness = 0.4;
constexpr double maxSlowness = 2.5;

} // namespace

std::vector<EndpointLoadEntry> ProgressSampler::sample(Millis now,
                                                       std::span<const RunProgress> runs)
{
    std::map<std::string, Sample> current;
    std::map<EndpointName, EndpointLoad> progress;
    for (const RunProgress &run : runs) {
        current[run.requestId] = {run.engine, run.events, now};
        const auto it = m_last.find(run.requestId);
        const bool comparable = it != m_last.end() && it->second.engine == run.engine
            && it->second.events > 0 && run.events > it->second.events;
        if (!comparable)
            continue;
        EndpointLoad &load = progress[run.engine];
        load.progressEvents += run.events - it->second.events;
        load.progressMillis += static_cast<std::uint64_t>((now - it->second.at).count);
    }
    m_last = std::move(current);
    std::vector<EndpointLoadEntry> entries;
    entries.reserve(progress.size());
    for (const std::pair<const EndpointName, EndpointLoad> &entry : progress)
        entries.push_back({entry.first, entry.second});
    return entries;
}

void EnginePace::observe(Millis now, const EndpointName &engine, const EndpointLoad &load)
{
    if (load.progressEvents < minEvents)
        return;
    const double gap =
        static_cast<double>(load.progressMillis) / static_cast<double>(load.progressEvents);
    Pace &pace = m_paces[engine];
    pace.gap = pace.gap > 0 ? pace.gap + observationWeight * (gap - pace.gap) : gap;
    pace.at = now;
}

double EnginePace::slowness(Millis now, const EndpointName &engine) const
{
    const auto it = m_paces.find(engine);
    if (it == m_paces.end() || m_meanGap <= 0 || now - it->second.at > retention)
        return 1;
    return std::clamp(it->second.gap / m_meanGap, minSlowness, maxSlowness);
}

void EnginePace::purge(Millis now)
{
    std::erase_if(m_paces, [now](const std::pair<const EndpointName, Pace> &entry) {
        return now - entry.second.at > retention;
    });
    double sum = 0;
    for (const std::pair<const EndpointName, Pace> &entry : m_paces)
        sum += entry.second.gap;
    m_meanGap = m_paces.empty() ? 0 : sum / static_cast<double>(m_paces.size());
}

} // namespace fescue::serving
