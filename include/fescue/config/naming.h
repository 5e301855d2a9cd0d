#pragma once

#include <string>
#include <string_view>

namespace fescue {

constexpr std::size_t maxNameBytes = 40;

// A name starts with a letter or digit, goes on with letters, digits, "-", "_" and ".", and has at
// most maxNameBytes bytes. Names are parts of keys in the store and of event ids, so they hold
// neither "/" nor "~".
[[nodiscard]] bool isValidName(std::string_view text) noexcept;

// Returns the message for a text that is not a valid name.
[[nodiscard]] std::string nameRule(std::string_view text);

// True for an even number of lower-case hexadecimal digits, at least the given number of bytes.
[[nodiscard]] bool isHex(std::string_view text, std::size_t minBytes) noexcept;

} // namespace fescue
