#pragma once

#include <cstddef>

namespace fescue::serving {

// What the kernel may hold for the connections of clients, and how many of them there may be.
struct ClientBuffers
{
    // Connections of callers at a time.
    std::size_t callers = 0;
    // Sizes of the receive buffers at the front and at the other addresses; the kernel's own choice
    // if 0.
    std::size_t frontBytes = 0;
    std::size_t sideBytes = 0;
    // Connections that may wait to be accepted at each address; the kernel's limit if 0.
    int backlog = 0;
};

// Divides the memory that the budget for bodies leaves. `callers` and `side` are the connections
// that the descriptors allow at the front and at each other address. Where memory is small, the
// buffers shrink to their smallest size, and then the number of callers' connections.
[[nodiscard]] ClientBuffers clientBuffers(std::size_t memoryBytes, std::size_t bodyBytes,
                                          std::size_t callers, std::size_t side) noexcept;

} // namespace fescue::serving
