#include "fescue/policy/creditauthority.h"

#include <algorithm>
#include <iterator>

namespace fescue {

namespace {

// Reports older than this are not used as the current load.
constexpr Millis maxReportAge = 5_s;
// Longest time from a start at an entry until a demand that includes it is received.
constexpr Millis maxDemandDelay = 600_ms;
constexpr std::uint64_t percent = 100;

std::uint64_t saturatingSubtract(std::uint64_t a, std::uint64_t b) noexcept
{
    return a > b ? a - b : 0;
}

SlowStartSettings withLimits(SlowStartSettings settings, const EndpointCapacity &capacity) noexcept
{
    settings.coldSlots = capacity.coldSlots;
    settings.fullSlots = capacity.slots;
    return settings;
}

// Interval after which the order changes in which entries with equal claims are served, so that
// scarce slots rotate among the entries.
constexpr Millis rotationInterval = 2_s;
// Memory, in tokens, of a further slot for an entry that has not reported how much its requests
// need.
constexpr std::uint64_t defaultUnitTokens = 1024;
constexpr double minWeight = 0.01;

} // namespace

CreditAuthority::CreditAuthority(const EndpointCapacity &capacity, const CreditSettings &settings,
                                 FencingNumber authority)
    : m_capacity(capacity), m_settings(settings), m_authority(authority),
      m_slowStart(withLimits(settings.slowStart, capacity))
{ }

void CreditAuthority::startAsSuccessor(Millis now) noexcept
{
    m_isSuccessor = true;
    m_predecessorGrantsEnd = now + m_settings.term;
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
    m_unaccounted = unaccountedIn(report);
}

void CreditAuthority::observeIncarnation(Incarnation incarnation) noexcept
{
    if (m_slowStart.observeIncarnation(incarnation))
        m_report.reset();
    if (!m_report)
        m_unaccounted = {};
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
    if (!mayGrant(now) || grant.term <= Millis {0})
        return grant;
    const Amount wanted = target(demand.member, now);
    const Amount others = committedByOthers(demand.member);
    const Amount unknown = now - m_reportAt <= maxReportAge ? m_unaccounted : Amount {};
    const std::uint64_t slotsLeft = saturatingSubtract(slotLimit(), others.slots + unknown.slots);
    const std::uint64_t memoryLeft =
        saturatingSubtract(memoryLimit(), others.memoryTokens + unknown.memoryTokens);
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
        && state.lastReceivedAt > Millis {0})
        m_slowStart.callsFinished(demand.finishedTotal - state.demand.finishedTotal);
    state.demand = demand;
    state.lastReceivedAt = now;
    state.left = false;
    recordRunning(now);
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
        const bool expired = state.left || now - state.lastReceivedAt > m_settings.memberTimeout;
        it = expired && state.grants.empty() ? m_members.erase(it) : std::next(it);
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

void CreditAuthority::recordRunning(Millis now)
{
    std::uint64_t running = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members)
        running += entry.second.demand.running;
    m_runningHistory.push_back({now, running});
    while (m_runningHistory.front().at + maxReportAge < now)
        m_runningHistory.pop_front();
}

CreditAuthority::Amount CreditAuthority::unaccountedIn(const LoadReport &report) const noexcept
{
    std::uint64_t known = 0;
    for (const RunningSample &sample : m_runningHistory) {
        if (sample.at + maxDemandDelay >= m_reportAt && sample.at <= m_reportAt + maxDemandDelay)
            known = std::max(known, sample.running);
    }
    const std::uint64_t reported = std::uint64_t {report.running} + report.waiting;
    const std::uint64_t extra = saturatingSubtract(reported, known);
    if (extra == 0)
        return {};
    return {extra, report.memoryUsed * extra / reported};
}

bool CreditAuthority::mayGrant(Millis now) const noexcept
{
    if (!m_serving)
        return false;
    // A report measured after the predecessor's grants ended includes all requests started under
    // them. Without such a report, the authority waits for the member timeout, by which all entries
    // have sent a demand.
    const bool reported = m_report && m_reportAt >= m_predecessorGrantsEnd;
    return !m_isSuccessor || reported || now >= m_predecessorGrantsEnd + m_settings.memberTimeout;
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
        claims.push_back(claimOf(entry.second.demand));
    }
    Amount left {slotLimit(), memoryLimit()};
    const std::size_t first =
        static_cast<std::size_t>(now.count / rotationInterval.count) % claims.size();
    distributeUnits(claims, left, first, false);
    distributeUnits(claims, left, first, true);
    return claims[own].share;
}

CreditAuthority::Claim CreditAuthority::claimOf(const EntryDemand &demand) noexcept
{
    Claim claim;
    claim.running = demand.running;
    claim.uncontended = std::min(demand.uncontendedRunning, demand.running);
    claim.wanted = demand.running + demand.queuedWanted;
    claim.runningTokens = demand.running > 0 ? demand.promisedTokens / demand.running : 0;
    claim.unitTokens =
        demand.minimumTokensWanted > 0 ? demand.minimumTokensWanted : defaultUnitTokens;
    claim.weight = std::max(minWeight, demand.weight);
    return claim;
}

// Distributes slots, each with the memory that a request needs, one by one to the entry that has
// the fewest for its weight: for running and queued requests, or as spares for future requests. An
// entry may get fewer slots than it has requests running; it then starts none until enough have
// ended.
void CreditAuthority::distributeUnits(std::vector<Claim> &claims, Amount &left, std::size_t first,
                                      bool spare)
{
    while (left.slots > 0) {
        Claim *next = nullptr;
        for (std::size_t i = 0; i < claims.size(); ++i) {
            Claim &claim = claims[(first + i) % claims.size()];
            if ((!spare && claim.share.slots >= claim.wanted)
                || claim.nextTokens() > left.memoryTokens)
                continue;
            if (next == nullptr || claim.slotsPerWeight() < next->slotsPerWeight())
                next = &claim;
        }
        if (next == nullptr)
            return;
        const std::uint64_t tokens = next->nextTokens();
        next->share.slots += 1;
        next->share.memoryTokens += tokens;
        left.slots -= 1;
        left.memoryTokens -= tokens;
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
