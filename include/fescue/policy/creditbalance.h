#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/policy/credit.h"

#include <cstdint>
#include <map>

namespace fescue {

// Unused credit of one entry on one endpoint.
struct CreditAvailable
{
    Incarnation incarnation;
    std::uint32_t slots = 0;
    std::uint64_t memoryTokens = 0;
    std::uint32_t running = 0;
    std::uint32_t grantedSlots = 0;
    std::uint32_t busyPercent = 0;
};

// Credit balance of one entry on all endpoints. A running request counts against the credit of its
// endpoint until the request ends, even if the grant under which it started has expired or was
// replaced.
class CreditBalance
{
public:
    explicit CreditBalance(MemberName member) : m_member(std::move(member)) { }

    // Applies a grant. Returns false if it is outdated or not for this entry.
    bool apply(const CreditGrant &grant, Millis now);
    // Reserves a slot and memory. Returns false if the credit does not cover both.
    [[nodiscard]] bool tryReserve(const EndpointName &endpoint, std::uint64_t tokens, Millis now);
    // Reserves a slot and memory without checking the credit, for requests that already run.
    void reserve(const EndpointName &endpoint, std::uint64_t tokens);
    // Changes the reserved memory of a running request.
    void resize(const EndpointName &endpoint, std::uint64_t oldTokens, std::uint64_t newTokens);
    // Releases the slot and memory of a request that has ended. `completed` is true if the endpoint
    // finished the work.
    void release(const EndpointName &endpoint, std::uint64_t tokens, bool completed);
    // Voids the grant of an endpoint whose connection broke or that answered as a new incarnation.
    void endpointLost(const EndpointName &endpoint);
    // Applies an incarnation seen in a response. The grant is voided if the incarnation is greater
    // than that of the grant.
    void observeIncarnation(const EndpointName &endpoint, Incarnation incarnation);

    [[nodiscard]] CreditAvailable available(const EndpointName &endpoint, Millis now) const;
    // Returns the demand to send to the endpoint's credit authority.
    [[nodiscard]] EntryDemand demand(const EndpointName &endpoint, std::uint32_t queuedWanted,
                                     std::uint64_t minimumTokensWanted, Millis now) const;
    [[nodiscard]] const MemberName &member() const noexcept { return m_member; }

private:
    struct EndpointCredit
    {
        CreditGrant grant;
        bool valid = false;
        Incarnation seen;
        std::uint32_t running = 0;
        std::uint64_t promisedTokens = 0;
        std::uint64_t finishedTotal = 0;
    };

    [[nodiscard]] static bool isLive(const EndpointCredit &credit, Millis now) noexcept;

    MemberName m_member;
    std::map<EndpointName, EndpointCredit> m_credits;
};

} // namespace fescue
