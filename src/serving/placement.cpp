#include "fescue/serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescue::serving {

namespace {

// Costs below are in milliseconds of expected delay.

// Prompt tokens that an idle engine processes in a millisecond; from the engine data sheets.
constexpr double idlePrefillTokensPerMilli = 14;
// The same for an engine with running generations, shared by all its waiting prompts: decode steps
// take half of the time.
constexpr double prefillTokensPerMilli = idlePrefillTokensPerMilli / 2;
// Each running request slows every step of an engine. This is the resulting delay, summed over the
// events of a generation that reach the caller; from the step time for each slot in the engine data
// sheets.
constexpr double stepDelayCostPerRequest = 6;
// A prompt is processed between the decode steps of the running requests, which delays each of them
// by its prefill time on an idle engine. Those requests have already met their target latency, so
// the delay is weighted by half.
constexpr double runningRequestDelayWeight = 0.5;
// Memory in use raises the risk of preemption. This is the cost at a full engine.
constexpr double fullMemoryCost = 400;
// Above this fraction of memory in use, a request whose length was underestimated waits for memory
// or preempts others. The cost at a full engine is most of a target latency.
constexpr double scarceMemoryFill = 0.6;
constexpr double scarceMemoryCost = 3000;
// Calls to another availability zone cost money and a few milliseconds.
constexpr double otherZoneCost = 8;
// In a large system the loads of other zones are known with a delay of a second. The cost covers
// the load that may have been added since, and has a random part, since all processes of other
// zones see the same figures.
constexpr double knownZoneCost = 500;
constexpr double knownZoneSpread = 200;
// Zones with unknown load are used only if the local one is full: this exceeds the cost of the
// prompts that wait at a busy engine.
constexpr double unknownZoneCost = 800;
// A cold engine is slower for a while.
constexpr double coldCost = 60;
// A suspect endpoint is chosen only if no other can be.
constexpr double suspectCost = 1e6;
// Range of the random part, so that processes with the same view do not all choose the same
// endpoint.
constexpr double jitterCost = 10;
// Fraction of an engine's memory that generations may be expected to fill. The limit is higher for
// the most urgent priority, so that less urgent requests never leave it without capacity.
constexpr double memoryFillLimit = 0.9;
constexpr double urgentFillLimit = 1.05;
// Cached beginnings of prompts count in full up to `scarceMemoryFill` of the engine's memory in
// use, and not at all from this fraction on: an engine drops them when it needs the memory.
constexpr double noCacheFill = 0.85;
// Time that a plain request occupies a slot, used to weigh load against zone cost.
constexpr double plainServiceMillis = 30;

bool mayUse(const EndpointView &endpoint, const PlacementView &view, const PlacementDemand &demand)
{
    if (demand.excluded.contains(endpoint.record.name))
        return false;
    return view.hasColdShareLeft(endpoint);
}

// Returns the fraction of the engine's memory that is in use with the new generation.
double memoryFillRatio(const EndpointLoad &load, const EngineModel &model,
                       const PlacementDemand &demand)
{
    const double memory = static_cast<double>(std::max<std::uint64_t>(model.memoryTokens, 1));
    return static_cast<double>(load.memoryTokens + demand.memoryTokens) / memory;
}

bool hasRoom(const EndpointLoad &load, const EngineModel &model, const PlacementDemand &demand)
{
    const double limit = demand.mostUrgent ? urgentFillLimit : memoryFillLimit;
    return memoryFillRatio(load, model, demand) <= limit && load.requests < model.slots;
}

// Returns the number of tokens of a prompt that the engine does not have to read, as far as it is
// likely to hold them still with this fraction of its memory in use.
double savedPrefillTokens(const EndpointView &endpoint, const PlacementView &view,
                          const PlacementDemand &demand, double filled)
{
    if (view.prefixes == nullptr || demand.promptParts.empty() || filled >= noCacheFill)
        return 0;
    const double likelihood =
        std::min((noCacheFill - filled) / (noCacheFill - scarceMemoryFill), 1.0);
    const std::uint64_t held = view.prefixes->heldTokens(
        view.now, {endpoint.record.name, endpoint.record.incarnation}, demand.promptParts);
    return likelihood * static_cast<double>(std::min(held, demand.prefillTokens));
}

double commonCost(const EndpointView &endpoint, const PlacementView &view, double uniform)
{
    double cost = jitterCost * endpointJitter(uniform, endpoint.record.name);
    cost += view.zoneCost(endpoint.record.zone, endpointJitter(uniform, endpoint.record.name));
    if (endpoint.isCold(view.now))
        cost += coldCost;
    if (view.health.isSuspect(view.now, endpoint.record.name))
        cost += suspectCost;
    return cost;
}

template <typename Cost>
const EndpointView *cheapest(std::span<const EndpointView *const> candidates, Cost cost)
{
    const EndpointView *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const EndpointView *candidate : candidates) {
        const double c = cost(*candidate);
        if (c < least) {
            least = c;
            best = candidate;
        }
    }
    return best;
}

} // namespace

bool PlacementView::hasColdShareLeft(const EndpointView &endpoint) const
{
    const EndpointName &name = endpoint.record.name;
    return !endpoint.isCold(now)
        || coldRateLimiter.wouldTake(now, name, coldShares.share(now, name, coldPerSecond));
}

bool PlacementView::isZoneLoadKnown(const ZoneName &other) const
{
    return !isLarge || other == zone || ledger.hasRecentZoneReport(now, other);
}

double PlacementView::zoneCost(const ZoneName &other, double uniform) const
{
    if (other == zone)
        return 0;
    if (!isZoneLoadKnown(other))
        return unknownZoneCost;
    return isLarge ? knownZoneCost + knownZoneSpread * uniform : otherZoneCost;
}

double endpointJitter(double uniform, const EndpointName &name)
{
    // The finalizer of SplitMix64, so that all endpoints are equally likely to get the lowest
    // number.
    std::uint64_t bits = std::hash<EndpointName> {}(name);
    bits ^= static_cast<std::uint64_t>(std::ldexp(uniform, 63));
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    return std::ldexp(static_cast<double>(bits >> 11), -53);
}

const EndpointView *choosePlain(std::span<const EndpointView *const> candidates,
                                const PlacementView &view, const PlacementDemand &demand,
                                double uniform)
{
    return cheapest(candidates, [&](const EndpointView &endpoint) {
        if (!mayUse(endpoint, view, demand))
            return std::numeric_limits<double>::infinity();
        const EndpointLoad load = view.ledger.total(view.now, endpoint.record.name);
        const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
        const double queue = load.requests / slots;
        const double failing = view.health.failureRate(view.now, endpoint.record.name);
        return commonCost(endpoint, view, uniform) + queue * plainServiceMillis
            + failing * plainServiceMillis;
    });
}

std::string describeShortage(std::span<const EndpointView *const> candidates,
                             const EngineModel &model, const PlacementView &view,
                             const PlacementDemand &demand)
{
    std::size_t cold = 0;
    std::size_t full = 0;
    std::size_t excluded = 0;
    for (const EndpointView *endpoint : candidates) {
        const EndpointLoad load = view.ledger.total(view.now, endpoint->record.name);
        if (demand.excluded.contains(endpoint->record.name))
            ++excluded;
        else if (!hasRoom(load, model, demand))
            ++full;
        else if (!mayUse(*endpoint, view, demand))
            ++cold;
    }
    return "usable=" + std::to_string(candidates.size()) + " cold=" + std::to_string(cold)
        + " full=" + std::to_string(full) + " excluded=" + std::to_string(excluded);
}

const EndpointView *chooseEngine(std::span<const EndpointView *const> candidates,
                                 const EngineModel &model, const PlacementView &view,
                                 const PlacementDemand &demand, double uniform)
{
    return cheapest(candidates, [&](const EndpointView &endpoint) {
        if (!mayUse(endpoint, view, demand))
            return std::numeric_limits<double>::infinity();
        const EndpointLoad load = view.ledger.total(view.now, endpoint.record.name);
        if (!hasRoom(load, model, demand))
            return std::numeric_limits<double>::infinity();
        const double filled = memoryFillRatio(load, model, demand);
        const double saved = savedPrefillTokens(endpoint, view, demand, filled);
        const double prefill =
            (static_cast<double>(load.prefillTokens + demand.prefillTokens) - saved)
            / prefillTokensPerMilli;
        // An engine whose load is unknown may be full.
        const std::uint32_t others =
            view.isZoneLoadKnown(endpoint.record.zone) ? load.requests : model.slots;
        const double delayOfOthers = others * runningRequestDelayWeight
            * (static_cast<double>(demand.prefillTokens) - saved) / idlePrefillTokensPerMilli;
        const double scarce = std::max(filled - scarceMemoryFill, 0.0);
        return commonCost(endpoint, view, uniform) + prefill + delayOfOthers
            + load.requests * stepDelayCostPerRequest + filled * filled * fullMemoryCost
            + scarce * scarceMemoryCost;
    });
}

} // namespace fescue::serving
