#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/deadline.h"

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
    // No connection is accepted any more; requests that are read or served end with an answer.
    Closing,
    // Nothing is open, or the time is over: the process exits.
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
    // Stop listening, and end each connection with its next answer.
    CloseConnections,
    // The time is nearly over: refuse new requests and those that wait, and close connections.
    RefuseAll,
    Exit,
    // The time is over: what is open is cut.
    GiveUp,
};

struct DrainLimits
{
    // Time in which every other member learns of a change of the membership.
    Millis spreadTime = 3_s;
    // Longest time to wait for the confirmation that this member is marked as leaving.
    Millis confirmLimit = 5_s;
    // Longest shutdown; not limited where absent.
    std::optional<Millis> grace;
    // Last part of the longest shutdown, in which callers that are refused get their answers.
    Millis answerTime = 1_s;
    // Longest time to wait for connections to end once nothing else is open.
    Millis closeTime = 12_s;
};

// True where a call with this deadline has ended by the end of its process.
[[nodiscard]] bool endsBefore(Deadline call, Deadline processEnd) noexcept;

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
    // Nothing can be open any more where this is zero after connectionsClosed().
    [[nodiscard]] DrainStep tick(Millis now, std::size_t open) noexcept;

    // Records that the configuration has raised the time for which answers are kept. A lower value
    // is ignored, since older answers are still out.
    void raiseDirectoryTtl(Millis ttl) noexcept;

    // Records that every connection has ended and none can come any more.
    void connectionsClosed() noexcept { m_connectionsClosed = true; }

    // The time by which calls must have ended to be answered; not set before stop().
    [[nodiscard]] Deadline lastCallEnd() const noexcept { return m_lastCallEnd; }

    [[nodiscard]] bool acceptsNew() const noexcept;
    [[nodiscard]] bool listedInDirectory() const noexcept;
    [[nodiscard]] DrainPhase phase() const noexcept { return m_phase; }

private:
    Millis m_directoryTtl;
    DrainLimits m_limits;
    DrainPhase m_phase = DrainPhase::Serving;
    Millis m_stoppedAt {0};
    std::optional<Millis> m_confirmedAt;
    Deadline m_lastCallEnd;
    Deadline m_end;
    Millis m_closingAt {0};
    bool m_connectionsClosed = false;
};

} // namespace fescue
