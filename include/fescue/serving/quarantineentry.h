#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
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

// Returns the key of an entry in the store.
[[nodiscard]] std::string quarantineKey(const QuarantineEntry &entry);
// Encodes an entry as JSON for the store and for operators. `wallNow` is the wall-clock time that
// corresponds to `now`.
[[nodiscard]] std::string quarantineJson(const QuarantineEntry &entry, Millis now, Millis wallNow);
// Fails with StoreProtocol.
[[nodiscard]] Result<QuarantineEntry> parseQuarantineJson(std::string_view json, Millis now,
                                                          Millis wallNow);
// Returns the ids of the parts in hexadecimal, with commas between them.
[[nodiscard]] std::string partsText(std::span<const PartId> parts);
// Returns the first eight of them, and "..." if there are more: for log lines, since callers decide
// how many parts a prompt has.
[[nodiscard]] std::string partsSummary(std::span<const PartId> parts);

// Prefix of the keys of quarantine entries in the store.
inline constexpr std::string_view quarantineKeyPrefix = "quarantine/";

} // namespace fescue::serving
