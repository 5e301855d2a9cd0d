#pragma once

#include "fescue/core/clock.h"

#include <cstdint>

namespace fescue::serving {

// Why a request is refused, as far as the delay of its retry depends on it.
enum class RefusalCause : std::uint8_t
{
    // A short-lived condition: an endpoint shed the request, or an entry shuts down.
    Transient,
    // All endpoints are full; capacity becomes free as running requests end.
    Full,
};

// Shortest time after which a refused caller is asked to come back: capacity seldom becomes free
// sooner.
inline constexpr Millis minReturnDelay {100};

// Times within which a refused caller should come back.
struct ReturnSpan
{
    Millis earliest {0};
    Millis latest {0};
};

// Returns the span for a caller with `timeLeft` until its deadline: no longer than the caller
// accepts.
[[nodiscard]] ReturnSpan returnSpan(RefusalCause cause, Millis timeLeft) noexcept;

// Returns the delay after which a refused caller should retry: short enough for the retry to be
// served within `timeLeft`, with jitter so that callers that were refused at the same time do not
// retry at the same time. `uniform` is a random number in [0, 1).
[[nodiscard]] Millis retryDelay(RefusalCause cause, Millis timeLeft, double uniform) noexcept;

} // namespace fescue::serving
