#include "fescue/serving/generationrun.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// A generation is assumed to continue for at least its current length divided by this, even if it
// already exceeds its expected length.
constexpr std::uint64_t overrunDivisor = 4;

// Share of the remaining output that counts as reserved memory: the generations on one engine do
// not reach their ends at the same time.
constexpr std::uint64_t reservedPercent = 60;

} // namespace

std::uint64_t GenerationRun::producedTokens() const noexcept
{
    return (eventsBefore + events) * tokensPerEvent;
}

std::uint64_t GenerationRun::memoryTokens() const noexcept
{
    return promptTokens + producedTokens();
}

std::uint64_t GenerationRun::remainingTokens() const noexcept
{
    const std::uint64_t produced = producedTokens();
    const std::uint64_t overrun = produced / overrunDivisor;
    if (produced >= expectedOutputTokens)
        return overrun;
    return std::max<std::uint64_t>(expectedOutputTokens - produced, overrun);
}

std::uint64_t GenerationRun::reservedTokens() const noexcept
{
    return memoryTokens() + remainingTokens() * reservedPercent / 100;
}

MovingRun GenerationRun::movingRun(Millis engineEndsAt) const noexcept
{
    return {memoryTokens(), reservedTokens(), remainingTokens(), engineEndsAt};
}

void RunRegistry::remove(const GenerationRunPtr &run)
{
    const auto it = m_runs.find(run->requestId);
    if (it != m_runs.end() && it->second == run)
        m_runs.erase(it);
}

std::vector<GenerationRunPtr> RunRegistry::runsAt(const EndpointName &endpoint) const
{
    std::vector<GenerationRunPtr> runs;
    for (const std::pair<const std::string, GenerationRunPtr> &entry : m_runs) {
        if (entry.second->engine.name == endpoint)
            runs.push_back(entry.second);
    }
    return runs;
}

std::vector<EndpointRecord> RunRegistry::engines() const
{
    std::map<EndpointName, EndpointRecord> engines;
    for (const std::pair<const std::string, GenerationRunPtr> &entry : m_runs)
        engines.emplace(entry.second->engine.name, entry.second->engine);
    std::vector<EndpointRecord> records;
    records.reserve(engines.size());
    for (const std::pair<const EndpointName, EndpointRecord> &entry : engines)
        records.push_back(entry.second);
    return records;
}

std::vector<GenerationRunPtr> RunRegistry::runsWithCopyAt(const EndpointName &engine) const
{
    std::vector<GenerationRunPtr> runs;
    for (const std::pair<const std::string, GenerationRunPtr> &entry : m_runs) {
        const GenerationRun &run = *entry.second;
        const bool backedUp = run.backup && run.backup->name == engine;
        const bool copied = run.standbyEngine && run.standbyEngine->name == engine;
        if (backedUp || copied)
            runs.push_back(entry.second);
    }
    return runs;
}

std::set<EndpointName> RunRegistry::enginesWithCopiesIn(const ZoneName &zone) const
{
    std::set<EndpointName> engines;
    for (const std::pair<const std::string, GenerationRunPtr> &entry : m_runs) {
        for (const std::optional<EndpointRecord> *copy :
             {&entry.second->backup, &entry.second->standbyEngine}) {
            if (*copy && (*copy)->zone == zone)
                engines.insert((*copy)->name);
        }
    }
    return engines;
}

} // namespace fescue::serving
