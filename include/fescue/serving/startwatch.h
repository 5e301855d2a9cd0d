#pragma once

#include "fescue/core/clock.h"
#include "fescue/serving/enginesend.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescue::serving {

enum class StartStep : std::uint8_t
{
    Wait,
    // Ask the engine for its state, and record the answer.
    AskEngine,
    // End the attempt; another engine takes the request.
    Withdraw,
};

// What shows that an engine will not start a request.
enum class StuckReason : std::uint8_t
{
    None,
    // It does not answer for itself either.
    Silent,
    // Its own figures stand still: it works on nothing.
    Stalled,
    // It works for others, but this request has waited several times longer than it should.
    PassedOver,
};

[[nodiscard]] std::string_view toString(StuckReason reason) noexcept;

// Decides whether a request that an engine has accepted is withdrawn before its first event. The
// evidence is the engine's own progress between two reports, not the time alone: engines with many
// prompts ahead start late and are worth the wait. Says nothing about whether the request may be
// sent again and whether a retry is left. Has no clock and no network of its own.
class StartWatch
{
public:
    // `expected` is the time that the engine needs for the prompts ahead and for this one, as known
    // when the request was sent.
    StartWatch(Millis sentAt, Millis expected) noexcept;

    // `otherStart` is the time in which another engine would start the request, nullopt if none has
    // room. A request that would not start there before `deadline` either stays where it is.
    [[nodiscard]] StartStep next(Millis now, std::optional<Millis> otherStart, Millis deadline);
    // Records the engine's answer to AskEngine; nullopt if there was none.
    void recordReport(Millis now, const std::optional<EngineReport> &report);
    // Records an event of the request: it is not withdrawn from now on.
    void recordStart() noexcept { m_hasStarted = true; }

    // Valid after Withdraw.
    [[nodiscard]] StuckReason reason() const noexcept { return m_reason; }

private:
    Millis m_sentAt;
    Millis m_expected;
    bool m_hasStarted = false;
    bool m_isAsking = false;
    // The last report that shows progress, and when it came.
    std::optional<EngineReport> m_report;
    Millis m_progressAt {0};
    std::optional<Millis> m_askedAt;
    StuckReason m_reason = StuckReason::None;
};

} // namespace fescue::serving
