#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fescue {

// Returns the score of a candidate for a key. The value is the same in every process and release.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view key,
                                            std::string_view candidate) noexcept;

// Returns the indexes of the candidates in order of preference for a key, best first (highest
// random weight). When a candidate comes or goes, the order of the others does not change. The
// order does not depend on the order of the candidates.
[[nodiscard]] std::vector<std::size_t>
rendezvousOrder(std::string_view key, std::span<const std::string_view> candidates);

} // namespace fescue
