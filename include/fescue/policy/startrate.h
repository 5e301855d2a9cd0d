#pragma once

#include "fescue/core/clock.h"

#include <cstddef>
#include <optional>

namespace fescue {

// Rate at which queued requests start, averaged over the recent time in which requests waited.
class StartRate
{
public:
    // Tells whether requests wait from now on.
    void setBacklogged(bool backlogged, Millis now) noexcept;
    void started(Millis now) noexcept;
    // Time until a request with `ahead` others before it starts; none while too little is known.
    [[nodiscard]] std::optional<Millis> waitFor(std::size_t ahead, Millis now) const noexcept;

private:
    void decayTo(Millis now) noexcept;

    double m_starts = 0;
    double m_backloggedMillis = 0;
    bool m_backlogged = false;
    Millis m_at {0};
};

} // namespace fescue
