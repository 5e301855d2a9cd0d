#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"
#include "fescue/net/httptypes.h"

#include <optional>
#include <string>

namespace fescue::gateway {

// Final answer to a request that did not succeed, in the shape of RFC 9457.
struct Problem
{
    ResultCode code = ResultCode::Internal;
    RunState run = RunState::NotRun;
    // One sentence on what happened and what the caller can do.
    std::string detail;
    // When a new try is worth making; absent where no later try can help.
    std::optional<Millis> retryAfter = std::nullopt;
};

// HTTP status that belongs to a result code; docs/ERRORS.md lists the same numbers.
[[nodiscard]] int httpStatus(ResultCode code) noexcept;

// The JSON object of a problem: type, title, status, detail, code, run and retry_after_ms.
[[nodiscard]] std::string toJson(const Problem &problem);

// The whole answer, with Retry-After in seconds, rounded up, where a later try may help.
[[nodiscard]] net::HttpResponse toResponse(const Problem &problem);

// The problem as a server-sent event, for a stream whose head has already been sent.
[[nodiscard]] std::string toEvent(const Problem &problem);

} // namespace fescue::gateway
