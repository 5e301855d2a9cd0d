#pragma once

#include "fescue/core/clock.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/servingconfig.h"
#include "fescue/serving/slotbroker.h"

#include <cstdint>

namespace fescue::serving {

// What is known of an endpoint of a plain service when a request is to be sent to it.
struct EndpointPressure
{
    // Connections that the endpoint accepts from all callers; 0 if there is no limit.
    std::uint32_t maxConnections = 0;
    std::uint32_t slots = 0;
    // Requests of all processes there, as known to this one.
    std::uint32_t requests = 0;
    // It recently rejected a request of this process, or ended its connection without an answer.
    bool rejectedRecently = false;
};

// Returns the time for which a new connection to the endpoint is watched before the request is
// sent. An endpoint under load resets connections over its limit; a request that was sent by then
// may have run as far as this process knows. Endpoints without load get requests at once.
[[nodiscard]] Millis connectionSettleTime(const EndpointPressure &pressure) noexcept;

// Returns the time after which an attempt may be ended in favour of another one.
[[nodiscard]] Millis attemptPatience(Millis targetLatency) noexcept;

// Returns true if a request that may run again can be sent to the same endpoint after an attempt
// with this outcome: the endpoint answers, and the failure may be of this one request.
[[nodiscard]] bool mayRepeatAfter(SendOutcome outcome) noexcept;

// Returns the rank of a request among those that wait for a slot of a service; 0 is the most
// urgent. The account's priority goes before its route's. A request without an account ranks with
// the least urgent route for accounts, since nobody answers for how many of them arrive.
[[nodiscard]] int slotPriority(const ServingConfig &config, const ServiceName &service,
                               const Route &route, const AccountSpec *account);

// Returns what the outcome of an attempt says about the slot that it used.
[[nodiscard]] SlotUse slotUseOf(SendOutcome outcome) noexcept;

} // namespace fescue::serving
