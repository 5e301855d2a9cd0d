#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstdint>
#include <string>

namespace fescue::serving {

// The entry that an endpoint writes about itself in the platform's service discovery.
struct EndpointRecord
{
    EndpointName name;
    ServiceName service;
    net::Address address;
    ZoneName zone;
    // Version of the endpoint's software; empty if its entry does not state one.
    std::string softwareVersion;
    // Changes when the endpoint restarts, also under the same name.
    Incarnation incarnation;
    // Number of requests that the endpoint processes concurrently.
    std::uint32_t slots = 0;
    // True if the endpoint will stop soon and accepts no new work.
    bool draining = false;
    // Time for which the endpoint stays cold, counted from the writing of the record.
    Millis coldRemaining {0};
    bool operator==(const EndpointRecord &) const = default;
};

} // namespace fescue::serving
