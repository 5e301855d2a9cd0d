#pragma once

#include <cstddef>

namespace fescue::serving {

// Percentage of the process' memory that bodies of requests and of answers may take together.
inline constexpr std::size_t bodyMemoryPercent = 50;

// Returns the memory for bodies of a process with the memory.
[[nodiscard]] constexpr std::size_t bodyMemory(std::size_t memoryBytes) noexcept
{
    return memoryBytes / 100 * bodyMemoryPercent;
}

} // namespace fescue::serving
