#include "fescue/serving/clientbuffers.h"

#include <algorithm>

namespace fescue::serving {

namespace {

constexpr std::size_t kilobyte = 1024;
// Memory of a process without clients.
constexpr std::size_t ownBytes = 8 * kilobyte * kilobyte;
// Memory that a connection takes in the process while its request is served: stacks, buffers and
// the connection to an endpoint.
constexpr std::size_t connectionBytes = 18 * kilobyte;
// A usual head arrives in one round trip with the smallest buffer at the front, and a query or a
// check with the one at the other addresses.
constexpr std::size_t minFrontBytes = 8 * kilobyte;
constexpr std::size_t sideBytes = 2 * kilobyte;
// A larger buffer than this would be no smaller than the kernel's own choice.
constexpr std::size_t maxFrontBytes = 64 * kilobyte;
constexpr std::size_t sideAddresses = 4;
// The part of the memory that connections at the other addresses may take from callers.
constexpr std::size_t maxSideDivisor = 3;
constexpr std::size_t backlog = 512;
constexpr std::size_t minCallers = 16;

// The kernel takes up to this many bytes for a receive buffer of a size.
std::size_t heldIn(std::size_t bufferBytes) noexcept
{
    return bufferBytes + bufferBytes / 2;
}

std::size_t without(std::size_t n, std::size_t taken) noexcept
{
    return n - std::min(n, taken);
}

} // namespace

ClientBuffers clientBuffers(std::size_t memoryBytes, std::size_t bodyBytes, std::size_t callers,
                            std::size_t side) noexcept
{
    const std::size_t left = without(memoryBytes, bodyBytes + ownBytes);
    // With the kernel's own buffers, each connection may hold twice the largest size.
    const std::size_t all = callers + backlog + sideAddresses * (side + backlog);
    if (left / (2 * maxFrontBytes + connectionBytes) >= all)
        return {callers, 0, 0, 0};
    // Where descriptors allow more connections at the other addresses than memory does, callers
    // come first.
    const std::size_t forSides = std::min(
        sideAddresses * (side * connectionBytes / 2 + backlog * sideBytes), left / maxSideDivisor);
    const std::size_t forFront = left - forSides;
    const std::size_t perCaller =
        without(forFront, callers * connectionBytes) / (callers + backlog);
    const std::size_t frontBytes =
        std::clamp(perCaller * 2 / 3, minFrontBytes, maxFrontBytes) / kilobyte * kilobyte;
    const std::size_t fitting =
        without(forFront, backlog * heldIn(frontBytes)) / (connectionBytes + heldIn(frontBytes));
    return {std::clamp(fitting, std::min(minCallers, callers), callers), frontBytes, sideBytes,
            static_cast<int>(backlog)};
}

} // namespace fescue::serving
