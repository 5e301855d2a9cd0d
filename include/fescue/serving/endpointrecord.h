#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstdint>

namespace fescue::serving {

// What an endpoint says of itself in the platform's list.
struct EndpointRecord
{
    EndpointName name;
    ServiceName service;
    net::Address address;
    ZoneName zone;
    // Changes when the endpoint starts again, also under the same name.
    Incarnation incarnation;
    // Requests that it works on at the same time.
    std::uint32_t slots = 0;
    // It will stop soon and wants no new work.
    bool draining = false;
    // How much longer it stays cold, from the time of the record.
    Millis coldRemaining {0};
    bool operator==(const EndpointRecord &) const = default;
};

} // namespace fescue::serving
