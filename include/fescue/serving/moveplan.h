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
    // Memory that it is expected to need at its end.
    std::uint64_t finalMemoryTokens = 0;
    // Output tokens that are expected to be still to come.
    std::uint64_t remainingTokens = 0;
    // When the engine gave notice.
    Millis noticeAt {0};
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

// Decides whether a generation leaves its engine, and for which one: the engine where the copy is
// complete first, among those with room for the generation's end.
[[nodiscard]] MoveDecision planMove(const EndpointView &source, const MovingRun &run,
                                    std::span<const EndpointView *const> candidates,
                                    const EngineModel &model, const PlacementView &view,
                                    const PlacementDemand &demand, const LinkQueue &links);

} // namespace fescue::serving
