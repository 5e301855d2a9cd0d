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

// Attributes of a request that admission depends on.
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

// Decision to send the request to the endpoint now. The request holds a reservation until it is
// reported as ended or returned.
struct Start
{
    RequestId id;
    EndpointName endpoint;
    // Incarnation for which the credit was granted; 0 if unknown.
    Incarnation incarnation;
    std::int32_t priority = 0;
};

// Decision to answer the request with an error. The request has not run; a retry after retryAfter
// may succeed.
struct Refuse
{
    RequestId id;
    ResultCode code = ResultCode::NoCapacity;
    Millis retryAfter {0};
};

using Decision = std::variant<Start, Refuse>;

} // namespace fescue
