#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"
#include "fescue/policy/credit.h"

#include <string_view>

namespace fescue::admission {

// Reads the body of an endpoint's GET /v1/load, of a model engine or a plain service. `elapsed` is
// the time between the request and the answer; the figures may be that much older than they say.
// Fails with BackEndProtocol.
[[nodiscard]] Result<LoadReport> parseLoadReport(std::string_view body, Millis elapsed);

} // namespace fescue::admission
