#include "fescue/serving/refusal.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Callers ignore delays longer than the time they have left divided by this; from the platform's
// page.
constexpr std::int64_t acceptedDelayDivisor = 3;
// Maximum delay for RefusalCause::Transient.
constexpr Millis maxPassingDelay {1500};
// Maximum delay if all endpoints are full: most of the running time of a long generation.
constexpr Millis maxFullDelay {6000};
// If all endpoints are full, the minimum delay is the maximum one divided by this.
constexpr std::int64_t fullMinDelayDivisor = 4;

} // namespace

ReturnSpan returnSpan(RefusalCause cause, Millis timeLeft) noexcept
{
    const Millis longest = cause == RefusalCause::Full ? maxFullDelay : maxPassingDelay;
    return {minReturnDelay, std::clamp(timeLeft / acceptedDelayDivisor, minReturnDelay, longest)};
}

Millis retryDelay(RefusalCause cause, Millis timeLeft, double uniform) noexcept
{
    const Millis limit = returnSpan(cause, timeLeft).latest;
    const bool full = cause == RefusalCause::Full;
    const Millis earliest =
        full ? std::max(minReturnDelay, limit / fullMinDelayDivisor) : minReturnDelay;
    const double span = static_cast<double>((limit - earliest).count);
    return earliest + Millis {static_cast<std::int64_t>(span * uniform)};
}

} // namespace fescue::serving
