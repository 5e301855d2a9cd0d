#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"
#include "fescue/net/httptypes.h"

#include <string>
#include <string_view>

namespace fescue::gateway {

// HTTP status that belongs to a result code; docs/ERRORS.md lists the same numbers.
[[nodiscard]] int httpStatus(ResultCode code) noexcept;

// Makes a problem that no later try can cure.
[[nodiscard]] net::Problem makeProblem(ResultCode code, RunState run, std::string detail);

// Makes a problem with the time after which another try is worth making. A time of zero means
// that no later try helps.
[[nodiscard]] net::Problem makeProblem(ResultCode code, RunState run, std::string detail,
                                       Millis retryAfter);

// One sentence for callers on what a code means.
[[nodiscard]] std::string_view describe(ResultCode code) noexcept;

// The problem as a server-sent event, for a stream whose head has already been sent.
[[nodiscard]] std::string toEvent(const net::Problem &problem);

} // namespace fescue::gateway
