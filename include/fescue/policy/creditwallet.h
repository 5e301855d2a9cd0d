#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/policy/credit.h"

#include <cstdint>
#include <map>

namespace fescue {

// What one entry may still start on one endpoint.
struct CreditAvailable
{
    Incarnation incarnation;
    std::uint32_t slots = 0;
    std::uint64_t memoryTokens = 0;
    std::uint32_t running = 0;
    std::uint32_t grantedSlots = 0;
    std::uint32_t busyPercent = 0;
};

// The credits of one entry. A running request counts against the credit of its endpoint until it
// ends, whatever happens to the grant that it was started under.
class CreditWallet
{
public:
    explicit CreditWallet(MemberName member) : m_member(std::move(member)) { }

    // Takes in a grant. Returns false where it is outdated or not for this entry.
    bool apply(const CreditGrant &grant, Millis now);
    // Takes a slot and memory where the credit covers both.
    [[nodiscard]] bool tryReserve(const EndpointName &endpoint, std::uint64_t tokens, Millis now);
    // Takes a slot and memory without regard to credit, for requests that already run.
    void reserve(const EndpointName &endpoint, std::uint64_t tokens);
    // Changes the memory of a running request.
    void resize(const EndpointName &endpoint, std::uint64_t oldTokens, std::uint64_t newTokens);
    // Returns the slot and memory of a request that has ended. `completed` says that the endpoint
    // finished the work.
    void release(const EndpointName &endpoint, std::uint64_t tokens, bool completed);
    // The endpoint's connection broke or it answered as a new incarnation: its grant is void.
    void endpointLost(const EndpointName &endpoint);
    // An incarnation seen in an answer. A greater one than that of the grant voids the grant.
    void observeIncarnation(const EndpointName &endpoint, Incarnation incarnation);

    [[nodiscard]] CreditAvailable available(const EndpointName &endpoint, Millis now) const;
    // Makes the demand to send to the endpoint's authority.
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
