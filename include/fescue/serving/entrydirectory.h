#pragma once

#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace fescue::serving {

// Maximum number of addresses in one answer, as the platform's page on clients requires.
inline constexpr std::size_t maxDirectoryAddresses = 64;

// Returns the addresses that callers in an availability zone should use. Callers choose among them
// at random, so entries in other zones are included only if the caller's zone has fewer than two
// live ones. Suspect entries are included only if there is no live entry.
[[nodiscard]] std::vector<std::string> resolveEntries(const ZoneName &callerZone,
                                                      std::span<const MemberView> members);

} // namespace fescue::serving
