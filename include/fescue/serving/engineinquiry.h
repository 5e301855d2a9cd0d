#pragma once

#include <cstddef>

namespace fescue::serving {

// Chance with which a process asks an engine for its state in one interval, where `holders`
// processes have generations there: all of them together ask about once.
[[nodiscard]] double askChance(std::size_t holders) noexcept;

} // namespace fescue::serving
