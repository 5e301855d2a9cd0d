#include "fescue/serving/refusal.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Callers do not wait longer than this part of the time they have left; from the platform's page.
constexpr std::int64_t honouredPart = 3;
// Shortest delay: a place seldom becomes free sooner.
constexpr Millis shortestDelay {100};
// Longest delay after a cause that passes.
constexpr Millis longestPassing {1500};
// Longest delay where all endpoints are full: most of the time that a long generation runs.
constexpr Millis longestFull {6000};
// Where all are full, nobody is asked back before this part of the longest delay.
constexpr std::int64_t fullPart = 4;

} // namespace

Millis returnDelay(RefusalCause cause, Millis timeLeft, double uniform) noexcept
{
    const bool full = cause == RefusalCause::Full;
    const Millis longest = full ? longestFull : longestPassing;
    const Millis limit = std::clamp(timeLeft / honouredPart, shortestDelay, longest);
    const Millis earliest = full ? std::max(shortestDelay, limit / fullPart) : shortestDelay;
    const double span = static_cast<double>((limit - earliest).count);
    return earliest + Millis {static_cast<std::int64_t>(span * uniform)};
}

} // namespace fescue::serving
