#pragma once

#include "fescue/core/clock.h"

#include <cstdint>

namespace fescue {

struct BackoffLimits
{
    Millis first = 50_ms;
    Millis longest = 5_s;
};

// Exponential backoff with jitter. Each delay is drawn from the upper half of a span that doubles
// with every attempt, so that clients that failed together do not come back together.
class Backoff
{
public:
    explicit Backoff(BackoffLimits limits = {}) noexcept : m_limits(limits) { }

    // Returns the delay before the next attempt. `uniform` is a random number in [0, 1).
    [[nodiscard]] Millis next(double uniform) noexcept;

    // Starts over after a success.
    void reset() noexcept { m_attempts = 0; }

    [[nodiscard]] std::uint32_t attempts() const noexcept { return m_attempts; }

private:
    BackoffLimits m_limits;
    std::uint32_t m_attempts = 0;
};

} // namespace fescue
