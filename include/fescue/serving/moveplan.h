#pragma once

#include "fescue/serving/placement.h"

#include <cstdint>
#include <optional>
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

struct EngineAt
{
    EndpointName name;
    ZoneName zone;
};

// The links between engines, as far as this process knows what they carry. A link carries one copy
// after the other, and a copy holds the links of both engines from its turn on: one that waits for
// a busy destination keeps all others of its engine waiting.
class LinkQueue
{
public:
    // Sets the engines that are about to go. Those of an availability zone share its others as
    // destinations, the same way in the view of all processes, so that their copies do not meet on
    // one link.
    void setLeaving(std::vector<EngineAt> engines) { m_leaving = std::move(engines); }
    void begin(const EndpointName &destination, Millis now, Millis duration);
    // Time until a copy of this process to the destination could begin.
    [[nodiscard]] Millis backlog(const EndpointName &destination, Millis now) const;
    // The same with the copies that other engines are expected to send there.
    [[nodiscard]] Millis expectedWait(const EndpointName &source, const EngineAt &destination,
                                      Millis now) const;

private:
    std::map<EndpointName, Millis> m_busyUntil;
    std::vector<EngineAt> m_leaving;
};

// Time that a copy takes over an idle link; copies between availability zones take twice as long.
[[nodiscard]] Millis copyTime(const EngineModel &model, std::uint64_t tokens, bool sameZone);

// Decides when a generation is stopped whose memory has been copied once while it ran on. Stopping
// it costs its caller the time that the rest takes, which waits behind the copies of other
// generations on the same link: so it runs on until those are done, or the engine is about to go.
// It is not copied again meanwhile, since that would hold the link up for the others.
class CopySchedule
{
public:
    // `leavesAt` is when the engine is expected to be gone.
    explicit CopySchedule(Millis leavesAt) noexcept : m_leavesAt(leavesAt) { }

    // Returns how long the generation runs on after a copy that took `took`.
    [[nodiscard]] Millis pauseBeforeStop(Millis now, Millis took) const noexcept;

private:
    Millis m_leavesAt;
};

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
