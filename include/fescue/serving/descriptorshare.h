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

// Returns how many sockets a process may hold in all.
[[nodiscard]] std::size_t allConnections(std::size_t settingsLimit,
                                         std::size_t kernelLimit) noexcept;

// Returns the number of descriptors that the operating system lets this process open.
[[nodiscard]] std::size_t openFileLimit() noexcept;

} // namespace fescue::serving
