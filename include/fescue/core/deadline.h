#pragma once

#include "fescue/core/clock.h"

#include <algorithm>
#include <limits>

namespace fescue {

// The time by which a request must be answered, on the clock of this process.
class Deadline
{
public:
    // A deadline that never passes.
    constexpr Deadline() noexcept = default;

    // The deadline that lies `left` after `now`.
    [[nodiscard]] static constexpr Deadline after(Millis now, Millis left) noexcept
    {
        return left.count >= none - now.count ? Deadline {} : Deadline {now + left};
    }

    [[nodiscard]] constexpr bool isSet() const noexcept { return m_at.count != none; }
    [[nodiscard]] constexpr bool hasPassed(Millis now) const noexcept { return now >= m_at; }

    // Time left, never negative.
    [[nodiscard]] constexpr Millis remaining(Millis now) const noexcept
    {
        return std::max(Millis {0}, m_at - now);
    }

    // Shortens a timeout or delay so that it ends no later than the deadline.
    [[nodiscard]] constexpr Millis limit(Millis now, Millis span) const noexcept
    {
        return std::min(span, remaining(now));
    }

    // True where something that takes `span` from now on ends before the deadline.
    [[nodiscard]] constexpr bool allows(Millis now, Millis span) const noexcept
    {
        return span < remaining(now);
    }

    // The earlier of two deadlines.
    [[nodiscard]] constexpr Deadline earlier(Deadline other) const noexcept
    {
        return Deadline {std::min(m_at, other.m_at)};
    }

    constexpr bool operator==(const Deadline &) const noexcept = default;

private:
    static constexpr std::int64_t none = std::numeric_limits<std::int64_t>::max();

    explicit constexpr Deadline(Millis at) noexcept : m_at(at) { }

    Millis m_at {none};
};

} // namespace fescue
