#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/serving/loadledger.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace fescue::serving {

// How far a generation has come.
struct RunProgress
{
    std::string requestId;
    EndpointName engine;
    std::uint64_t events = 0;
};

// Derives the progress of generations per engine from periodic samples.
class ProgressSampler
{
public:
    // Returns for each engine how many events the generations have produced there since the last
    // sample, and how long that took. Generations without an event, and those that have just
    // changed engines, are left out.
    [[nodiscard]] std::vector<EndpointLoadEntry> sample(Millis now,
                                                        std::span<const RunProgress> runs);

private:
    struct Sample
    {
        EndpointName engine;
        std::uint64_t events = 0;
        Millis at {0};
    };

    std::map<std::string, Sample> m_last;
};

// Learns how fast each engine works in comparison with the others, from the time between the events
// of its generations: engines of one service differ in speed, and do not say so.
class EnginePace
{
public:
    // A pace counts for this long after its last observation. Long enough that a slow engine is not
    // taken for an average one as soon as its last generation ends.
    static constexpr Millis retention {8000};

    // Records the recent progress on an engine, as all processes together report it.
    void observe(Millis now, const EndpointName &engine, const EndpointLoad &load);
    // Returns the time that an engine takes for its work, as a multiple of the mean of all engines;
    // 1 if it is not known.
    [[nodiscard]] double slowness(Millis now, const EndpointName &engine) const;
    // Removes outdated paces.
    void purge(Millis now);

private:
    struct Pace
    {
        // Time between two events, in milliseconds.
        double gap = 0;
        Millis at {0};
    };

    std::map<EndpointName, Pace> m_paces;
    // Mean of all gaps, in milliseconds; 0 if none is known.
    double m_meanGap = 0;
};

} // namespace fescue::serving
