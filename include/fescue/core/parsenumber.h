#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace fescue {

// Reads a whole text as a number of an integer type. Returns none where it is empty, holds anything
// else, or does not fit.
template <typename T>
[[nodiscard]] std::optional<T> parseNumber(std::string_view text, int base = 10) noexcept
{
    T number {};
    const char *end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data(), end, number, base);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace fescue
