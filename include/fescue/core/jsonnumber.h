#pragma once

#include "fescue/core/clock.h"

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

// Numbers in documents from outside the process. The library's own conversions wrap numbers that do
// not fit and accept true and false as numbers.
namespace fescue {

// Returns a whole number that fits into T, or nullopt. JSON has one type of numbers, so a whole one
// may be written with a fraction of zero.
template <std::integral T>
[[nodiscard]] std::optional<T> findWholeNumber(const nlohmann::json &value)
{
    if (value.is_number_unsigned()) {
        const std::uint64_t number = value.get<std::uint64_t>();
        return std::in_range<T>(number) ? std::optional<T>(static_cast<T>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        const std::int64_t number = value.get<std::int64_t>();
        return std::in_range<T>(number) ? std::optional<T>(static_cast<T>(number)) : std::nullopt;
    }
    // Larger numbers may have lost digits.
    constexpr double largestExact = 9007199254740992.0;
    if (!value.is_number_float())
        return std::nullopt;
    const double number = value.get<double>();
    if (std::abs(number) > largestExact || number != std::floor(number))
        return std::nullopt;
    const std::int64_t whole = static_cast<std::int64_t>(number);
    return std::in_range<T>(whole) ? std::optional<T>(static_cast<T>(whole)) : std::nullopt;
}

// Returns a whole number that fits into T. Throws nlohmann::json::out_of_range, which names `what`.
template <std::integral T>
[[nodiscard]] T readWholeNumber(const nlohmann::json &value, std::string_view what)
{
    const std::optional<T> number = findWholeNumber<T>(value);
    if (!number) {
        constexpr int outOfRange = 406;
        throw nlohmann::json::out_of_range::create(
            outOfRange,
            std::string(what) + " must be a whole number from "
                + std::to_string(std::numeric_limits<T>::min()) + " to "
                + std::to_string(std::numeric_limits<T>::max()),
            &value);
    }
    return *number;
}

// Returns a span of time, given in units of `unit`, rounded to whole milliseconds; nullopt if the
// value is not a number or the span is longer than maxInputSpan in either direction.
[[nodiscard]] inline std::optional<Millis> findSpan(const nlohmann::json &value, Millis unit)
{
    if (!value.is_number())
        return std::nullopt;
    const double millis = value.get<double>() * static_cast<double>(unit.count);
    if (!(std::abs(millis) <= static_cast<double>(maxInputSpan.count)))
        return std::nullopt;
    return Millis {static_cast<std::int64_t>(std::llround(millis))};
}

// The same as findSpan(), in milliseconds by default. Throws nlohmann::json::out_of_range, which
// names `what`, where findSpan() returns nullopt.
[[nodiscard]] inline Millis readSpan(const nlohmann::json &value, std::string_view what,
                                     Millis unit = 1_ms)
{
    const std::optional<Millis> span = findSpan(value, unit);
    if (!span) {
        constexpr int outOfRange = 406;
        throw nlohmann::json::out_of_range::create(outOfRange,
                                                   std::string(what) + " must be a time of at most "
                                                       + std::to_string(maxInputSpan.count) + " ms",
                                                   &value);
    }
    return *span;
}

} // namespace fescue
