#include "fescue/policy/creditauthority.h"

#include <algorithm>
#include <iterator>

namespace fescue {

namespace {

// Reports older than this say nothing about the present load.
constexpr Millis maxReportAge = 5_s;
constexpr std::uint64_t percent = 100;

std::uint64_t minus(std::uint64_t a, std::uint64_t b) noexcept
{
    return a > b ? a - b : 0;
}

SlowStartSettings withLimits(SlowStartSettings settings, const EndpointCapacity &capacity) noexcept
{
    settings.coldSlots = capacity.coldSlots;
    settings.fullSlots = capacity.slots;
    return settings;
}

// Entries that come first when too little is left for all change at this interval.
constexpr Millis rotationInterval = 2_s;
// Memory of a spare slot where no entry has said what its requests need.
constexpr std::uint64_t defaultUnitTokens = 1024;

} // namespace

CreditAuthority::CreditAuthority(const EndpointCapacity &capacity, const CreditSettings &settings,
                                 FencingNumber authority)
    : m_capacity(capacity), m_settings(settings), m_authority(authority),
      m_slowStart(withLimits(settings.slowStart, capacity))
{ }

void CreditAuthority::startAsSuccessor(Millis now) noexcept
{
    m_assumedUntil = now + m_settings.term;
}

void CreditAuthority::setCapacity(const EndpointCapacity &capacity)
{
    m_capacity = capacity;
    m_slowStart.setLimits(capacity.coldSlots, capacity.slots);
}

void CreditAuthority::setServing(bool serving) noexcept
{
    if (serving && !m_serving)
        m_slowStart.reset();
    m_serving = serving;
}

void CreditAuthority::observeLoad(const LoadReport &report, Millis now)
{
    m_slowStart.observeReport(report);
    if (report.incarnation < m_slowStart.incarnation())
        return;
    m_report = report;
    m_reportAt = now - report.age;
}

void CreditAuthority::observeIncarnation(Incarnation incarnation) noexcept
{
    if (m_slowStart.observeIncarnation(incarnation))
        m_report.reset();
}

CreditGrant CreditAuthority::answer(const EntryDemand &demand, Millis now)
{
    observeIncarnation(demand.incarnation);
    expire(now);
    record(demand, now);
    CreditGrant grant;
    grant.endpoint = m_capacity.endpoint;
    grant.incarnation = m_slowStart.incarnation();
    grant.member = demand.member;
    grant.authority = m_authority;
    grant.serial = m_nextSerial++;
    grant.busyPercent = busyPercent();
    grant.demandSentAt = demand.sentAt;
    grant.term = termFor(now);
    if (!m_serving || now < m_assumedUntil || grant.term <= Millis {0})
        return grant;
    const Amount wanted = target(demand.member, now);
    const Amount others = committedByOthers(demand.member);
    const Amount unknown = unaccounted(now);
    const std::uint64_t slotsLeft = minus(slotLimit(), others.slots + unknown.slots);
    const std::uint64_t memoryLeft =
        minus(memoryLimit(), others.memoryTokens + unknown.memoryTokens);
    grant.slots = static_cast<std::uint32_t>(std::min(wanted.slots, slotsLeft));
    grant.memoryTokens = std::min(wanted.memoryTokens, memoryLeft);
    m_members[demand.member].grants.push_back(
        {grant.serial, grant.slots, grant.memoryTokens, now + grant.term});
    return grant;
}

void CreditAuthority::memberLeft(const MemberName &member) noexcept
{
    const auto it = m_members.find(member);
    if (it == m_members.end())
        return;
    it->second.left = true;
    it->second.demand.running = 0;
    it->second.demand.promisedTokens = 0;
    it->second.demand.queuedWanted = 0;
}

std::uint32_t CreditAuthority::slotLimit() const noexcept
{
    return m_serving ? m_slowStart.limit() : 0;
}

std::uint64_t CreditAuthority::memoryLimit() const noexcept
{
    if (m_capacity.memoryTokens == 0)
        return UINT32_MAX;
    const std::uint64_t granted = m_capacity.memoryTokens * m_settings.memoryPercent / percent;
    return granted * slotLimit() / std::max<std::uint32_t>(1, m_capacity.slots);
}

std::uint64_t CreditAuthority::grantedSlots(Millis now) const
{
    std::uint64_t sum = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members) {
        std::uint64_t most = 0;
        for (const LiveGrant &grant : entry.second.grants) {
            if (grant.end > now)
                most = std::max<std::uint64_t>(most, grant.slots);
        }
        sum += most;
    }
    return sum;
}

void CreditAuthority::record(const EntryDemand &demand, Millis now)
{
    MemberState &state = m_members[demand.member];
    if (m_capacity.memoryTokens == 0 && demand.finishedTotal > state.demand.finishedTotal
        && state.heardAt > Millis {0})
        m_slowStart.callsFinished(demand.finishedTotal - state.demand.finishedTotal);
    state.recentRunning = std::max(demand.running, state.demand.running);
    state.demand = demand;
    state.heardAt = now;
    state.left = false;
    if (demand.heldAuthority != m_authority)
        return;
    std::erase_if(state.grants,
                  [&demand](const LiveGrant &grant) { return grant.serial < demand.heldSerial; });
}

void CreditAuthority::expire(Millis now)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        MemberState &state = it->second;
        std::erase_if(state.grants, [now](const LiveGrant &grant) { return grant.end <= now; });
        const bool silent = state.left || now - state.heardAt > m_settings.memberTimeout;
        it = silent && state.grants.empty() ? m_members.erase(it) : std::next(it);
    }
}

CreditAuthority::Amount CreditAuthority::committed(const MemberState &state) const noexcept
{
    Amount amount {state.demand.running, state.demand.promisedTokens};
    for (const LiveGrant &grant : state.grants) {
        amount.slots = std::max<std::uint64_t>(amount.slots, grant.slots);
        amount.memoryTokens = std::max(amount.memoryTokens, grant.memoryTokens);
    }
    return amount;
}

CreditAuthority::Amount CreditAuthority::committedByOthers(const MemberName &member) const noexcept
{
    Amount sum;
    for (const std::pair<const MemberName, MemberState> &entry : m_members) {
        if (entry.first == member)
            continue;
        const Amount amount = committed(entry.second);
        sum.slots += amount.slots;
        sum.memoryTokens += amount.memoryTokens;
    }
    return sum;
}

CreditAuthority::Amount CreditAuthority::unaccounted(Millis now) const noexcept
{
    if (!m_report || now - m_reportAt > maxReportAge)
        return {};
    std::uint64_t known = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members)
        known += entry.second.recentRunning;
    const std::uint64_t reported = m_report->running + m_report->waiting;
    const std::uint64_t extra = minus(reported, known);
    if (extra == 0)
        return {};
    return {extra, m_report->memoryUsed * extra / reported};
}

CreditAuthority::Amount CreditAuthority::target(const MemberName &member, Millis now) const
{
    std::vector<Claim> claims;
    std::size_t own = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members) {
        if (entry.second.left)
            continue;
        if (entry.first == member)
            own = claims.size();
        const EntryDemand &demand = entry.second.demand;
        const std::uint64_t unit =
            demand.minimumTokensWanted > 0 ? demand.minimumTokensWanted : defaultUnitTokens;
        claims.push_back({{demand.running, demand.promisedTokens}, demand.queuedWanted, unit});
    }
    Amount left {slotLimit(), memoryLimit()};
    for (const Claim &claim : claims) {
        left.slots = minus(left.slots, claim.share.slots);
        left.memoryTokens = minus(left.memoryTokens, claim.share.memoryTokens);
    }
    const std::size_t first =
        static_cast<std::size_t>(now.count / rotationInterval.count) % claims.size();
    giveUnits(claims, left, first, false);
    giveUnits(claims, left, first, true);
    return claims[own].share;
}

// Gives out slots, each with the memory that a request needs, one by one to each entry in turn:
// for queued requests, or as spares for requests to come.
void CreditAuthority::giveUnits(std::vector<Claim> &claims, Amount &left, std::size_t first,
                                bool spare)
{
    bool given = true;
    while (given && left.slots > 0) {
        given = false;
        for (std::size_t i = 0; i < claims.size() && left.slots > 0; ++i) {
            Claim &claim = claims[(first + i) % claims.size()];
            if ((!spare && claim.queued == 0) || claim.unitTokens > left.memoryTokens)
                continue;
            claim.queued -= spare ? 0 : 1;
            claim.share.slots += 1;
            claim.share.memoryTokens += claim.unitTokens;
            left.slots -= 1;
            left.memoryTokens -= claim.unitTokens;
            given = true;
        }
    }
}

Millis CreditAuthority::termFor(Millis now) const noexcept
{
    if (!m_leaseEnd)
        return m_settings.term;
    return std::clamp(*m_leaseEnd - now, Millis {0}, m_settings.term);
}

std::uint32_t CreditAuthority::busyPercent() const noexcept
{
    std::uint64_t running = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members)
        running += entry.second.demand.running;
    return static_cast<std::uint32_t>(running * percent / std::max<std::uint32_t>(1, slotLimit()));
}

} // namespace fescue
