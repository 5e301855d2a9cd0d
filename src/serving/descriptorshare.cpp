#include "fescue/serving/descriptorshare.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace fescue::serving {

namespace {

// Descriptors that the platform reserves for files.
constexpr std::size_t reservedForFiles = 200;
// Descriptors of this process that are no connections: logs, listeners, timers, event queues.
constexpr std::size_t ownDescriptors = 32;
// Of the others, callers may hold this part.
constexpr std::size_t callerPercent = 75;
// Sockets of this process that are not counted as connections, and room for its own calls.
constexpr std::size_t ownSockets = 16;
// The part that callers leave to connections to endpoints.
constexpr std::size_t beyondCallersPercent = 6;
// The part that each address may hold that forwards nothing.
constexpr std::size_t sidePercent = 5;
constexpr std::size_t minCallerConnections = 16;
// Used where no limit is known.
constexpr std::size_t maxCallerConnections = 20000;

std::size_t without(std::size_t limit, std::size_t reserved) noexcept
{
    return limit - std::min(limit, reserved);
}

std::size_t percentOf(std::size_t n, std::size_t percent) noexcept
{
    return n / 100 * percent + n % 100 * percent / 100;
}

std::size_t allConnections(std::size_t settingsLimit, std::size_t kernelLimit) noexcept
{
    const std::size_t connections = without(kernelLimit, ownDescriptors);
    return settingsLimit > 0 ? std::min(connections, without(settingsLimit, reservedForFiles))
                             : connections;
}

} // namespace

SocketLimits socketLimits(std::size_t settingsLimit, std::size_t kernelLimit) noexcept
{
    const std::size_t all = std::max(
        without(allConnections(settingsLimit, kernelLimit), ownSockets), minCallerConnections);
    return {all - percentOf(all, beyondCallersPercent), all};
}

std::size_t callerConnections(std::size_t settingsLimit, std::size_t kernelLimit) noexcept
{
    const std::size_t connections = allConnections(settingsLimit, kernelLimit);
    return std::clamp(percentOf(connections, callerPercent), minCallerConnections,
                      maxCallerConnections);
}

std::size_t sideConnections(std::size_t settingsLimit, std::size_t kernelLimit) noexcept
{
    const std::size_t connections = allConnections(settingsLimit, kernelLimit);
    return std::clamp(percentOf(connections, sidePercent), minCallerConnections,
                      maxCallerConnections);
}

std::size_t openFileLimit() noexcept
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace fescue::serving
