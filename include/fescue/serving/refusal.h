#pragma once

#include "fescue/core/clock.h"

namespace fescue::serving {

// Returns when a refused caller should come back: soon enough for its request to be served within
// the time that it has, and spread over a span so that callers that were refused together do not
// return together. `uniform` is a random number in [0, 1).
[[nodiscard]] Millis returnDelay(Millis timeLeft, double uniform) noexcept;

} // namespace fescue::serving
