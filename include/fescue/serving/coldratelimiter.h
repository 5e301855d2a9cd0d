#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <deque>
#include <map>

namespace fescue::serving {

// Limits the rate of requests that this process sends to one cold endpoint to its share of the
// endpoint's cold limit; see ColdShares.
class ColdRateLimiter
{
public:
    // Length of the sliding window in which requests are counted. Longer than the second to which
    // the limit applies, because network delays vary: requests may arrive closer together than they
    // were sent.
    static constexpr Millis window {1150};

    // Counts one request to a cold endpoint, to which this process may send `share` requests a
    // second. Returns false, and counts nothing, if that share is used up.
    [[nodiscard]] bool tryTake(Millis now, const EndpointName &endpoint, std::size_t share);
    // Returns true if tryTake() would succeed.
    [[nodiscard]] bool wouldTake(Millis now, const EndpointName &endpoint, std::size_t share) const;
    // Removes the records of endpoints that were sent nothing within the window.
    void purge(Millis now);

private:
    std::map<EndpointName, std::deque<Millis>> m_sent;
};

} // namespace fescue::serving
