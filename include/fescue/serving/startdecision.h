#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <string>
#include <string_view>

namespace fescue::serving {

enum class StartStep : std::uint8_t
{
    // What is missing may come without a change by a person.
    Wait,
    // Only a person can correct it.
    End,
};

// Decides what a process does whose start has failed.
[[nodiscard]] StartStep stepAfter(const Error &error) noexcept;

// Tells what a process waits for, as in its log and its metrics.
[[nodiscard]] std::string_view waitReason(const Error &error) noexcept;

// Repeated tries of one thing: the pauses between them, and which failures are logged.
class RetryPace
{
public:
    // Records a failed try. Returns true if it is to be logged: the first one, those with another
    // reason, and repeated ones at growing intervals.
    [[nodiscard]] bool recordFailure(Millis now, std::string_view reason);
    // Returns the pause before the next try.
    [[nodiscard]] Millis pause() const noexcept;
    // Returns the time since the first failure; 0 if there is none.
    [[nodiscard]] Millis failingFor(Millis now) const noexcept;
    [[nodiscard]] std::uint64_t failures() const noexcept { return m_failures; }
    // Starts over after a success.
    void reset() noexcept;

    static constexpr Millis firstPause = 100_ms;
    static constexpr Millis longestPause = 1_s;
    static constexpr Millis firstLogInterval = 2_s;
    static constexpr Millis longestLogInterval = 60_s;

private:
    std::uint64_t m_failures = 0;
    Millis m_firstAt {0};
    Millis m_nextLogAt {0};
    Millis m_logInterval = firstLogInterval;
    std::string m_reason;
};

} // namespace fescue::serving
