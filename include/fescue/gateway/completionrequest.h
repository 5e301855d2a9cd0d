#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescue::gateway {

// A caller's request for a generation, checked.
struct CompletionRequest
{
    ServiceName model;
    std::string prompt;
    // 0 where the caller named no limit.
    std::uint32_t maxTokens = 0;
    bool stream = true;
};

// Reads the JSON body of POST /v1/completions. Fails with BadRequest and the field at fault.
[[nodiscard]] Result<CompletionRequest> parseCompletionRequest(std::string_view body);

// Length of a prompt in tokens, as the engines count it.
[[nodiscard]] std::uint32_t promptTokens(std::string_view prompt) noexcept;

// Hash of the first part of a prompt. Requests with equal hashes can share a prefix cache.
[[nodiscard]] std::uint64_t prefixHash(std::string_view prompt) noexcept;

} // namespace fescue::gateway
