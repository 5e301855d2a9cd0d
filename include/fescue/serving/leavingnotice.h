#pragma once

#include "fescue/core/ids.h"

namespace fescue::serving {

// An endpoint that said in its own answers that it leaves.
struct LeavingNotice
{
    EndpointName endpoint;
    // The life that leaves; a later one of the same name does not.
    Incarnation incarnation;
    bool operator==(const LeavingNotice &) const = default;
};

} // namespace fescue::serving
