#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <deque>
#include <map>

namespace fescue::serving {

// Bounds the requests that this process sends to one cold endpoint in any second, by its part of
// what the endpoint bears; see ColdShares.
class ColdGate
{
public:
    // Requests that were sent within this time count; longer than the second for which the bound
    // holds, since requests arrive later than they were sent by different times.
    static constexpr Millis window {1150};

    // Takes one request to a cold endpoint of which this process may send `part` in a second. False
    // where they are used up.
    [[nodiscard]] bool tryTake(Millis now, const EndpointName &endpoint, std::size_t part);
    // True where tryTake() would succeed.
    [[nodiscard]] bool wouldTake(Millis now, const EndpointName &endpoint, std::size_t part) const;
    // Forgets endpoints that got nothing lately.
    void purge(Millis now);

private:
    std::map<EndpointName, std::deque<Millis>> m_sent;
};

} // namespace fescue::serving
