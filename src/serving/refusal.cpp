#include "fescue/serving/refusal.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Callers ignore delays longer than the time they have left divided by this; from the platform's
// page.
constexpr std::int64_t acceptedDelayDivisor = 3;
// Minimum delay: capacity seldom becomes free sooner.
constexpr Millis minDelay {100};
// Maximum delay for RefusalCause::Transient.
constexpr Millis maxPassingDelay {1500};
// Maximum delay if all endpoints are full: most of the running time of a long generation.
constexpr Millis maxFullDelay {6000};
// If all endpoints are full, the minimum delay is the maximum one divided by this.
constexpr std::int64_t fullMinDelayDivisor = 4;

} // namespace

Millis retryDelay(RefusalCause cause, Millis timeLeft, double uniform) noexcept
{
    const bool full = cause == RefusalCause::Full;
    const Millis longest = full ? maxFullDelay : maxPassingDelay;
    const Millis limit = std::clamp(timeLeft / acceptedDelayDivisor, minDelay, longest);
    const Millis earliest = full ? std::max(minDelay, limit / fullMinDelayDivisor) : minDelay;
    const double span = static_cast<double>((limit - earliest).count);
    return earliest + Millis {static_cast<std::int64_t>(span * uniform)};
}

} // namespace fescue::serving
