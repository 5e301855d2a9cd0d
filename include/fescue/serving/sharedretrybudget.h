#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace fescue::serving {

// Number of retries that a process has taken out of the pool of a service.
struct ServiceRetries
{
    ServiceName service;
    std::uint32_t used = 0;
    bool operator==(const ServiceRetries &) const = default;
};

// The limit on retries of requests to one service within a sliding window, for all processes
// together.
struct RetryLimit
{
    // Retries that each request adds to the budget.
    double retriesPerRequest = 0.2;
    // Retries in addition to that, for all processes together.
    double allowance = 50;
    Millis window = 10_s;
};

// The purpose of a retry.
enum class RetryPurpose : std::uint8_t
{
    // Saves work that has begun and would be lost.
    Rescue,
    // Sends a request again that an endpoint rejected without working on it; its caller could also
    // retry.
    Rejected,
};

// The retry budget of one process for one service: its share in a limit for all processes.
//
// The allowance is a pool that all processes share. Each process reports to the others how much it
// has used; one without a recent report is assumed to have used an equal share. So the two sides of
// a network partition use at most their shares of the pool, and one process may use most of the
// pool while the others use little. Some of the allowance stays outside the pool, as a reserve
// for retries that are taken before the others receive the report of them.
class SharedRetryBudget
{
public:
    // Fraction of the allowance that makes up the pool.
    static constexpr double poolFraction = 0.7;
    // Fraction of RetryLimit::retriesPerRequest that is used: the limit refers to requests as
    // counted by callers, and some of them never arrive at this process.
    static constexpr double usedShareFraction = 0.8;
    // Fraction of the pool that rejected requests may use; the rest is reserved for rescues.
    static constexpr double rejectedFraction = 0.5;
    // A peer's report counts for this time.
    static constexpr Millis peerLifetime = 1500_ms;

    explicit SharedRetryBudget(RetryLimit limit = {}) noexcept : m_retryLimit(limit) { }

    // Records a request to the service, which adds a fraction of a retry to the budget.
    void recordRequest(Millis now);
    // Records the number of retries that a peer reports to have taken out of the pool within its
    // window.
    void peerReported(Millis now, const MemberName &peer, std::uint32_t used);
    // Takes one retry out of the budget. Returns false if none is left. `members` is the number of
    // processes that may be running, this one included.
    [[nodiscard]] bool tryTake(Millis now, std::size_t members,
                               RetryPurpose purpose = RetryPurpose::Rescue);
    // Returns the number of retries that this process has taken out of the pool within the window.
    [[nodiscard]] std::uint32_t poolUsed(Millis now);

private:
    struct PeerUse
    {
        Millis at {0};
        std::uint32_t used = 0;
    };

    void expire(Millis now);
    // Returns the number of retries that peers have used; those without a recent report count with
    // an equal share of `pool`.
    [[nodiscard]] double usedByPeers(Millis now, std::size_t members, double pool) const;

    RetryLimit m_retryLimit;
    std::deque<Millis> m_requests;
    std::deque<Millis> m_paidByRequests;
    std::deque<Millis> m_paidByPool;
    std::map<MemberName, PeerUse> m_peers;
};

} // namespace fescue::serving
