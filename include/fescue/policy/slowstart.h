#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/policy/credit.h"

#include <cstdint>

namespace fescue {

struct SlowStartSettings
{
    std::uint32_t coldSlots = 2;
    std::uint32_t fullSlots = 16;
    // Number of tokens that a cold endpoint must produce for each further slot.
    std::uint64_t tokensPerSlot = 300;
    // Number of calls that an endpoint of a plain service must finish for each further slot.
    std::uint64_t callsPerSlot = 8;
    // A time to first token this many times above the mean indicates a cold endpoint.
    std::int64_t slowFirstTokenFactor = 5;
};

// Limit on the number of requests that one endpoint may run. It starts at the cold limit and grows
// with the work that the endpoint completes. It returns to the cold limit on a new incarnation, on
// return to service, and when the load reports indicate that the endpoint has become cold.
class SlowStart
{
public:
    explicit SlowStart(SlowStartSettings settings) noexcept : m_settings(settings) { }

    // Resets the limit to the cold limit.
    void reset() noexcept;
    // Applies changed limits. A warm endpoint remains warm.
    void setLimits(std::uint32_t coldSlots, std::uint32_t fullSlots) noexcept;
    // Applies a load report. Returns true if it caused a reset.
    bool observeReport(const LoadReport &report) noexcept;
    // Applies an incarnation seen in any message. Returns true if it caused a reset.
    bool observeIncarnation(Incarnation incarnation) noexcept;
    // Counts calls that a plain service has finished.
    void callsFinished(std::uint64_t n) noexcept;

    [[nodiscard]] std::uint32_t limit() const noexcept;
    [[nodiscard]] bool isWarm() const noexcept { return limit() >= m_settings.fullSlots; }
    [[nodiscard]] Incarnation incarnation() const noexcept { return m_incarnation; }

private:
    [[nodiscard]] bool isSlow(const LoadReport &report) const noexcept;

    SlowStartSettings m_settings;
    Incarnation m_incarnation;
    // Slots gained since the last reset.
    std::uint64_t m_extraSlots = 0;
    std::uint64_t m_calls = 0;
    // Reported token total at the first report after the last reset; valid only if m_hasBaseTokens
    // is set.
    std::uint64_t m_baseTokens = 0;
    bool m_hasBaseTokens = false;
    bool m_reportedCold = false;
    Millis m_meanFirstToken {0};
};

} // namespace fescue
