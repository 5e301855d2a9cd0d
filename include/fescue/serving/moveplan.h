#pragma once

#include "fescue/serving/placement.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace fescue::serving {

// A running generation on an engine that leaves.
struct MovingRun
{
    // Memory that it holds now, in tokens.
    std::uint64_t memoryTokens = 0;
    // Memory that counts against the engine that takes it.
    std::uint64_t reservedTokens = 0;
    // Output tokens that are expected to be still to come.
    std::uint64_t remainingTokens = 0;
    // When the engine is expected to be gone.
    Millis engineEndsAt {0};
};

// Why a generation is or is not moved.
enum class MoveVerdict : std::uint8_t
{
    Move,
    // It is expected to end before the engine does.
    EndsInTime,
    // The service's engines cannot pass on generations.
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

// Copies of memory that are under way between engines, as far as this process has begun them. A
// link carries one copy after the other.
class LinkQueue
{
public:
    void begin(const EndpointName &destination, Millis now, Millis duration);
    // Time until a copy to the destination could begin.
    [[nodiscard]] Millis backlog(const EndpointName &destination, Millis now) const;

private:
    std::map<EndpointName, Millis> m_busyUntil;
};

// Time that a copy takes over an idle link; copies between availability zones take twice as long.
[[nodiscard]] Millis copyTime(const EngineModel &model, std::uint64_t tokens, bool sameZone);

enum class CopyStep : std::uint8_t
{
    // Copy again what is new, while the generation runs on.
    CopyAgain,
    // Stop the generation and copy the rest.
    Stop,
};

// Decides when a generation that is being copied is stopped. Stopping it costs its caller the time
// that the rest takes, which waits behind the copies of other generations on the same link. So it
// is copied again, running, until a copy is quick; or until the engine is about to go.
class CopySchedule
{
public:
    // `leavesAt` is when the engine is expected to be gone.
    explicit CopySchedule(Millis leavesAt) noexcept : m_leavesAt(leavesAt) { }

    // Says what follows a copy that took this long.
    [[nodiscard]] CopyStep after(Millis now, Millis took) const noexcept;

private:
    Millis m_leavesAt;
};

// Says whether a generation's memory is copied from an engine that is gone after `left`, where
// `requests` generations run and a copy takes `copy` over an idle link. A link carries one copy
// after the other, and a copy that is cut off keeps memory at its destination for seconds. So only
// as many are begun as the link carries, chosen by their ids: each process decides for its own, and
// all together begin about as many as fit.
[[nodiscard]] bool copyFits(std::string_view requestId, Millis left, std::uint32_t requests,
                            Millis copy);

// When an engine that gave notice is expected to be gone, where it does not say so itself.
[[nodiscard]] Millis expectedEnd(Millis noticeAt) noexcept;

// Chooses the engine that keeps a copy of a generation's memory as it grows, for the case that its
// own engine goes: one in the same availability zone with the most room. Returns null where none
// has room to spare.
[[nodiscard]] const EndpointView *chooseBackup(const EndpointView &engine,
                                               std::uint64_t reservedTokens,
                                               std::span<const EndpointView *const> candidates,
                                               const EngineModel &model, const PlacementView &view);

// Decides whether a generation leaves its engine, and for which one: the engine where the copy is
// complete first, among those with room. `uniform` in [0, 1) spreads the
// generations of many processes over the engines.
[[nodiscard]] MoveDecision planMove(const EndpointView &source, const MovingRun &run,
                                    std::span<const EndpointView *const> candidates,
                                    const EngineModel &model, const PlacementView &view,
                                    const PlacementDemand &demand, const LinkQueue &links,
                                    double uniform);

} // namespace fescue::serving
