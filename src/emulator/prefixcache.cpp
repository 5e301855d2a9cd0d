#include "fescue/emulator/prefixcache.h"

namespace fescue::emulator {

namespace {

constexpr std::size_t maxKeptEvents = 4096;

} // namespace

std::size_t PrefixCache::lookup(std::span<const std::uint64_t> prefixHashes)
{
    std::size_t n = 0;
    for (const std::uint64_t hash : prefixHashes) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end())
            break;
        m_order.splice(m_order.begin(), m_order, it->second);
        ++n;
    }
    return n;
}

void PrefixCache::store(std::span<const std::uint64_t> prefixHashes)
{
    if (m_capacity == 0)
        return;
    for (const std::uint64_t hash : prefixHashes) {
        if (m_blocks.contains(hash))
            continue;
        if (m_order.size() >= m_capacity) {
            record(CacheChange::Evicted, m_order.back());
            m_blocks.erase(m_order.back());
            m_order.pop_back();
        }
        m_order.push_front(hash);
        m_blocks.emplace(hash, m_order.begin());
        record(CacheChange::Stored, hash);
    }
}

void PrefixCache::clear()
{
    for (const std::uint64_t hash : m_order)
        record(CacheChange::Evicted, hash);
    m_order.clear();
    m_blocks.clear();
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::uint64_t sequence) const
{
    std::vector<CacheEvent> found;
    for (const CacheEvent &event : m_events) {
        if (event.sequence > sequence)
            found.push_back(event);
    }
    return found;
}

void PrefixCache::record(CacheChange change, std::uint64_t prefix)
{
    m_events.push_back({++m_sequence, change, prefix});
    if (m_events.size() > maxKeptEvents)
        m_events.pop_front();
}

} // namespace fescue::emulator
