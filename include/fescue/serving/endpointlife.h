#pragma once

#include "fescue/core/ids.h"

namespace fescue::serving {

// One life of an endpoint: it ends when the endpoint starts again, also under the same name.
struct EndpointLife
{
    EndpointName endpoint;
    Incarnation incarnation;
    bool operator==(const EndpointLife &) const = default;
};

} // namespace fescue::serving
