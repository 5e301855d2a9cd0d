#pragma once

#include "fescue/serving/servingconfig.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fescue::serving {

// An entry of a readable configuration that is probably a mistake.
struct ConfigFinding
{
    // The entry, as in "route reads".
    std::string entry;
    std::string message;
    bool operator==(const ConfigFinding &) const = default;
};

// Finds entries that can never match or are never used, and limits that contradict each other.
// `memoryBytes` is the memory of the smallest process, 0 if it is not known. Processes make the
// same check when a configuration comes into force. Keys of accounts are not quoted.
[[nodiscard]] std::vector<ConfigFinding> checkConfig(const ServingConfig &config,
                                                     std::size_t memoryBytes);

// Returns what a new version changes, one sentence for each entry, and nothing if it changes
// nothing. Keys of accounts are counted and not quoted.
[[nodiscard]] std::vector<std::string> describeChanges(const ServingConfig &before,
                                                       const ServingConfig &after);

} // namespace fescue::serving
