#include "fescue/serving/refusal.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Callers do not wait longer than this part of the time they have left; from the platform's page.
constexpr std::int64_t honouredPart = 3;
// Shortest delay: a place seldom becomes free sooner.
constexpr Millis shortestDelay {100};
// Longest delay: by then the load has usually changed.
constexpr Millis longestDelay {1500};

} // namespace

Millis returnDelay(Millis timeLeft, double uniform) noexcept
{
    const Millis limit = std::clamp(timeLeft / honouredPart, shortestDelay, longestDelay);
    const double span = static_cast<double>((limit - shortestDelay).count);
    return shortestDelay + Millis {static_cast<std::int64_t>(span * uniform)};
}

} // namespace fescue::serving
