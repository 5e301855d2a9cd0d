#pragma once

#include <cstdint>
#include <string>

namespace fescue::serving {

enum class StoreSubjectKind : std::uint8_t
{
    // The operator's configuration.
    Config,
    // An availability zone that is out of service while the key exists; `name` is the zone.
    ZoneOut,
    // An entry of the list of endpoints; `name` is the endpoint.
    Endpoint,
    // An order to move a service to a new software version; `name` is the service.
    Rollout,
    // The state of a roll-out, written by this project; `name` is the service.
    RolloutStatus,
    // Any other key, including this project's own ones.
    Other,
};

// Subject that a key of the store describes.
struct StoreSubject
{
    StoreSubjectKind kind = StoreSubjectKind::Other;
    std::string name;
    bool operator==(const StoreSubject &) const = default;
};

} // namespace fescue::serving
