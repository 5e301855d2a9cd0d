#pragma once

#include "fescue/serving/coldgate.h"
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

// What is known when an endpoint is chosen. The references must outlive the calls.
struct PlacementView
{
    const LoadLedger &ledger;
    const EndpointHealth &health;
    const ColdGate &coldGate;
    const ColdShares &coldShares;
    // Requests a second that a cold endpoint of the service bears, from all processes.
    double coldPerSecond = 0;
    // Availability zone of this process.
    ZoneName zone;
    Millis now {0};
    // Processes of other availability zones do not tell their loads themselves.
    bool isLarge = false;

    // False where an endpoint is cold and the part of this process is used up.
    [[nodiscard]] bool coldPartLeft(const EndpointView &endpoint) const;
    // True where the load of an availability zone's endpoints is known here.
    [[nodiscard]] bool knowsLoadIn(const ZoneName &other) const;
    // Cost of an endpoint for its availability zone, in milliseconds of expected delay.
    [[nodiscard]] double zoneCost(const ZoneName &other, double uniform) const;
};

// The work to be placed.
struct PlacementDemand
{
    // Memory at the end of the generation, in tokens; 0 for plain requests.
    std::uint64_t memoryTokens = 0;
    std::uint64_t prefillTokens = 0;
    // Of the most urgent kind: may use the memory that is kept free for it.
    bool mostUrgent = false;
    // Endpoints that are not to be chosen, because they were tried.
    std::set<EndpointName> excluded;
};

// Makes a number in [0, 1) for an endpoint from one random number for a whole choice.
[[nodiscard]] double spread(double uniform, const EndpointName &name);

// Chooses the endpoint of a plain service: the least part of its slots in use, endpoints in the
// same availability zone first, suspect ones last. `uniform` in [0, 1) breaks ties. Returns null
// where no endpoint may be used.
[[nodiscard]] const EndpointView *choosePlain(std::span<const EndpointView *const> candidates,
                                              const PlacementView &view,
                                              const PlacementDemand &demand, double uniform);

// Says for the log why chooseEngine() finds none, as in "usable=10 cold=2 full=8 excluded=0".
[[nodiscard]] std::string describeShortage(std::span<const EndpointView *const> candidates,
                                           const EngineModel &model, const PlacementView &view,
                                           const PlacementDemand &demand);

// Chooses the model engine for a new generation: one whose memory is expected to hold it to its
// end, with the shortest expected time to the first event. Returns null where none has room.
[[nodiscard]] const EndpointView *chooseEngine(std::span<const EndpointView *const> candidates,
                                               const EngineModel &model, const PlacementView &view,
                                               const PlacementDemand &demand, double uniform);

} // namespace fescue::serving
