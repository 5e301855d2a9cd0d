#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/resultcode.h"

#include <cstdint>
#include <limits>
#include <variant>
#include <vector>

namespace fescue {

// Number of a request, unique within one entry.
struct RequestId
{
    std::uint64_t value = 0;
    auto operator<=>(const RequestId &) const noexcept = default;
};

constexpr Millis noDeadline {std::numeric_limits<std::int64_t>::max()};

// One request for a service, as far as admission needs to know it.
struct Request
{
    RequestId id;
    AccountName account;
    ServiceName service;
    // 0 for plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    // Hashes over the prompt from its start to the end of each block; may be empty.
    std::vector<std::uint64_t> prefixHashes;
    // Latest useful time to start the request.
    Millis deadline = noDeadline;
    std::int32_t priority = 0;
};

// Send the request to the endpoint now. It holds a reservation until it is reported as ended.
struct Start
{
    RequestId id;
    EndpointName endpoint;
    // Incarnation that the credit was granted for; 0 where it is not known.
    Incarnation incarnation;
    std::int32_t priority = 0;
};

// Answer the request with an error; it has not run. A later try may succeed after retryAfter.
struct Refuse
{
    RequestId id;
    ResultCode code = ResultCode::NoCapacity;
    Millis retryAfter {0};
};

using Decision = std::variant<Start, Refuse>;

} // namespace fescue
