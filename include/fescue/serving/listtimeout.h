#pragma once

#include "fescue/core/clock.h"

namespace fescue::serving {

// Chooses the timeout of the calls that list the store. A process without a listing serves nobody,
// and a store that was silent does not answer the calls sent to it before it is back. So the first
// calls have a short timeout, and a new call follows soon. Each timeout that passes makes the next
// one longer, up to one within which a slow store answers.
class ListTimeout
{
public:
    static constexpr Millis first {400};
    // Even a slow store answers within it.
    static constexpr Millis longest {1500};

    // Returns the timeout of the next call. `hasListed` tells that an earlier listing is known,
    // with which the process goes on.
    [[nodiscard]] Millis next(bool hasListed) const noexcept
    {
        return hasListed ? longest : m_timeout;
    }
    // Records that a call was not answered in time.
    void recordTimeout() noexcept;
    // Records that the store has been listed, with all pages.
    void recordListing() noexcept { m_timeout = first; }

private:
    Millis m_timeout = first;
};

} // namespace fescue::serving
