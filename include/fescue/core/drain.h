#pragma once

#include "fescue/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fescue {

enum class DrainPhase : std::uint8_t
{
    Serving,
    // Out of the directory; callers that kept an answer are still served.
    Withdrawn,
    // New requests are refused as not run; open ones go on.
    Refusing,
    // Nothing is open: the process may exit.
    Finished,
};

// What a process has to do at a step of its shutdown.
enum class DrainStep : std::uint8_t
{
    None,
    // Mark this member as leaving, in the store and towards peers.
    LeaveDirectory,
    RefuseNew,
    // Log what is still open.
    ReportOpen,
    Exit,
};

struct DrainLimits
{
    // Time in which every other member learns of a change of the membership.
    Millis spreadTime = 3_s;
    // Longest time to wait for the confirmation that this member is marked as leaving.
    Millis confirmLimit = 5_s;
};

// The graceful shutdown of one process. It ends no request: it waits until every caller has had
// time to ask the directory again, and then until everything that is open has ended.
class DrainMachine
{
public:
    // `directoryTtl` is the longest time for which callers keep a directory answer.
    explicit DrainMachine(Millis directoryTtl, DrainLimits limits = {}) noexcept;

    // Handles a request to stop, such as SIGTERM. A repeated one asks what is open.
    [[nodiscard]] DrainStep stop(Millis now) noexcept;

    // Records that the store or the peers know that this member leaves. Until then, directories may
    // still name it.
    void withdrawalConfirmed(Millis now) noexcept;

    // Advances the shutdown. `open` counts requests, streams and outcomes still to be written.
    [[nodiscard]] DrainStep tick(Millis now, std::size_t open) noexcept;

    // Records that the configuration has raised the time for which answers are kept. A lower value
    // is ignored, since older answers are still out.
    void raiseDirectoryTtl(Millis ttl) noexcept;

    [[nodiscard]] bool acceptsNew() const noexcept;
    [[nodiscard]] bool listedInDirectory() const noexcept;
    [[nodiscard]] DrainPhase phase() const noexcept { return m_phase; }

private:
    Millis m_directoryTtl;
    DrainLimits m_limits;
    DrainPhase m_phase = DrainPhase::Serving;
    Millis m_stoppedAt {0};
    std::optional<Millis> m_confirmedAt;
};

} // namespace fescue
