#pragma once

#include <cstddef>

namespace fescue::serving {

// Returns how many connections of callers a process may hold, so that descriptors are left for
// connections to endpoints, to the store and to peers. `settingsLimit` is the limit of the
// platform, 0 if it is not known; `kernelLimit` is that of the operating system.
[[nodiscard]] std::size_t callerConnections(std::size_t settingsLimit,
                                            std::size_t kernelLimit) noexcept;

// Returns how many connections each of the addresses may hold that forward nothing.
[[nodiscard]] std::size_t sideConnections(std::size_t settingsLimit,
                                          std::size_t kernelLimit) noexcept;

// How many connections a process may hold in all, at different uses.
struct SocketLimits
{
    // At this number callers wait until others end.
    std::size_t callers = 0;
    // At this number the addresses that forward nothing accept no more, and requests that need a
    // connection to an endpoint are refused.
    std::size_t all = 0;
};

[[nodiscard]] SocketLimits socketLimits(std::size_t settingsLimit,
                                        std::size_t kernelLimit) noexcept;

// Returns the number of descriptors that the operating system lets this process open.
[[nodiscard]] std::size_t openFileLimit() noexcept;

} // namespace fescue::serving
