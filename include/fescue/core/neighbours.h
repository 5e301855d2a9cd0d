#pragma once

#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <span>
#include <vector>

namespace fescue {

// Peers that a member keeps links to.
inline constexpr std::size_t defaultNeighbourCount = 4;

// Returns the members that `self` opens links to: at most `count`, so that the periodic traffic of
// all members together grows linearly with their number. All members form a ring; half of the
// neighbours follow `self` on it, which connects everybody, and the rest are the next ones in other
// zones, which keeps links across zones when one is lost. Links carry traffic in both directions.
[[nodiscard]] std::vector<MemberName> chooseNeighbours(const MemberInfo &self,
                                                       std::span<const MemberView> members,
                                                       std::size_t count = defaultNeighbourCount);

} // namespace fescue
