#include "fescue/core/cachefollower.h"

#include <iterator>

namespace fescue {

void CacheFollower::apply(Incarnation incarnation, std::span<const CacheEvent> events,
                          std::uint64_t last)
{
    if (incarnation < m_incarnation)
        return;
    // An engine that has published less than was applied has lost its cache.
    if (incarnation > m_incarnation || last < m_lastApplied)
        reset(incarnation);
    for (const CacheEvent &event : events) {
        if (event.sequence <= m_lastApplied)
            continue;
        if (event.sequence > m_lastApplied + 1)
            noteGap();
        m_lastApplied = event.sequence;
        if (event.stored)
            store(event.prefix);
        else
            evict(event.prefix);
    }
    if (events.empty() && last > m_lastApplied) {
        noteGap();
        m_lastApplied = last;
    }
}

CacheHold CacheFollower::holds(const std::string &prefix) const
{
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return CacheHold::NotHeld;
    return certain(it->second) ? CacheHold::Held : CacheHold::Unsure;
}

void CacheFollower::reset(Incarnation incarnation)
{
    m_incarnation = incarnation;
    m_lastApplied = 0;
    m_uncertain = 0;
    m_ages.clear();
    m_prefixes.clear();
}

void CacheFollower::noteGap() noexcept
{
    ++m_gaps;
    m_uncertain = m_prefixes.size();
}

void CacheFollower::store(const std::string &prefix)
{
    evict(prefix);
    if (m_capacity == 0)
        return;
    if (m_prefixes.size() >= m_capacity)
        evict(std::string {m_ages.front()});
    m_ages.push_back(prefix);
    m_prefixes[prefix] = Held {std::prev(m_ages.end()), m_gaps};
}

void CacheFollower::evict(const std::string &prefix)
{
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return;
    if (!certain(it->second))
        --m_uncertain;
    m_ages.erase(it->second.age);
    m_prefixes.erase(it);
}

} // namespace fescue
