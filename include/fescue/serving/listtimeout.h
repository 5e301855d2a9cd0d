#pragma once

#include "fescue/core/clock.h"

namespace fescue::serving {

// Chooses the time that a call to list the store may take. A process that knows nothing yet serves
// nobody, and a call that was sent to a silent store is answered no earlier when the store is back:
// the next one is. So the first calls are given up soon, and later ones after longer, since a slow
// store answers none but those.
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
    void recordFailure() noexcept;
    // Records an answer.
    void recordAnswer() noexcept { m_timeout = first; }

private:
    Millis m_timeout = first;
};

} // namespace fescue::serving
