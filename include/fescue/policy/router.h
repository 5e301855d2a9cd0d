#pragma once

#include "fescue/core/ids.h"
#include "fescue/policy/request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fescue {

// One endpoint that may take a request now.
struct Candidate
{
    EndpointName endpoint;
    bool sameZone = false;
    // Requests of this entry that run there.
    std::uint32_t running = 0;
    // Share of the endpoint's slots in use by all entries, in percent, as last heard.
    std::uint32_t busyPercent = 0;
    // Slots of this entry's credit, in use or not.
    std::uint32_t grantedSlots = 0;
    // Memory left of this entry's credit, in tokens.
    std::uint64_t memoryLeft = 0;
};

struct RouterSettings
{
    // A request goes where its prefix is cached while that endpoint is busier than the least busy
    // one by no more than this, in percent of the slots. 0 turns affinity off.
    std::uint32_t affinityPercent = 25;
    // The prefix is taken from this many leading blocks.
    std::size_t affinityBlocks = 4;
    // Prefers endpoints in the entry's own zone, within the same bound.
    bool zoneFirst = true;
};

// Chooses an endpoint for a request. All entries send the same prefix to the same endpoint, by
// rendezvous hash over the endpoints, without a message or an index. Returns the index of the
// candidate, or none where there is no candidate.
[[nodiscard]] std::optional<std::size_t> chooseEndpoint(const Request &request,
                                                        std::span<const Candidate> candidates,
                                                        const RouterSettings &settings);

} // namespace fescue
