#pragma once

#include <cstddef>

namespace fescue::net {

// Returns how many connections this process holds, those it accepted and those it made.
[[nodiscard]] std::size_t openSockets() noexcept;

} // namespace fescue::net
