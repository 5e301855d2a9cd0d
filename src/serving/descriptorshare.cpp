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
constexpr std::size_t minCallerConnections = 16;
// Used where no limit is known.
constexpr std::size_t maxCallerConnections = 20000;

std::size_t without(std::size_t limit, std::size_t reserved) noexcept
{
    return limit - std::min(limit, reserved);
}

} // namespace

std::size_t callerConnections(std::size_t settingsLimit, std::size_t kernelLimit) noexcept
{
    std::size_t connections = without(kernelLimit, ownDescriptors);
    if (settingsLimit > 0)
        connections = std::min(connections, without(settingsLimit, reservedForFiles));
    const std::size_t share =
        connections / 100 * callerPercent + connections % 100 * callerPercent / 100;
    return std::clamp(share, minCallerConnections, maxCallerConnections);
}

std::size_t openFileLimit() noexcept
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace fescue::serving
