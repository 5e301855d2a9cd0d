#include "fescue/policy/creditauthority.h"

#include "fescue/policy/shares.h"

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

// Adds to each share an equal part of what is left of the limit.
void addSpare(std::vector<std::uint64_t> &shares, std::uint64_t limit, std::size_t first)
{
    std::uint64_t used = 0;
    for (const std::uint64_t share : shares)
        used += share;
    const std::vector<std::uint64_t> wants(shares.size(), limit);
    const std::vector<std::uint64_t> spare = maxMinShares(minus(limit, used), wants, first);
    for (std::size_t i = 0; i < shares.size(); ++i)
        shares[i] += spare[i];
}

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
    const Amount wanted = target(demand.member);
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

CreditAuthority::Amount CreditAuthority::target(const MemberName &member) const
{
    std::vector<std::uint64_t> slotWants;
    std::vector<std::uint64_t> memoryWants;
    std::size_t own = 0;
    for (const std::pair<const MemberName, MemberState> &entry : m_members) {
        if (entry.second.left)
            continue;
        if (entry.first == member)
            own = slotWants.size();
        const EntryDemand &demand = entry.second.demand;
        slotWants.push_back(std::uint64_t {demand.running} + demand.queuedWanted);
        memoryWants.push_back(demand.promisedTokens + demand.minimumTokensWanted);
    }
    // The remainders of a small limit go round among the entries.
    const std::size_t first = static_cast<std::size_t>(m_nextSerial / slotWants.size());
    std::vector<std::uint64_t> slots = maxMinShares(slotLimit(), slotWants, first);
    std::vector<std::uint64_t> memory = maxMinShares(memoryLimit(), memoryWants, first);
    addSpare(slots, slotLimit(), first);
    addSpare(memory, memoryLimit(), first);
    return {slots[own], memory[own]};
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
