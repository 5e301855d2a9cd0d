#pragma once

#include "fescue/serving/cachedprefixes.h"
#include "fescue/serving/coldratelimiter.h"
#include "fescue/serving/coldshares.h"
#include "fescue/serving/endpointhealth.h"
#include "fescue/serving/endpointtable.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/servingconfig.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace fescue::serving {

// The state on which the choice of an endpoint is based. The references must outlive the calls.
struct PlacementView
{
    const LoadLedger &ledger;
    const EndpointHealth &health;
    const ColdRateLimiter &coldRateLimiter;
    const ColdShares &coldShares;
    // Cold limit of the service: requests a second to one cold endpoint, from all processes.
    double coldPerSecond = 0;
    // Availability zone of this process.
    ZoneName zone;
    Millis now {0};
    // Large system: processes of other availability zones do not report their loads individually.
    bool isLarge = false;
    // The beginnings of prompts that engines hold; null if they are not to be considered.
    const CachedPrefixes *prefixes = nullptr;

    // Returns false if an endpoint is cold and the share of this process in its cold limit is used
    // up.
    [[nodiscard]] bool hasColdShareLeft(const EndpointView &endpoint) const;
    // Returns true if the load on the endpoints of an availability zone is known to this process.
    [[nodiscard]] bool isZoneLoadKnown(const ZoneName &other) const;
    // Returns the part of an endpoint's cost that its availability zone causes, in milliseconds of
    // expected delay. `uniform` in [0, 1) is its random part.
    [[nodiscard]] double zoneCost(const ZoneName &other, double uniform) const;
};

// The resources and constraints of the request to be placed.
struct PlacementDemand
{
    // Expected memory at the end of the generation, in tokens; 0 for plain requests.
    std::uint64_t memoryTokens = 0;
    std::uint64_t prefillTokens = 0;
    // Most urgent priority: may use the memory that is reserved for it.
    bool mostUrgent = false;
    // Endpoints that must not be chosen because they were tried before.
    std::set<EndpointName> excluded;
    // Parts of the prompt whose reading may be saved; empty if prompts of the route share none.
    // Must outlive the call.
    std::span<const PromptPart> promptParts = {};
};

// Derives a number in [0, 1) for an endpoint from the one random number of a whole choice.
[[nodiscard]] double endpointJitter(double uniform, const EndpointName &name);

// Chooses an endpoint of a plain service: prefers a low fraction of slots in use and endpoints in
// the same availability zone, and takes suspect endpoints last. `uniform` in [0, 1) breaks ties.
// Returns null if no endpoint may be used.
[[nodiscard]] const EndpointView *choosePlain(std::span<const EndpointView *const> candidates,
                                              const PlacementView &view,
                                              const PlacementDemand &demand, double uniform);

// Returns for the log why chooseEngine() found none, as in "usable=10 cold=2 full=8 excluded=0".
[[nodiscard]] std::string describeShortage(std::span<const EndpointView *const> candidates,
                                           const EngineModel &model, const PlacementView &view,
                                           const PlacementDemand &demand);

// Chooses the model engine for a new generation: one whose memory is expected to suffice until the
// generation ends, at the least cost in expected delay. Returns null if none has room.
[[nodiscard]] const EndpointView *chooseEngine(std::span<const EndpointView *const> candidates,
                                               const EngineModel &model, const PlacementView &view,
                                               const PlacementDemand &demand, double uniform);

} // namespace fescue::serving
