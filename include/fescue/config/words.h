#pragma once

#include "fescue/core/snapshot.h"

#include <string_view>

namespace fescue {

// The words for enumerations in service files, in the snapshot text and in differences.

// Returns "model" or "plain".
[[nodiscard]] constexpr std::string_view toWord(ServiceKind kind) noexcept
{
    return kind == ServiceKind::Model ? "model" : "plain";
}

// Returns "finish" or "latency".
[[nodiscard]] constexpr std::string_view toWord(Profile profile) noexcept
{
    return profile == Profile::Finish ? "finish" : "latency";
}

// Returns "checks" or "ignores".
[[nodiscard]] constexpr std::string_view toWord(FencingSupport fencing) noexcept
{
    return fencing == FencingSupport::Checks ? "checks" : "ignores";
}

} // namespace fescue
