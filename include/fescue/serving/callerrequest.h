#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescue::serving {

// Part of a prompt that several requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

// Size of a generation as its request states it.
struct GenerationSize
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    // The caller's estimate of the output length; right at the median, often far off.
    std::optional<std::uint32_t> expectedOutputTokens;
    bool operator==(const GenerationSize &) const = default;
};

// The fields of a caller's request that decide how it is treated.
struct CallerRequest
{
    // Identifies one attempt of the caller; each attempt has its own id.
    std::string requestId;
    std::string host;
    // Key of a client account; empty if the request has none.
    std::string accountKey;
    // Time that the caller waits, counted from the arrival of the request.
    std::optional<Millis> patience;
    std::optional<GenerationSize> generation;
    // Id of the last event that the caller has of this stream, as sent; empty if it has none.
    std::string lastEventId;
    // Parts of the prompt in their order; the last one belongs to this request or its session.
    std::vector<PromptPart> promptParts;
};

} // namespace fescue::serving
