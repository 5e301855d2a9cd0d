#pragma once

#include "fescue/core/ids.h"
#include "fescue/policy/request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fescue {

// One endpoint that can accept a request now.
struct Candidate
{
    EndpointName endpoint;
    bool sameZone = false;
    // Number of this entry's requests that run on the endpoint.
    std::uint32_t running = 0;
    // Share of the endpoint's slots in use by all entries, in percent, as last received.
    std::uint32_t busyPercent = 0;
    // Number of slots granted to this entry, in use or not.
    std::uint32_t grantedSlots = 0;
    // Unused memory of this entry's credit, in tokens.
    std::uint64_t memoryLeft = 0;
};

struct RouterSettings
{
    // A request is routed by its prefix, to an endpoint that is likely to have the prefix cached,
    // among those that are busier than the least busy one by at most this, in percent of the slots.
    // 0 disables affinity.
    std::uint32_t affinityPercent = 25;
    // Number of leading blocks that form the prefix.
    std::size_t affinityBlocks = 4;
    // If set, endpoints in the entry's own zone are preferred within the same bound.
    bool zoneFirst = true;
};

// Chooses an endpoint for a request. Rendezvous hashing over the endpoints sends the same prefix to
// the same endpoint from all entries, without messages between them or a shared index. Returns the
// index of the chosen candidate, or nullopt if there is no candidate.
[[nodiscard]] std::optional<std::size_t> chooseEndpoint(const Request &request,
                                                        std::span<const Candidate> candidates,
                                                        const RouterSettings &settings);

} // namespace fescue
