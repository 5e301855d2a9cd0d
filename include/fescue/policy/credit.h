#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>

namespace fescue {

// Load of an endpoint, as reported by itself. The figures are `age` old when received.
struct LoadReport
{
    Incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // In tokens; 0 for plain services.
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    std::uint64_t preemptions = 0;
    bool cold = false;
    Millis firstToken {0};
    std::uint64_t tokensTotal = 0;
    Millis age {0};
};

// Requests that one entry runs on one endpoint, and further ones that it would start there with
// enough credit. The entry sends it to the endpoint's credit authority, which answers with a
// CreditGrant.
struct EntryDemand
{
    EndpointName endpoint;
    MemberName member;
    // Authority and serial of the grant that the entry holds; 0 for none. Older grants are void at
    // the entry. Demands of one entry must arrive in the order in which they were sent, because the
    // authority keeps only the last one received.
    FencingNumber heldAuthority;
    std::uint64_t heldSerial = 0;
    std::uint32_t running = 0;
    // Memory, in tokens, that the running requests are predicted to need.
    std::uint64_t promisedTokens = 0;
    std::uint32_t queuedWanted = 0;
    // Memory, in tokens, without which the next queued request cannot start; if none is queued, the
    // mean of recent requests. 0 if unknown.
    std::uint64_t minimumTokensWanted = 0;
    // Number of running requests whose accounts have none queued at this entry. The demand of these
    // accounts is met, so the requests are not counted when entries share by weight.
    std::uint32_t uncontendedRunning = 0;
    // Sum of the weights of the accounts that have requests queued at this entry for the endpoint's
    // service. Under contention, entries share the endpoint in proportion to it.
    double weight = 1;
    // Total number of calls that the endpoint has finished for this entry.
    std::uint64_t finishedTotal = 0;
    // Greatest incarnation of the endpoint that the entry has seen; 0 if none.
    Incarnation incarnation;
    // By the entry's clock; echoed in the grant.
    Millis sentAt {0};
    bool operator==(const EntryDemand &) const = default;
};

// Permission for one entry to run requests on one endpoint. It replaces all grants with lower
// (authority, serial) for the same endpoint and member.
struct CreditGrant
{
    EndpointName endpoint;
    Incarnation incarnation;
    MemberName member;
    // Fencing number of the granting authority.
    FencingNumber authority;
    std::uint64_t serial = 0;
    std::uint32_t slots = 0;
    std::uint64_t memoryTokens = 0;
    // Share of the endpoint's slots in use by all entries, in percent.
    std::uint32_t busyPercent = 0;
    // Sending time of the demand that this grant answers, by the entry's clock. The grant ends at
    // demandSentAt + term, so that a transmission delay shortens the grant instead of extending it
    // beyond the authority's record.
    Millis demandSentAt {0};
    Millis term {0};
    bool operator==(const CreditGrant &) const = default;
};

} // namespace fescue
