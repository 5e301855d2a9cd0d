#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace fescue::serving {

// Repeats that a process has taken out of the pool for a service.
struct RepeatsOf
{
    ServiceName service;
    std::uint32_t used = 0;
    bool operator==(const RepeatsOf &) const = default;
};

// The bound on repeats of requests to one service within a sliding window, for all processes
// together.
struct RepeatBound
{
    // Repeats that each request pays for.
    double share = 0.2;
    // Repeats beyond that, for all processes.
    double allowance = 50;
    Millis window = 10_s;
};

// What a repeat is for.
enum class RepeatUse : std::uint8_t
{
    // Work that has begun and would be lost.
    Rescue,
    // A request that an endpoint turned away without working on it; its caller can come back.
    Rejected,
};

// The part of one process in the bound on repeats to one service.
//
// The allowance is a pool for all processes. Each tells the others how much it has used; one that
// is not heard is taken to have used an equal part. So two sides that do not hear each other use
// their parts of the pool at most, and one process may use most of it while the others use little.
// A part of the allowance stays outside the pool, for what is taken before the others hear of it.
class RepeatBudget
{
public:
    // Part of the allowance that makes up the pool.
    static constexpr double poolPart = 0.7;
    // Part of the share that is used, since requests are counted by their callers, and some never
    // arrive here.
    static constexpr double sharePart = 0.8;
    // Part of the pool that requests which were turned away may use; the rest is for rescues.
    static constexpr double rejectedPart = 0.5;
    // A peer that has told nothing for this time is not heard.
    static constexpr Millis peerLifetime = 1500_ms;

    explicit RepeatBudget(RepeatBound bound = {}) noexcept : m_bound(bound) { }

    // Records a request to the service, which pays for a part of a repeat.
    void recordRequest(Millis now);
    // Records what a peer says it has taken out of the pool within its window.
    void peerTold(Millis now, const MemberName &peer, std::uint32_t used);
    // Takes one repeat; false where none is left. `members` are the processes that may live.
    [[nodiscard]] bool tryTake(Millis now, std::size_t members, RepeatUse use = RepeatUse::Rescue);
    // Repeats that this process has taken out of the pool within the window.
    [[nodiscard]] std::uint32_t poolUsed(Millis now);

private:
    struct PeerUse
    {
        Millis at {0};
        std::uint32_t used = 0;
    };

    void expire(Millis now);
    // What peers have used; those that are not heard count with an equal part of `pool`.
    [[nodiscard]] double usedByPeers(Millis now, std::size_t members, double pool) const;

    RepeatBound m_bound;
    std::deque<Millis> m_requests;
    std::deque<Millis> m_paidByRequests;
    std::deque<Millis> m_paidByPool;
    std::map<MemberName, PeerUse> m_peers;
};

} // namespace fescue::serving
