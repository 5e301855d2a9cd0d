#pragma once

#include "fescue/serving/placement.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace fescue::serving {

// A running generation on an engine that is leaving.
struct MovingRun
{
    // Memory in use now, in tokens.
    std::uint64_t memoryTokens = 0;
    // Memory that the generation reserves at its destination, in tokens.
    std::uint64_t reservedTokens = 0;
    // Number of output tokens that are expected to follow.
    std::uint64_t remainingTokens = 0;
    // Time at which the engine is expected to terminate.
    Millis engineEndsAt {0};
};

// Why a generation is or is not moved.
enum class MoveVerdict : std::uint8_t
{
    Move,
    // The generation is expected to end before its engine terminates.
    EndsInTime,
    // The service's engines do not support moving generations.
    NotSupported,
    // No engine has room.
    NoDestination,
};

[[nodiscard]] std::string_view toString(MoveVerdict verdict) noexcept;

struct MoveDecision
{
    MoveVerdict verdict = MoveVerdict::NoDestination;
    const EndpointView *destination = nullptr;
};

// Copies between engines that this process has started and that are still in progress. A link
// carries one copy at a time.
class LinkQueue
{
public:
    void addCopy(const EndpointName &destination, Millis now, Millis duration);
    // Returns the time until a new copy to the destination could begin.
    [[nodiscard]] Millis backlog(const EndpointName &destination, Millis now) const;

private:
    std::map<EndpointName, Millis> m_busyUntil;
};

// Returns the time that a copy takes over an idle link; copies between availability zones take
// twice as long.
[[nodiscard]] Millis copyTime(const EngineModel &model, std::uint64_t tokens, bool sameZone);

enum class CopyStep : std::uint8_t
{
    // Resume at the destination from the copy, which reads the little that was added since.
    HandOver,
    // Stop the generation and copy the remaining memory.
    Stop,
};

// Returns the step after a complete copy of a running generation that took `took`. Stopping the
// generation delays its stream for as long as the remaining copy takes. That copy waits behind the
// copies of other generations on the same link, and is lost if the engine terminates before. So a
// generation is stopped only if the link is idle, which a quick copy shows; else it needs the link
// no more.
[[nodiscard]] CopyStep stepAfterCopy(Millis took) noexcept;

// Returns true if a generation's memory is to be copied from an engine that terminates after
// `left`. Copying all that the engine holds takes `allCopies`, the generation's own part `copy`,
// over an idle link. A link carries one copy at a time, and an interrupted copy occupies memory at
// its destination for seconds. So only as many copies are started as the link can carry. They are
// selected by request id: each process decides for its own generations, and all processes together
// start about as many copies as fit.
[[nodiscard]] bool copyFits(std::string_view requestId, Millis left, Millis allCopies, Millis copy);

// Returns the time at which an engine that gave notice is expected to terminate if it does not
// announce the time itself.
[[nodiscard]] Millis expectedEnd(Millis noticeAt) noexcept;

// Chooses the engine that stores a backup of a generation's memory as it grows, in case the
// generation's own engine terminates: the engine with the most room. One in another availability
// zone is chosen only if it has much more room. Returns null if the model has no backups, if little
// memory is free over all engines, or if no engine has room to spare.
[[nodiscard]] const EndpointView *chooseBackup(const EndpointView &engine,
                                               std::uint64_t reservedTokens,
                                               std::span<const EndpointView *const> candidates,
                                               const EngineModel &model, const PlacementView &view);

// Decides whether a generation is moved off its engine, and to which one: of the engines with room,
// the one with the lowest cost. The cost is the time until the copy is complete, plus terms for
// memory use, zone, cold start, recent failures and a random part. `uniform` in [0, 1) spreads the
// generations of many processes over the engines.
[[nodiscard]] MoveDecision planMove(const EndpointView &source, const MovingRun &run,
                                    std::span<const EndpointView *const> candidates,
                                    const EngineModel &model, const PlacementView &view,
                                    const PlacementDemand &demand, const LinkQueue &links,
                                    double uniform);

} // namespace fescue::serving
