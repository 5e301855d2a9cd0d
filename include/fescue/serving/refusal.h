#pragma once

#include "fescue/core/clock.h"

#include <cstdint>

namespace fescue::serving {

// Why a request is refused.
enum class RefusalCause : std::uint8_t
{
    // Something that passes soon: an endpoint that shed the request, an entry that shuts down.
    Passing,
    // All endpoints are full: room comes as running requests end.
    Full,
};

// Returns when a refused caller should come back: soon enough for its request to be served within
// the time that it has, and spread over a span so that callers that were refused together do not
// return together. `uniform` is a random number in [0, 1).
[[nodiscard]] Millis returnDelay(RefusalCause cause, Millis timeLeft, double uniform) noexcept;

} // namespace fescue::serving
