#pragma once

#include "fescue/core/clock.h"

#include <cstddef>

namespace fescue::serving {

// The times of a planned stop: until when a process takes calls, until when it answers them, and
// when it ends. A call is taken only if its deadline leaves time to answer it before the process
// ends, so that no call is cut whose outcome its caller could not know. Has no clock of its own.
class StopPlan
{
public:
    // Begins the stop. The process is killed `grace` after it was signalled, so times count from
    // the signal and not from when it was noticed. Later calls change nothing.
    void begin(Millis signalledAt, Millis grace) noexcept;
    // Ends the taking of calls.
    void close() noexcept { m_closed = true; }

    [[nodiscard]] bool hasBegun() const noexcept { return m_begun; }
    // Returns true if a call that must be answered by `deadline` may be taken.
    [[nodiscard]] bool mayTake(Millis deadline) const noexcept;
    // Returns true once nothing speaks against close(): `open` calls are being answered or
    // received.
    [[nodiscard]] bool mayClose(Millis now, std::size_t open) const noexcept;
    // Returns the time at which the process ends, whatever is still open.
    [[nodiscard]] Millis endAt() const noexcept { return m_endAt; }

private:
    [[nodiscard]] Millis closeAt() const noexcept;

    bool m_begun = false;
    bool m_closed = false;
    Millis m_signalledAt {0};
    Millis m_endAt {0};
};

} // namespace fescue::serving
