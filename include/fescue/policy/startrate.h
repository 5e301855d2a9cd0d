#pragma once

#include "fescue/core/clock.h"

#include <cstddef>
#include <optional>

namespace fescue {

// Rate at which queued requests start, as an exponentially weighted mean over the time during which
// requests were waiting.
class StartRate
{
public:
    // Sets whether requests are waiting from now on. Time without a backlog does not count.
    void setBacklogged(bool backlogged, Millis now) noexcept;
    void started(Millis now) noexcept;
    // Returns the predicted time until a request with `ahead` others before it starts, or nullopt
    // while too little backlogged time has been observed.
    [[nodiscard]] std::optional<Millis> waitFor(std::size_t ahead, Millis now) const noexcept;

private:
    void decayTo(Millis now) noexcept;

    double m_starts = 0;
    double m_backloggedMillis = 0;
    bool m_backlogged = false;
    Millis m_at {0};
};

} // namespace fescue
