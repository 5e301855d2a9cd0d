#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/policy/fairqueue.h"
#include "fescue/serving/endpointhealth.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace fescue::serving {

// Identifies a request for a slot: a process in one of its lives, and a number that this life uses
// once.
struct SlotKey
{
    MemberName member;
    Incarnation incarnation;
    std::uint64_t number = 0;
    auto operator<=>(const SlotKey &) const = default;
};

// A request of a process for a slot at an endpoint of a plain service.
struct SlotAsk
{
    SlotKey key;
    ZoneName zone;
    // Empty if the request belongs to no account.
    AccountName account;
    // 0 is the most urgent.
    int priority = 0;
    // Time until the caller's deadline.
    Millis patience {0};
    // Time from now within which an answer has its full value.
    Millis target {0};
    // Endpoints that have been tried; used again only if there is no other.
    std::set<EndpointName> tried;
    // Endpoints that the request must not use: it may not be repeated there, or its process has no
    // share left of a cold one.
    std::set<EndpointName> excluded;
    bool operator==(const SlotAsk &) const = default;
};

enum class SlotVerdict : std::uint8_t
{
    Granted,
    // The request waits; another answer follows.
    Waiting,
    // No slot becomes free in time.
    Refused,
};

struct SlotAnswer
{
    SlotKey key;
    SlotVerdict verdict = SlotVerdict::Waiting;
    // Where the slot is; empty unless granted.
    EndpointName endpoint;
    bool operator==(const SlotAnswer &) const = default;
};

// What became of a slot.
enum class SlotUse : std::uint8_t
{
    // A success.
    Served,
    // An answer that reports a failure, or no answer.
    Failed,
    // The endpoint rejected the request or its connection.
    Rejected,
    // Nothing was sent.
    Unused,
};

struct SlotReturn
{
    SlotKey key;
    SlotUse use = SlotUse::Unused;
    // Time for which the slot was used.
    Millis took {0};
    bool operator==(const SlotReturn &) const = default;
};

// What a process holds of a broker's slots, waiting requests included.
struct SlotReport
{
    // The report covers the requests with lower numbers of this life, and all of earlier lives.
    SlotKey next;
    std::set<std::uint64_t> held;
    bool operator==(const SlotReport &) const = default;
};

// An endpoint that may get requests.
struct SlotEndpoint
{
    EndpointName name;
    ZoneName zone;
    std::uint32_t slots = 0;
    bool isCold = false;
};

// Hands out the slots of one plain service to the requests of all processes. Each endpoint has a
// limit on concurrent requests that follows its rejections (additive increase, multiplicative
// decrease: Chiu and Jain, 1989). Requests over the limits wait here, the most urgent first, among
// these fairly by account (start-time fair queueing: Goyal et al., 1996), and are refused at once
// if their turn would come too late. Has no clock of its own.
class SlotBroker
{
public:
    // Replaces the endpoints. State of those that stay is kept.
    void setEndpoints(std::span<const SlotEndpoint> endpoints);

    // Handles a request for a slot; a repeated one is answered as before. Returns the answers that
    // follow, at least one for this request.
    [[nodiscard]] std::vector<SlotAnswer> ask(Millis now, const SlotAsk &ask);
    // Takes back a slot, or a request for one. Returns the answers to others that follow.
    [[nodiscard]] std::vector<SlotAnswer> giveBack(Millis now, const SlotReturn &returned);
    // Takes back what a process no longer holds, as its returns may have been lost. Returns the
    // answers to others that follow.
    [[nodiscard]] std::vector<SlotAnswer> reconcile(Millis now, const SlotReport &report);
    // Takes back slots whose holder has not reported in time, and refuses requests whose turn comes
    // too late.
    [[nodiscard]] std::vector<SlotAnswer> expire(Millis now);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t granted() const noexcept { return m_leases.size(); }
    // Returns the number of concurrent requests that an endpoint may have.
    [[nodiscard]] double limitOf(const EndpointName &endpoint) const;

private:
    struct Endpoint
    {
        SlotEndpoint spec;
        double limit = 0;
        std::uint32_t used = 0;
        // Moving average of the time for which slots are used, in milliseconds.
        double meanMillis = 0;
        // Time of the last use of a slot that ended.
        Millis usedAt {0};
        Millis reducedAt {0};
    };

    struct Waiting
    {
        SlotAsk ask;
        Millis since {0};
        Millis deadline {0};
        RequestId id;
    };

    struct Lease
    {
        EndpointName endpoint;
        Millis expiresAt {0};
    };

    [[nodiscard]] static bool isFree(const Endpoint &endpoint) noexcept;
    [[nodiscard]] double costOf(Millis now, const Endpoint &endpoint, const SlotAsk &ask) const;
    // Returns true if a request may use an endpoint at all.
    [[nodiscard]] static bool mayUse(const Endpoint &endpoint, const SlotAsk &ask);
    [[nodiscard]] bool hasFree(const SlotAsk &ask) const;
    // Returns the free endpoint that suits the request best, or null if there is none, or if the
    // request fares better by waiting for one that is full.
    [[nodiscard]] Endpoint *choose(Millis now, const Waiting &waiting);
    // Returns the time until a full endpoint has a slot for one more request.
    [[nodiscard]] double waitAt(const Endpoint &endpoint) const;
    [[nodiscard]] SlotAnswer grant(Millis now, const SlotAsk &ask, Millis deadline,
                                   Endpoint &endpoint);
    // Returns the time that a request spends at the endpoints, and the time until it would get a
    // slot behind `ahead` others.
    [[nodiscard]] double meanMillis() const;
    [[nodiscard]] double waitMillis(std::size_t ahead) const;
    // Returns the longest wait after which the answer still comes within the target.
    [[nodiscard]] double longestWait(const SlotAsk &ask) const;
    [[nodiscard]] std::size_t aheadOf(const SlotAsk &ask) const;
    void learn(Millis now, Endpoint &endpoint, const SlotReturn &returned);
    void removeWaiting(std::map<SlotKey, Waiting>::iterator it);
    void removeLease(std::map<SlotKey, Lease>::iterator it);
    // Refuses those whose turn comes too late.
    void refuseLate(Millis now, std::vector<SlotAnswer> &answers);
    // Grants free slots to those who wait.
    void serveWaiting(Millis now, std::vector<SlotAnswer> &answers);
    // Grants a slot to the first request of an account, in the order of the queue, that takes one
    // of the free ones. Returns false if none does.
    [[nodiscard]] bool serveAccount(Millis now, FairQueue &queue, const AccountName &account,
                                    std::vector<SlotAnswer> &answers);

    std::map<EndpointName, Endpoint> m_endpoints;
    std::map<SlotKey, Lease> m_leases;
    std::map<SlotKey, Waiting> m_waiting;
    std::map<RequestId, SlotKey> m_keys;
    // Waiting requests by priority.
    std::map<int, FairQueue> m_queues;
    EndpointHealth m_health;
    std::uint64_t m_nextId = 1;
};

} // namespace fescue::serving
