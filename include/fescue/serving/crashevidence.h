#pragma once

#include "fescue/serving/crashreport.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace fescue::serving {

// Relates crashes of engines to the prompt parts of the requests that had not started there.
//
// An engine takes all its requests with it, so most parts in a report are sound. What distinguishes
// the cause is that no request with it starts on any engine: a start of a request clears all its
// parts of the crashes known so far. The parts are the cause of crashes if they are left in enough
// of them. Memory is bounded: only confirmed crashes are recorded, the oldest ones are dropped.
class CrashEvidence
{
public:
    // Crashes after which a part is considered their cause.
    static constexpr std::size_t decisiveCrashes = 3;
    // Crashes closer together than this count as one: a failure of many engines at once has
    // another cause.
    static constexpr Millis minSpacing = 250_ms;
    // Time for the reports of other processes on the same crash to arrive.
    static constexpr Millis settleTime = 200_ms;
    // Crashes are considered for this long.
    static constexpr Millis lifetime = 900_s;
    static constexpr std::size_t maxCrashes = 64;
    static constexpr std::size_t maxPartsPerCrash = 512;
    // Number of parts whose last start is remembered.
    static constexpr std::size_t maxStarts = 2048;

    // Parts that were lost in the same crashes, sorted, and these crashes.
    struct Cause
    {
        std::vector<PartId> parts;
        // Number of crashes, without those that are too close to another one.
        std::uint32_t crashes = 0;
        Millis lastCrashAt {0};
    };

    // Records a report. Returns the parts that were not known to be lost in that crash.
    std::vector<PartId> add(Millis now, const CrashReport &report);
    // Records that a request with these parts has started. Returns the parts that were suspected.
    std::vector<PartId> recordStart(Millis now, std::span<const PartId> parts);
    // Removes a part from the suspects of all crashes known so far. Returns false if it was none.
    bool clear(PartId part);
    // Returns true if a request with the part is known to have started after a point in time.
    [[nodiscard]] bool startedSince(Millis time, PartId part) const;
    // Returns true if a part is suspected of a crash.
    [[nodiscard]] bool isSuspect(PartId part) const;

    // Returns the cause of the crashes that are not explained, or nullopt if the evidence does not
    // suffice. `isExplained` is called with the suspected parts of a crash, sorted.
    template <typename F>
    [[nodiscard]] std::optional<Cause> findCause(Millis now, F isExplained)
    {
        expire(now);
        std::map<PartId, Losses> losses;
        for (std::size_t n = 0; n < m_crashes.size(); ++n) {
            const Crash &crash = m_crashes[n];
            const std::vector<PartId> suspects = crash.suspects();
            if (now - crash.reportedAt >= settleTime && !isExplained(suspects))
                count(n, crash.at, suspects, losses);
        }
        return strongest(losses);
    }

private:
    struct Crash
    {
        EndpointIncarnation engine;
        Millis at {0};
        Millis reportedAt {0};
        // False for parts that have been cleared by a start.
        std::map<PartId, bool> parts;

        [[nodiscard]] std::vector<PartId> suspects() const;
    };

    // Unexplained crashes in which a part was lost.
    struct Losses
    {
        std::bitset<maxCrashes> crashes;
        // Number of them, without those that are too close to another one.
        std::uint32_t spaced = 0;
        Millis lastSpacedAt {0};
        Millis lastAt {0};
    };

    void expire(Millis now);
    static void count(std::size_t crash, Millis at, std::span<const PartId> suspects,
                      std::map<PartId, Losses> &losses);
    [[nodiscard]] static std::optional<Cause> strongest(const std::map<PartId, Losses> &losses);

    // In the order of their times.
    std::deque<Crash> m_crashes;
    std::map<PartId, Millis> m_startedAt;
    // Starts in their order; entries that m_startedAt has a later time for are outdated.
    std::deque<std::pair<Millis, PartId>> m_startOrder;
};

} // namespace fescue::serving
