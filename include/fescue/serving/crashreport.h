#pragma once

#include "fescue/serving/endpointincarnation.h"
#include "fescue/serving/quarantineentry.h"

#include <vector>

namespace fescue::serving {

// Crash of an engine, as one process saw it: the parts of the prompts that the process lost there
// before they were known to be sound.
struct CrashReport
{
    EndpointIncarnation engine;
    // Time since the crash.
    Millis age {0};
    std::vector<PartId> parts;
    bool operator==(const CrashReport &) const = default;
};

} // namespace fescue::serving
