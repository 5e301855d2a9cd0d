#include "fescue/serving/rolloutplan.h"

#include <algorithm>
#include <array>

namespace fescue::serving {

namespace {

constexpr std::array<std::string_view, 7> stageNames {
    "canary", "fifth", "two-fifths", "three-fifths", "closing", "completed", "reverted"};
// Fraction of the operator's limit that the canary uses. The rest is for requests that reach a bad
// version in the later stages, until it is found.
constexpr double canaryFraction = 0.6;
// Limits of the time for the stages between canary and closing, all together, and for closing.
constexpr Millis minPhase = 1500_ms;
constexpr Millis maxPhase = 6_s;
constexpr std::int64_t phaseDivisor = 5;
// Limits of the time from the latest decision to the deadline.
constexpr Millis minMargin = 300_ms;
constexpr Millis maxMargin = 1500_ms;
constexpr std::int64_t marginDivisor = 20;
constexpr std::int64_t growingStages = 3;
// A stage between canary and closing that is shorter shows too little.
constexpr Millis minStageTime = 750_ms;
// Time in which a version that turns bad while it gets all requests is found: slow answers under
// load, a report and a permit.
constexpr double reactionMillis = 1000;
// Fraction of the present rate of requests that is expected until the deadline.
constexpr double expectedRate = 0.8;

// Returns true if a version that turns bad in the next stage or right after it stays within the
// operator's limit. The stage may last until closing.
bool mayGrow(RolloutStage next, const RolloutFacts &facts, const RolloutSchedule &schedule,
             Millis duration) noexcept
{
    if (facts.counts.requests == 0)
        return true;
    const Millis left = schedule.closeAt - facts.elapsed;
    if (left < minStageTime)
        return false;
    const double requests = static_cast<double>(facts.counts.requests);
    const double rate = requests / static_cast<double>(std::max(facts.elapsed, 1_ms).count);
    const Millis remaining = std::max(duration - facts.elapsed, Millis {0});
    const double expected = requests + expectedRate * rate * static_cast<double>(remaining.count);
    const double limit = facts.exposureShare * expected + facts.exposureAllowance;
    const double inStage =
        newVersionShare(next, facts.exposureShare) * static_cast<double>(left.count);
    return static_cast<double>(facts.counts.toNew) + rate * (inStage + reactionMillis) <= limit;
}

} // namespace

std::string_view toString(RolloutStage stage) noexcept
{
    return stageNames[static_cast<std::size_t>(stage)];
}

std::optional<RolloutStage> parseRolloutStage(std::string_view text) noexcept
{
    const auto it = std::find(stageNames.begin(), stageNames.end(), text);
    if (it == stageNames.end())
        return std::nullopt;
    return static_cast<RolloutStage>(it - stageNames.begin());
}

bool RolloutRecord::belongsTo(const RolloutOrder &rolloutOrder) const noexcept
{
    if (version != rolloutOrder.version)
        return false;
    if (stage == RolloutStage::Completed)
        return true;
    // Only after a reversal does an order of the same contents begin anew.
    const bool isSameOrder = order == rolloutOrder.revision
        || order.era != rolloutOrder.revision.era || stage != RolloutStage::Reverted;
    return duration == rolloutOrder.duration && isSameOrder;
}

bool isLaterState(const RolloutRecord &record, const RolloutRecord &other) noexcept
{
    if (record.isDecided() != other.isDecided())
        return record.isDecided();
    if (record.change != other.change)
        return record.change > other.change;
    if (record.stage == other.stage)
        return false;
    // Endpoints of the old versions stop with a completion, so it stands.
    return record.isDecided() ? record.stage == RolloutStage::Completed
                              : record.stage > other.stage;
}

bool isLostByStore(const RolloutOrder &order, const RolloutRecord &known,
                   const RolloutRecord *stored) noexcept
{
    if (stored == nullptr)
        return true;
    // The record of a later order that this process does not know yet must stay.
    if (!stored->belongsTo(order))
        return stored->order < order.revision;
    const bool isSame = stored->stage == known.stage && stored->change == known.change;
    return !isSame && !isLaterState(*stored, known);
}

RolloutSchedule::RolloutSchedule(Millis duration) noexcept
{
    const Millis phase = std::clamp(duration / phaseDivisor, minPhase, maxPhase);
    const Millis margin = std::clamp(duration / marginDivisor, minMargin, maxMargin);
    decideAt = duration - margin;
    closeAt = decideAt - phase;
    moveAt = closeAt + phase / 2;
    growAt = closeAt - phase;
    stageTime = phase / growingStages;
}

std::optional<RolloutStep> nextStep(const RolloutRecord &record, const RolloutFacts &facts)
{
    if (record.isDecided())
        return std::nullopt;
    if (facts.isBad)
        return RolloutStep {RolloutStage::Reverted, "the new version is bad"};
    if (facts.isCancelled)
        return RolloutStep {RolloutStage::Reverted, "the order was removed"};
    const RolloutSchedule schedule(record.duration);
    const bool isSound = facts.hasEnoughEvidence && !facts.isDoubtful;
    if (record.stage == RolloutStage::Closing) {
        const bool isLast = facts.elapsed >= schedule.decideAt;
        if (isSound && facts.isOldIdle && !facts.isSuspicious)
            return RolloutStep {RolloutStage::Completed, "the old versions are idle"};
        if (!isLast)
            return std::nullopt;
        return isSound ? RolloutStep {RolloutStage::Completed, "the time is over"}
                       : RolloutStep {RolloutStage::Reverted, "the evidence is not sound in time"};
    }
    if (facts.elapsed >= schedule.decideAt)
        return RolloutStep {RolloutStage::Reverted, "the evidence is not sound in time"};
    // Late in the order a larger share decides, since few answers neither confirm nor refute.
    const bool isSuspicious = facts.isSuspicious && facts.elapsed < schedule.moveAt;
    if (!isSound || isSuspicious)
        return std::nullopt;
    if (facts.elapsed >= schedule.closeAt)
        return RolloutStep {RolloutStage::Closing, "sound, time for the last requests"};
    const bool isCanary = record.stage == RolloutStage::Canary;
    const bool isDue =
        isCanary ? facts.elapsed >= schedule.growAt : facts.inStage >= schedule.stageTime;
    if (!isDue || record.stage == RolloutStage::ThreeFifths)
        return std::nullopt;
    const RolloutStage next = static_cast<RolloutStage>(static_cast<int>(record.stage) + 1);
    if (!mayGrow(next, facts, schedule, record.duration))
        return std::nullopt;
    return RolloutStep {next, "sound"};
}

double newVersionShare(RolloutStage stage, double exposureShare) noexcept
{
    switch (stage) {
    case RolloutStage::Canary:
        return exposureShare * canaryFraction;
    case RolloutStage::Fifth:
        return 0.2;
    case RolloutStage::TwoFifths:
        return 0.4;
    // The old versions keep enough for the comparison.
    case RolloutStage::ThreeFifths:
        return 0.6;
    case RolloutStage::Reverted:
        return 0;
    default:
        return 1;
    }
}

} // namespace fescue::serving
