#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <vector>

namespace fescue::serving {

// Id of a prompt part.
using PartId = std::uint64_t;

// Parts of prompts that are kept away from engines because engines crashed when they began to
// answer requests with them.
struct QuarantineEntry
{
    // Sorted. A request matches if its prompt contains all of them.
    std::vector<PartId> parts;
    // Counts quarantines and releases; the state with the higher version replaces the other.
    std::uint32_t version = 1;
    // False after a release.
    bool active = true;
    // Number of crashes that are attributed to the parts.
    std::uint32_t crashes = 0;
    // Number of trials: requests that were sent to find out whether engines still crash.
    std::uint32_t trials = 0;
    // Parts with the same evidence when the entry was made.
    std::vector<PartId> rivals;
    // Points on the steady clock of this process.
    Millis since {0};
    Millis lastCrashAt {0};
    Millis lastTrialAt {0};
    bool operator==(const QuarantineEntry &) const = default;
};

} // namespace fescue::serving
