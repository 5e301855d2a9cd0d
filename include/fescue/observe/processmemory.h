#pragma once

#include <cstdint>
#include <string_view>

namespace fescue::observe {

// Memory of a process, as the system counts it against its limit.
struct ProcessMemory
{
    std::uint64_t residentKilobytes = 0;
    std::uint64_t peakKilobytes = 0;
};

// Reads the text of the system's status file of a process. What is missing there counts as 0.
[[nodiscard]] ProcessMemory parseProcessMemory(std::string_view status);

// Returns the memory of this process; 0 where the system does not tell it.
[[nodiscard]] ProcessMemory processMemory();

} // namespace fescue::observe
