#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace fescue {

// Splits limit by max-min fairness: nobody gets more than it wants, and what is left is shared
// equally among those who want more. Remainders go to the members from `first` on, cyclically.
[[nodiscard]] std::vector<std::uint64_t>
maxMinShares(std::uint64_t limit, std::span<const std::uint64_t> wants, std::size_t first = 0);

} // namespace fescue
