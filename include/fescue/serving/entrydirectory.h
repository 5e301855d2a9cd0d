#pragma once

#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace fescue::serving {

// Most addresses in one answer; from the platform's page on clients.
inline constexpr std::size_t maxDirectoryAddresses = 64;

// Returns the addresses that callers in an availability zone should use. Callers choose among them
// at random, so entries in other zones are named only where the caller's zone has fewer than two.
// Suspect entries are named only where no other lives.
[[nodiscard]] std::vector<std::string> resolveEntries(const ZoneName &callerZone,
                                                      std::span<const MemberView> members);

} // namespace fescue::serving
