#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <deque>
#include <map>

namespace fescue::serving {

// Bounds the requests that this process sends to one cold endpoint in any second. The sum over all
// processes stays below what the endpoint bears, because each takes an equal part and the parts
// are worked out for twice as many processes as are known: newcomers, and processes that others do
// not know of yet, cannot take the sum over the bound.
class ColdGate
{
public:
    // Requests that were sent within this time count; longer than the second for which the bound
    // holds, since requests arrive later than they were sent by different times.
    static constexpr Millis window {1150};

    // Takes one request to a cold endpoint that bears `perSecond` from `members` processes. False
    // where the part of this process is used up.
    [[nodiscard]] bool tryTake(Millis now, const EndpointName &endpoint, double perSecond,
                               std::size_t members);
    // True where tryTake() would succeed.
    [[nodiscard]] bool wouldTake(Millis now, const EndpointName &endpoint, double perSecond,
                                 std::size_t members) const;
    // Forgets endpoints that got nothing lately.
    void purge(Millis now);

    // Part of one process, in requests a second.
    [[nodiscard]] static std::size_t part(double perSecond, std::size_t members) noexcept;

private:
    std::map<EndpointName, std::deque<Millis>> m_sent;
};

} // namespace fescue::serving
