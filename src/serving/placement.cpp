#include "fescue/serving/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescue::serving {

namespace {

// Costs below are in milliseconds of expected delay.

// Prompt tokens that an idle engine reads in a millisecond; from the engine sheets.
constexpr double idlePrefillTokensPerMilli = 14;
// The same beside others, shared by all prompts that wait there: steps that make tokens take half.
constexpr double prefillTokensPerMilli = idlePrefillTokensPerMilli / 2;
// A request slows each step of an engine by about this much over a generation's events that reach
// the caller; from the engine sheets' step time for each slot.
constexpr double crowdCostPerRequest = 6;
// A prompt is read between the tokens of the requests that run there, which delays each of them by
// its reading time on an idle engine. Those requests are already on time, so the delay weighs half.
constexpr double neighbourDelayWeight = 0.5;
// Memory in use raises the risk of preemption; cost at a full engine.
constexpr double fullMemoryCost = 400;
// Above this part in use, forecasts that are too low make a request wait for memory, or preempt
// others. Cost at a full engine: most of a target latency.
constexpr double scarceMemory = 0.6;
constexpr double scarceMemoryCost = 3000;
// Calls to another availability zone cost money and a few milliseconds.
constexpr double nearZoneCost = 8;
// In a large system the loads of other zones are known as of a second ago: what may have come
// since, and a random part, since all processes of other zones see the same figures.
constexpr double knownZoneCost = 500;
constexpr double knownZoneSpread = 200;
// Where the loads of other zones are not known, they are used when the own one is full: more than
// the prompts that wait at a busy engine cost.
constexpr double unknownZoneCost = 800;
// A cold engine works more slowly for a while.
constexpr double coldCost = 60;
// A suspect endpoint is chosen only where no other can be.
constexpr double suspectCost = 1e6;
// Random part, so that processes with the same view do not all choose the same endpoint.
constexpr double jitterCost = 10;
// Part of an engine's memory that new generations may be expected to fill. The most urgent kind may
// use some more, so that less urgent ones never leave it without a place.
constexpr double memoryFillLimit = 0.9;
constexpr double urgentFillLimit = 1.05;
// Time that a plain request takes in a slot, for comparing load with distance.
constexpr double plainServiceMillis = 30;

bool mayUse(const EndpointView &endpoint, const PlacementView &view, const PlacementDemand &demand)
{
    if (demand.excluded.contains(endpoint.record.name))
        return false;
    return view.coldPartLeft(endpoint);
}

// Part of the engine's memory that is in use with the new generation.
double filledPart(const EndpointLoad &load, const EngineModel &model, const PlacementDemand &demand)
{
    const double memory = static_cast<double>(std::max<std::uint64_t>(model.memoryTokens, 1));
    return static_cast<double>(load.memoryTokens + demand.memoryTokens) / memory;
}

bool hasRoom(const EndpointLoad &load, const EngineModel &model, const PlacementDemand &demand)
{
    const double limit = demand.mostUrgent ? urgentFillLimit : memoryFillLimit;
    return filledPart(load, model, demand) <= limit && load.requests < model.slots;
}

double commonCost(const EndpointView &endpoint, const PlacementView &view, double uniform)
{
    double cost = jitterCost * spread(uniform, endpoint.record.name);
    cost += view.zoneCost(endpoint.record.zone, spread(uniform, endpoint.record.name));
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

bool PlacementView::coldPartLeft(const EndpointView &endpoint) const
{
    const EndpointName &name = endpoint.record.name;
    return !endpoint.isCold(now)
        || coldGate.wouldTake(now, name, coldShares.part(now, name, coldPerSecond));
}

bool PlacementView::knowsLoadIn(const ZoneName &other) const
{
    return !isLarge || other == zone || ledger.hearsZone(now, other);
}

double PlacementView::zoneCost(const ZoneName &other, double uniform) const
{
    if (other == zone)
        return 0;
    if (!knowsLoadIn(other))
        return unknownZoneCost;
    return isLarge ? knownZoneCost + knownZoneSpread * uniform : nearZoneCost;
}

double spread(double uniform, const EndpointName &name)
{
    // The finishing steps of SplitMix64, so that every endpoint is as likely as another to be
    // first.
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
        const double filled = filledPart(load, model, demand);
        const double prefill =
            static_cast<double>(load.prefillTokens + demand.prefillTokens) / prefillTokensPerMilli;
        // An engine whose load is not known may be full.
        const std::uint32_t others =
            view.knowsLoadIn(endpoint.record.zone) ? load.requests : model.slots;
        const double delayOfOthers = others * neighbourDelayWeight
            * static_cast<double>(demand.prefillTokens) / idlePrefillTokensPerMilli;
        const double scarce = std::max(filled - scarceMemory, 0.0);
        return commonCost(endpoint, view, uniform) + prefill + delayOfOthers
            + load.requests * crowdCostPerRequest + filled * filled * fullMemoryCost
            + scarce * scarceMemoryCost;
    });
}

} // namespace fescue::serving
