#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace fescue {

// A point in time or a span of time, in whole milliseconds. Points count from an arbitrary origin
// that is fixed for the life of a process, so points of two processes cannot be compared.
struct Millis
{
    std::int64_t count = 0;

    constexpr auto operator<=>(const Millis &) const noexcept = default;

    constexpr Millis &operator+=(Millis other) noexcept
    {
        count += other.count;
        return *this;
    }
    constexpr Millis &operator-=(Millis other) noexcept
    {
        count -= other.count;
        return *this;
    }

    [[nodiscard]] friend constexpr Millis operator+(Millis a, Millis b) noexcept
    {
        return {a.count + b.count};
    }
    [[nodiscard]] friend constexpr Millis operator-(Millis a, Millis b) noexcept
    {
        return {a.count - b.count};
    }
    [[nodiscard]] friend constexpr Millis operator*(Millis a, std::int64_t n) noexcept
    {
        return {a.count * n};
    }
    [[nodiscard]] friend constexpr Millis operator/(Millis a, std::int64_t n) noexcept
    {
        return {a.count / n};
    }
};

// Longest span of time that is read from outside the process, a thousand years: sums of a few of
// them and a point in time cannot overflow.
inline constexpr Millis maxInputSpan {std::int64_t {365'250} * 24 * 60 * 60 * 1000};

inline namespace literals {

[[nodiscard]] constexpr Millis operator""_ms(unsigned long long n) noexcept
{
    return {static_cast<std::int64_t>(n)};
}

[[nodiscard]] constexpr Millis operator""_s(unsigned long long n) noexcept
{
    return {static_cast<std::int64_t>(n) * 1000};
}

} // namespace literals

// Anything that tells the current time.
template <typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Millis>;
};

// The monotonic clock of this machine. It does not advance backwards when the wall clock is set.
class SteadyClock
{
public:
    [[nodiscard]] Millis now() const noexcept
    {
        const std::chrono::steady_clock::duration elapsed =
            std::chrono::steady_clock::now().time_since_epoch();
        return {std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()};
    }
};

// A clock that moves only when told to; for tests and for in-process measurements.
class ManualClock
{
public:
    [[nodiscard]] Millis now() const noexcept { return m_now; }

    // Moves the clock forward. Negative steps are ignored.
    void advance(Millis step) noexcept
    {
        if (step > Millis {0})
            m_now += step;
    }

private:
    Millis m_now {0};
};

} // namespace fescue
