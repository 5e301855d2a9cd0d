#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/endpointincarnation.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace fescue::serving {

// A beginning of prompts that an engine has read.
struct PrefixRead
{
    EndpointIncarnation endpoint;
    // Identifies the parts from the first one on, in their order.
    std::uint64_t prefix = 0;
    // Number of tokens of these parts.
    std::uint32_t tokens = 0;
    bool operator==(const PrefixRead &) const = default;
};

// The beginnings of prompts that engines are likely to hold in their caches: those of the requests
// that this process and its peers have sent there lately. An engine drops cached parts when it
// needs the memory, which is not reported; so entries expire, and the caller discounts them at full
// engines. Bounded: callers decide how many different parts there are.
class CachedPrefixes
{
public:
    // Maximum number of entries; the oldest one makes room.
    static constexpr std::size_t maxEntries = 1024;
    // Maximum number of parts of one prompt that are recorded.
    static constexpr std::size_t maxParts = 8;
    // Maximum number of entries in one report to peers.
    static constexpr std::size_t maxReported = 16;

    // `retention` is the time after its last use for which an entry counts; nothing is recorded if
    // it is 0.
    explicit CachedPrefixes(Millis retention) noexcept : m_retention(retention) { }

    // Records that an engine reads a prompt.
    void recordRead(Millis now, const EndpointIncarnation &endpoint,
                    std::span<const PromptPart> parts);
    // Records what a peer has reported.
    void peerReported(Millis now, std::span<const PrefixRead> reads);
    // Returns and forgets the reads of this process since the last call, to be sent to peers. A
    // lost report is not repeated.
    [[nodiscard]] std::vector<PrefixRead> takeReport();

    // Returns the number of tokens at the beginning of a prompt that an engine is likely to hold.
    [[nodiscard]] std::uint64_t heldTokens(Millis now, const EndpointIncarnation &endpoint,
                                           std::span<const PromptPart> parts) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Key
    {
        EndpointName endpoint;
        Incarnation incarnation;
        std::uint64_t prefix = 0;
        auto operator<=>(const Key &) const = default;
    };

    struct Entry
    {
        Millis usedAt {0};
        std::uint32_t tokens = 0;
    };

    struct Use
    {
        Millis at {0};
        Key key;
    };

    void record(Millis now, const PrefixRead &read);
    void makeRoom(Millis now);

    Millis m_retention;
    std::map<Key, Entry> m_entries;
    // The uses of entries in the order of their times; those that a later use follows are outdated.
    std::deque<Use> m_uses;
    std::vector<PrefixRead> m_report;
};

} // namespace fescue::serving
