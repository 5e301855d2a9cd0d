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
    // Tokens that a cold endpoint has to produce for each further slot.
    std::uint64_t tokensPerSlot = 300;
    // Plain services: finished calls for each further slot.
    std::uint64_t callsPerSlot = 8;
    // First tokens this many times slower than usual are a sign of a cold endpoint.
    std::int64_t slowFirstTokenFactor = 5;
};

// Number of requests that one endpoint may run. Starts at the cold limit and grows with the work
// that the endpoint completes; falls back to the cold limit on a new incarnation, on return to
// service, and when the endpoint shows signs of having become cold.
class SlowStart
{
public:
    explicit SlowStart(SlowStartSettings settings) noexcept : m_settings(settings) { }

    // Falls back to the cold limit.
    void reset() noexcept;
    // Applies changed limits; a warm endpoint stays warm.
    void setLimits(std::uint32_t coldSlots, std::uint32_t fullSlots) noexcept;
    // Takes in a load report. Returns true where it caused a reset.
    bool observeReport(const LoadReport &report) noexcept;
    // Takes in an incarnation seen by any means. Returns true where it caused a reset.
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
    std::uint64_t m_gained = 0;
    std::uint64_t m_calls = 0;
    // Reported token total at the last reset; meaningful where m_hasBase.
    std::uint64_t m_baseTokens = 0;
    bool m_hasBase = false;
    bool m_reportedCold = false;
    Millis m_usualFirstToken {0};
};

} // namespace fescue
