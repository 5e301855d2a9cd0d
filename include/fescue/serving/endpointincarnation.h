#pragma once

#include "fescue/core/ids.h"

namespace fescue::serving {

// Identifies one incarnation of an endpoint. A restart begins a new one, also under the same name.
struct EndpointIncarnation
{
    EndpointName endpoint;
    Incarnation incarnation;
    bool operator==(const EndpointIncarnation &) const = default;
};

} // namespace fescue::serving
