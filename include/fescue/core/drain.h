#pragma once

#include "fescue/core/clock.h"

#include <cstddef>
#include <cstdint>

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

// The graceful shutdown of one process. It ends no request: it waits until every caller has had
// time to ask the directory again, and then until everything that is open has ended.
class DrainMachine
{
public:
    // `directoryTtl` is the longest time for which callers keep a directory answer.
    explicit DrainMachine(Millis directoryTtl) noexcept : m_directoryTtl(directoryTtl) { }

    // Handles a request to stop, such as SIGTERM. A repeated one asks what is open.
    [[nodiscard]] DrainStep stop(Millis now) noexcept;

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
    DrainPhase m_phase = DrainPhase::Serving;
    Millis m_withdrawnAt {0};
};

} // namespace fescue
