#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::serving {

// An operator's order to move the requests of a service to endpoints of another software version.
struct RolloutOrder
{
    ServiceName service;
    std::string version;
    // Time in which the roll-out has to end.
    Millis duration {0};
    // Revision at which the order was written; tells orders of the same contents apart.
    net::StoreRevision revision;

    // Returns true if a message about an order may be about this one: a restored store gives the
    // same order another revision in a later era.
    [[nodiscard]] bool mayBe(net::StoreRevision otherRevision, std::string_view otherVersion,
                             Millis otherDuration) const noexcept
    {
        return otherRevision == revision
            || (otherRevision.era != revision.era && otherVersion == version
                && otherDuration == duration);
    }

    bool operator==(const RolloutOrder &) const = default;
};

// Steps of a roll-out, in their order.
enum class RolloutStage : std::uint8_t
{
    // A limited share of the requests goes to the new version.
    Canary,
    // Growing shares go to the new version.
    Fifth,
    TwoFifths,
    ThreeFifths,
    // No new request goes to the old versions; running ones are moved or end there.
    Closing,
    // Only the new version is used.
    Completed,
    // The new version gets nothing.
    Reverted,
};

[[nodiscard]] std::string_view toString(RolloutStage stage) noexcept;
// Returns nullopt for a text that names no stage.
[[nodiscard]] std::optional<RolloutStage> parseRolloutStage(std::string_view text) noexcept;

// State of a roll-out as it lies in the store.
struct RolloutRecord
{
    ServiceName service;
    std::string version;
    Millis duration {0};
    RolloutStage stage = RolloutStage::Canary;
    // Number of the record's writes for this order; a greater one is later.
    std::uint64_t change = 0;
    // Revision of the order to which the record belongs.
    net::StoreRevision order;
    // Wall-clock time at which the order was first seen, for processes that start later.
    Millis beganAtWall {0};
    std::string reason;

    [[nodiscard]] bool isDecided() const noexcept
    {
        return stage == RolloutStage::Completed || stage == RolloutStage::Reverted;
    }
    // Returns true if the record belongs to the order, also if the order was repeated, or the store
    // was restored and the order written again.
    [[nodiscard]] bool belongsTo(const RolloutOrder &rolloutOrder) const noexcept;

    bool operator==(const RolloutRecord &) const = default;
};

// Returns true if a record is a later state than another one of the same order. Decided states are
// later than all others, so a decision is never taken back. The order is total for states that
// differ in stage or change, so all processes settle on the same one.
[[nodiscard]] bool isLaterState(const RolloutRecord &record, const RolloutRecord &other) noexcept;

// Returns true if the store has lost the known state of an order, which is then written again.
// `stored` is null if the store has no valid record of the service.
[[nodiscard]] bool isLostByStore(const RolloutOrder &order, const RolloutRecord &known,
                                 const RolloutRecord *stored) noexcept;

// Points in time of a roll-out, counted from its order.
struct RolloutSchedule
{
    explicit RolloutSchedule(Millis duration) noexcept;

    // Time from which the share may grow above that of the canary.
    Millis growAt;
    // Time at which requests to the old versions end at the latest.
    Millis closeAt;
    // Time from which generations move away from the old versions. Until then a version that turns
    // bad while it gets all new requests does not get the running ones too.
    Millis moveAt;
    // Time at which the decision is written at the latest.
    Millis decideAt;
    // Shortest time of a stage after the canary.
    Millis stageTime;
};

// Requests of a service since an order, and those of them that went to the new version.
struct RolloutCounts
{
    std::uint64_t requests = 0;
    std::uint64_t toNew = 0;

    RolloutCounts &operator+=(const RolloutCounts &other) noexcept
    {
        requests += other.requests;
        toNew += other.toNew;
        return *this;
    }
    bool operator==(const RolloutCounts &) const = default;
};

// What is known of a roll-out at one moment.
struct RolloutFacts
{
    // Time since the order, and since the record's last change.
    Millis elapsed {0};
    Millis inStage {0};
    bool isBad = false;
    // The evidence points to a bad version, but does not suffice: the version must not be
    // completed, or only its share must not grow yet.
    bool isDoubtful = false;
    bool isSuspicious = false;
    bool hasEnoughEvidence = false;
    // The order was removed.
    bool isCancelled = false;
    // No process has a request at an endpoint of the old versions.
    bool isOldIdle = false;
    // Counts of all processes, and the operator's limit on the requests to a bad version: a
    // fraction of the requests until the deadline, and a number in addition to it.
    RolloutCounts counts;
    double exposureShare = 1;
    std::uint32_t exposureAllowance = 0;
};

struct RolloutStep
{
    RolloutStage stage = RolloutStage::Canary;
    std::string_view reason;
};

// Returns the next step of a roll-out that is not decided, or nullopt if it stays in its stage.
[[nodiscard]] std::optional<RolloutStep> nextStep(const RolloutRecord &record,
                                                  const RolloutFacts &facts);

// Returns the fraction of the requests that may go to the new version in a stage. `exposureShare`
// is the operator's limit.
[[nodiscard]] double newVersionShare(RolloutStage stage, double exposureShare) noexcept;

} // namespace fescue::serving
