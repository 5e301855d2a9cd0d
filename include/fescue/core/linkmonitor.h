#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/clock.h"

#include <cstdint>

namespace fescue {

struct LinkLimits
{
    Millis heartbeatInterval = 500_ms;
    // A direction that has carried nothing for this time is silent.
    Millis silentAfter = 2_s;
    // A longer time between two ticks means that this process was paused.
    Millis pauseLimit = 1_s;
};

// A heartbeat message. Each side numbers its heartbeats and repeats the greatest number that it has
// received, so that each side learns whether its own messages arrive.
struct LinkHeartbeat
{
    std::uint64_t number = 0;
    std::uint64_t received = 0;
    bool operator==(const LinkHeartbeat &) const = default;
};

enum class LinkStep : std::uint8_t
{
    None,
    // Send nextHeartbeat() now.
    SendHeartbeat,
    // Nothing has arrived for too long: close the link and open a new one.
    CloseNothingReceived,
    // The peer has not acknowledged anything for too long: close the link and open a new one.
    CloseNothingAcknowledged,
};

// Watches one long connection for silence in either direction.
class LinkMonitor
{
public:
    explicit LinkMonitor(Millis now, LinkLimits limits = {}) noexcept;

    // Records that any message has arrived.
    void received(Millis now) noexcept { m_receivedAt = now; }

    // Records a heartbeat of the peer.
    void received(Millis now, const LinkHeartbeat &heartbeat) noexcept;

    // Returns what to do. Call it at least twice within each heartbeat interval.
    [[nodiscard]] LinkStep tick(Millis now) noexcept;

    // Makes the heartbeat to send now.
    [[nodiscard]] LinkHeartbeat nextHeartbeat(Millis now) noexcept;

private:
    LinkLimits m_limits;
    Millis m_receivedAt;
    Millis m_acknowledgedAt;
    Millis m_sentAt;
    Millis m_lastTick;
    std::uint64_t m_lastSent = 0;
    std::uint64_t m_lastAcknowledged = 0;
    std::uint64_t m_lastReceived = 0;
};

// Decides when to open a link again.
class ReconnectTimer
{
public:
    explicit ReconnectTimer(BackoffLimits limits = {100_ms, 2_s}) noexcept : m_backoff(limits) { }

    // Records that the link was lost or could not be opened. `uniform` is a random number in [0,
    // 1).
    void lost(Millis now, double uniform) noexcept { m_due = now + m_backoff.next(uniform); }
    // Records that the link has carried a message in each direction.
    void established() noexcept { m_backoff.reset(); }
    [[nodiscard]] bool due(Millis now) const noexcept { return now >= m_due; }

private:
    Backoff m_backoff;
    Millis m_due {0};
};

} // namespace fescue
