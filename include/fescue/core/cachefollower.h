#pragma once

#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>

namespace fescue {

// One event of an engine about its cache of prompt prefixes.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = true;
    std::string prefix;
    bool operator==(const CacheEvent &) const = default;
};

// Whether an engine holds a prefix.
enum class CacheHold : std::uint8_t
{
    Held,
    NotHeld,
    // Events are missing: the last that is known is that it was held.
    Unsure,
};

// Follows the cache of one engine through its events, which come late, repeatedly and with gaps.
// The view is a hint for routing and never a condition for correctness. Memory is bounded: the
// prefixes stored longest ago are forgotten first.
class CacheFollower
{
public:
    static constexpr std::size_t defaultCapacity = 65536;

    explicit CacheFollower(std::size_t capacity = defaultCapacity) noexcept : m_capacity(capacity)
    { }

    // Takes over the answer to a request for events after askAfter(). `last` is the number of the
    // last event that the engine has published.
    void apply(Incarnation incarnation, std::span<const CacheEvent> events, std::uint64_t last);

    [[nodiscard]] CacheHold holds(const std::string &prefix) const;

    // Number of the event after which to ask.
    [[nodiscard]] std::uint64_t askAfter() const noexcept { return m_lastApplied; }
    // True while prefixes are listed that were stored before events went missing.
    [[nodiscard]] bool unsure() const noexcept { return m_uncertain > 0; }
    [[nodiscard]] std::size_t size() const noexcept { return m_prefixes.size(); }

private:
    using Ages = std::list<std::string>;

    struct Held
    {
        Ages::iterator age;
        std::uint64_t gaps = 0;
    };

    void reset(Incarnation incarnation);
    void noteGap() noexcept;
    void store(const std::string &prefix);
    void evict(const std::string &prefix);
    [[nodiscard]] bool certain(const Held &held) const noexcept { return held.gaps == m_gaps; }

    std::size_t m_capacity;
    Incarnation m_incarnation;
    std::uint64_t m_lastApplied = 0;
    // Gaps seen so far. A prefix is certain where none came after it was stored.
    std::uint64_t m_gaps = 0;
    std::size_t m_uncertain = 0;
    // Oldest first.
    Ages m_ages;
    std::unordered_map<std::string, Held> m_prefixes;
};

} // namespace fescue
