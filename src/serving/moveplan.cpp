#include "fescue/serving/moveplan.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <limits>

namespace fescue::serving {

namespace {

// Time per output token on a busy engine; used to estimate whether a generation ends in time.
constexpr Millis tokenTime {10};
// Time from an engine's notice to its expected termination if the engine does not announce it: the
// shortest notice in the descriptions of the deployments.
constexpr Millis shortestNotice {1500};
// Estimates of the remaining output are often too low by this factor.
constexpr std::int64_t forecastMargin = 2;
// If a whole copy took no longer than this, the link is idle, and copying the rest causes no pause
// that callers notice: with the switch to the other engine it stays under the longest pause of the
// routes.
constexpr Millis quickCopyLimit {45};
// Time that the first call, and resuming at the destination, take in addition to the copy.
constexpr Millis stopMargin {150};
// Share of an engine's memory up to which moved generations may be expected to fill it. Higher than
// for new generations because a generation that is not moved is lost.
constexpr double memoryFillLimit = 0.97;
// Share of an engine's memory up to which a backup may be expected to fill it; leaves room for new
// generations.
constexpr double backupFillLimit = 0.55;
// Share of all engines' memory in use above which no backup is added: engines join and leave, and
// the free memory has to hold the generations of those that leave.
constexpr double backupMeanLimit = 0.45;
// Cost of a backup in another availability zone for its traffic, as a share of an engine's memory.
constexpr double backupOtherZoneCost = 0.25;
// Cost of a full destination, in milliseconds; grows with the square of the share of its memory
// that is expected to be in use.
constexpr double fullMemoryCost = 300;
// Maximum of the random part of the cost, in milliseconds, so that processes with the same view do
// not all choose the same engine. Equals the time of one copy over an idle link.
constexpr double spreadCost = 250;
// Cost of an endpoint that failed recently; makes it the last choice.
constexpr double suspectCost = 1e6;
// Cost of a cold engine, in milliseconds: it works more slowly and accepts few requests.
constexpr double coldCost = 150;
// Bits per megabit divided by milliseconds per second.
constexpr double bitsPerMegabitMilli = 1000;

// Returns the share of memory in use over the engines whose load is known.
double meanFill(std::span<const EndpointView *const> candidates, const EngineModel &model,
                const PlacementView &view)
{
    const double memory = static_cast<double>(std::max<std::uint64_t>(model.memoryTokens, 1));
    double used = 0;
    std::size_t n = 0;
    for (const EndpointView *candidate : candidates) {
        if (!view.isZoneLoadKnown(candidate->record.zone))
            continue;
        const EndpointLoad load = view.ledger.total(view.now, candidate->record.name);
        used += static_cast<double>(load.memoryTokens);
        ++n;
    }
    return n == 0 ? 0 : used / memory / static_cast<double>(n);
}

} // namespace

std::string_view toString(MoveVerdict verdict) noexcept
{
    switch (verdict) {
    case MoveVerdict::Move:
        return "move";
    case MoveVerdict::EndsInTime:
        return "ends-in-time";
    case MoveVerdict::NotSupported:
        return "not-supported";
    case MoveVerdict::NoDestination:
        return "no-destination";
    }
    return "unknown";
}

void LinkQueue::addCopy(const EndpointName &destination, Millis now, Millis duration)
{
    std::erase_if(m_busyUntil, [now](const std::pair<const EndpointName, Millis> &entry) {
        return entry.second <= now;
    });
    m_busyUntil[destination] = now + backlog(destination, now) + duration;
}

Millis LinkQueue::backlog(const EndpointName &destination, Millis now) const
{
    const auto it = m_busyUntil.find(destination);
    return it == m_busyUntil.end() ? Millis {0} : std::max(it->second - now, Millis {0});
}

CopyStep stepAfterCopy(Millis took) noexcept
{
    return took <= quickCopyLimit ? CopyStep::Stop : CopyStep::HandOver;
}

Millis expectedEnd(Millis noticeAt) noexcept
{
    return noticeAt + shortestNotice;
}

bool copyFits(std::string_view requestId, Millis left, Millis allCopies, Millis copy)
{
    const Millis usable = left - stopMargin;
    if (usable < copy)
        return false;
    if (allCopies <= usable)
        return true;
    constexpr std::uint64_t steps = 1'000'000;
    const std::uint64_t place = rendezvousScore("copies", requestId) % steps;
    return place * static_cast<std::uint64_t>(allCopies.count)
        < steps * static_cast<std::uint64_t>(usable.count);
}

Millis copyTime(const EngineModel &model, std::uint64_t tokens, bool sameZone)
{
    if (model.linkMegabitsPerSecond <= 0)
        return {0};
    const double bits = static_cast<double>(tokens * model.bytesPerToken) * 8;
    const double millis = bits / (model.linkMegabitsPerSecond * bitsPerMegabitMilli);
    return {static_cast<std::int64_t>(sameZone ? millis : 2 * millis)};
}

const EndpointView *chooseBackup(const EndpointView &engine, std::uint64_t reservedTokens,
                                 std::span<const EndpointView *const> candidates,
                                 const EngineModel &model, const PlacementView &view)
{
    if (!model.canBackUp)
        return nullptr;
    const double memory = static_cast<double>(std::max<std::uint64_t>(model.memoryTokens, 1));
    if (meanFill(candidates, model, view) > backupMeanLimit)
        return nullptr;
    const EndpointView *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const EndpointView *candidate : candidates) {
        const EndpointRecord &record = candidate->record;
        if (record.name == engine.record.name || view.health.isSuspect(view.now, record.name))
            continue;
        const EndpointLoad load = view.ledger.total(view.now, record.name);
        const double filled = static_cast<double>(load.memoryTokens + reservedTokens) / memory;
        if (filled > backupFillLimit)
            continue;
        const double cost = filled + (record.zone == engine.record.zone ? 0 : backupOtherZoneCost);
        // An engine whose load is unknown may have no room to spare.
        if (!view.isZoneLoadKnown(record.zone))
            continue;
        if (cost < least) {
            least = cost;
            best = candidate;
        }
    }
    return best;
}

MoveDecision planMove(const EndpointView &source, const MovingRun &run,
                      std::span<const EndpointView *const> candidates, const EngineModel &model,
                      const PlacementView &view, const PlacementDemand &demand,
                      const LinkQueue &links, double uniform)
{
    const Millis left = run.engineEndsAt - view.now;
    const Millis needed = tokenTime * static_cast<std::int64_t>(run.remainingTokens);
    if (needed * forecastMargin < left)
        return {MoveVerdict::EndsInTime, nullptr};
    if (!model.canMove)
        return {MoveVerdict::NotSupported, nullptr};
    const double memory = static_cast<double>(std::max<std::uint64_t>(model.memoryTokens, 1));
    const EndpointView *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const EndpointView *candidate : candidates) {
        const EndpointRecord &record = candidate->record;
        if (record.name == source.record.name || demand.excluded.contains(record.name))
            continue;
        if (!view.hasColdShareLeft(*candidate))
            continue;
        const EndpointLoad load = view.ledger.total(view.now, record.name);
        const double filled = static_cast<double>(load.memoryTokens + run.reservedTokens) / memory;
        if (filled > memoryFillLimit || load.requests >= model.slots)
            continue;
        const bool sameZone = record.zone == source.record.zone;
        const Millis copy =
            links.backlog(record.name, view.now) + copyTime(model, run.memoryTokens, sameZone);
        double cost = static_cast<double>(copy.count) + filled * filled * fullMemoryCost;
        if (view.isLarge)
            cost += view.zoneCost(record.zone, endpointJitter(uniform, record.name));
        cost += spreadCost * endpointJitter(uniform, record.name);
        if (candidate->isCold(view.now))
            cost += coldCost;
        if (view.health.isSuspect(view.now, record.name))
            cost += suspectCost;
        if (cost < least) {
            least = cost;
            best = candidate;
        }
    }
    if (best == nullptr)
        return {MoveVerdict::NoDestination, nullptr};
    return {MoveVerdict::Move, best};
}

} // namespace fescue::serving
