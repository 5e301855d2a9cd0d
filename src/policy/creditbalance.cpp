#include "fescue/policy/creditbalance.h"

#include <algorithm>

namespace fescue {

bool CreditBalance::apply(const CreditGrant &grant, Millis now)
{
    if (grant.member != m_member)
        return false;
    EndpointCredit &credit = m_credits[grant.endpoint];
    if (grant.authority < credit.grant.authority)
        return false;
    if (grant.authority == credit.grant.authority && grant.serial <= credit.grant.serial)
        return false;
    credit.grant = grant;
    credit.valid = grant.incarnation >= credit.seen && now < grant.demandSentAt + grant.term;
    credit.seen = std::max(credit.seen, grant.incarnation);
    return true;
}

bool CreditBalance::isLive(const EndpointCredit &credit, Millis now) noexcept
{
    return credit.valid && now < credit.grant.demandSentAt + credit.grant.term;
}

bool CreditBalance::tryReserve(const EndpointName &endpoint, std::uint64_t tokens, Millis now)
{
    const CreditAvailable left = available(endpoint, now);
    if (left.slots == 0 || left.memoryTokens < tokens)
        return false;
    reserve(endpoint, tokens);
    return true;
}

void CreditBalance::reserve(const EndpointName &endpoint, std::uint64_t tokens)
{
    EndpointCredit &credit = m_credits[endpoint];
    ++credit.running;
    credit.promisedTokens += tokens;
}

void CreditBalance::resize(const EndpointName &endpoint, std::uint64_t oldTokens,
                           std::uint64_t newTokens)
{
    EndpointCredit &credit = m_credits[endpoint];
    credit.promisedTokens += newTokens;
    credit.promisedTokens -= std::min(oldTokens, credit.promisedTokens);
}

void CreditBalance::release(const EndpointName &endpoint, std::uint64_t tokens, bool completed)
{
    EndpointCredit &credit = m_credits[endpoint];
    credit.running -= std::min<std::uint32_t>(1, credit.running);
    credit.promisedTokens -= std::min(tokens, credit.promisedTokens);
    if (completed)
        ++credit.finishedTotal;
}

void CreditBalance::endpointLost(const EndpointName &endpoint)
{
    const auto it = m_credits.find(endpoint);
    if (it != m_credits.end())
        it->second.valid = false;
}

void CreditBalance::observeIncarnation(const EndpointName &endpoint, Incarnation incarnation)
{
    EndpointCredit &credit = m_credits[endpoint];
    if (incarnation <= credit.seen)
        return;
    credit.seen = incarnation;
    if (credit.grant.incarnation < incarnation)
        credit.valid = false;
}

CreditAvailable CreditBalance::available(const EndpointName &endpoint, Millis now) const
{
    const auto it = m_credits.find(endpoint);
    if (it == m_credits.end())
        return {};
    const EndpointCredit &credit = it->second;
    CreditAvailable left;
    left.incarnation = credit.seen;
    left.running = credit.running;
    left.busyPercent = credit.grant.busyPercent;
    if (!isLive(credit, now))
        return left;
    left.grantedSlots = credit.grant.slots;
    if (credit.grant.slots > credit.running)
        left.slots = credit.grant.slots - credit.running;
    if (credit.grant.memoryTokens > credit.promisedTokens)
        left.memoryTokens = credit.grant.memoryTokens - credit.promisedTokens;
    return left;
}

EntryDemand CreditBalance::demand(const EndpointName &endpoint, std::uint32_t queuedWanted,
                                  std::uint64_t minimumTokensWanted, Millis now) const
{
    EntryDemand made;
    made.endpoint = endpoint;
    made.member = m_member;
    made.queuedWanted = queuedWanted;
    made.minimumTokensWanted = minimumTokensWanted;
    made.sentAt = now;
    const auto it = m_credits.find(endpoint);
    if (it == m_credits.end())
        return made;
    made.heldAuthority = it->second.grant.authority;
    made.heldSerial = it->second.grant.serial;
    made.running = it->second.running;
    made.promisedTokens = it->second.promisedTokens;
    made.finishedTotal = it->second.finishedTotal;
    made.incarnation = it->second.seen;
    return made;
}

} // namespace fescue
