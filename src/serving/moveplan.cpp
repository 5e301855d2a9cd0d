#include "fescue/serving/moveplan.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <limits>

namespace fescue::serving {

namespace {

// Time for one output token on a busy engine, for telling whether a generation ends in time.
constexpr Millis tokenTime {10};
// An engine that gave notice may be gone after this time; from the shortest notice seen on the
// deployments' sheets.
constexpr Millis shortestNotice {1500};
// Forecasts of what remains are often this many times too low.
constexpr std::int64_t forecastMargin = 2;
// A copy of what is new that takes no longer than this leaves no pause that callers notice: with
// the change to the other engine it stays under the longest pause of the routes.
constexpr Millis quickCopy {45};
// Stopping, changing the connection and the first call take this much beyond the copy itself.
constexpr Millis stopMargin {150};
// Part of an engine's memory that moved generations may be expected to fill. Higher than for new
// ones: a generation that is not moved is lost.
constexpr double memoryFillLimit = 0.97;
// Part of an engine's memory that may be expected to fill where a backup is added; leaves room for
// new generations.
constexpr double backupFillLimit = 0.55;
// Part of all engines' memory in use above which no backup is added: engines come and go, and what
// is free has to take the generations of those that leave.
constexpr double backupMeanLimit = 0.45;
// Part of an engine's memory that a backup in another availability zone costs, for its traffic.
constexpr double backupOtherZoneCost = 0.25;
// Cost of memory in use at the destination, in milliseconds at a full engine.
constexpr double fullMemoryCost = 300;
// Random part of the cost, so that processes that see the same do not all choose the same engine:
// the time of one copy over an idle link.
constexpr double spreadCost = 250;
// An endpoint that lately failed is the last choice.
constexpr double suspectCost = 1e6;
// A cold engine works more slowly, and takes few requests.
constexpr double coldCost = 150;
// Bits in a megabit, times milliseconds in a second.
constexpr double bitsPerMegabitMilli = 1000;

// Part of the engines' memory that is in use, of those whose load is known.
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

void LinkQueue::begin(const EndpointName &destination, Millis now, Millis duration)
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

CopyStep CopySchedule::after(Millis now, Millis took) const noexcept
{
    const bool lastMoment = now + took + stopMargin >= m_leavesAt;
    return took <= quickCopy || lastMoment ? CopyStep::Stop : CopyStep::CopyAgain;
}

Millis expectedEnd(Millis noticeAt) noexcept
{
    return noticeAt + shortestNotice;
}

bool copyFits(std::string_view requestId, Millis left, std::uint32_t requests, Millis copy)
{
    const Millis usable = left - stopMargin;
    if (usable < copy)
        return false;
    const Millis all = copy * std::max<std::int64_t>(requests, 1);
    if (all <= usable)
        return true;
    constexpr std::uint64_t steps = 1'000'000;
    const std::uint64_t place = rendezvousScore("copies", requestId) % steps;
    return place * static_cast<std::uint64_t>(all.count)
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
        // Without its load nothing says that an engine has room to spare.
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
    if (!model.canMigrate)
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
