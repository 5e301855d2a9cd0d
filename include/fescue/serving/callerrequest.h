#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescue::serving {

// A part of a prompt that requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

// What a request for a generation says of its size.
struct GenerationSize
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    // The caller's own guess of the output; right at the median, often far off.
    std::optional<std::uint32_t> expectedOutputTokens;
    std::vector<PromptPart> parts;
    bool operator==(const GenerationSize &) const = default;
};

// The fields of a caller's request that decide how it is treated.
struct CallerRequest
{
    // Names one try of the caller; each try has its own.
    std::string requestId;
    std::string host;
    // Key of a client account; empty where none was shown.
    std::string accountKey;
    // How long the caller waits, from the arrival of the request.
    std::optional<Millis> patience;
    std::optional<GenerationSize> generation;
};

} // namespace fescue::serving
