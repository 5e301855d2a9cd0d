#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescue::emulator {

enum class CacheChange : std::uint8_t
{
    Stored,
    Evicted,
};

// One change of the cache. Sequence numbers count from 1 without gaps.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    CacheChange change = CacheChange::Stored;
    std::uint64_t prefix = 0;
};

// Bounded cache of prompt blocks, evicting the least recently used. A block is named by a hash
// over the prompt from its start to the end of the block.
class PrefixCache
{
public:
    // A capacity of 0 blocks turns the cache off.
    explicit PrefixCache(std::size_t capacityBlocks) : m_capacity(capacityBlocks) { }

    // Returns how many leading blocks are cached, and marks them as used.
    [[nodiscard]] std::size_t lookup(std::span<const std::uint64_t> prefixHashes);
    void store(std::span<const std::uint64_t> prefixHashes);
    // Evicts everything.
    void clear();

    [[nodiscard]] std::size_t size() const noexcept { return m_order.size(); }
    // Returns the events after a sequence number that are still kept, oldest first. Old events are
    // dropped, so the first may leave a gap.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const;
    [[nodiscard]] std::uint64_t lastSequence() const noexcept { return m_sequence; }

private:
    using Order = std::list<std::uint64_t>;

    void record(CacheChange change, std::uint64_t prefix);

    std::size_t m_capacity;
    Order m_order; // most recently used first
    std::unordered_map<std::uint64_t, Order::iterator> m_blocks;
    std::list<CacheEvent> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace fescue::emulator
