#include "fescue/serving/cachedprefixes.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fescue::serving {

namespace {

// Maximum number of uses that are kept for each entry on average.
constexpr std::size_t usesPerEntry = 4;

// Combines the identifier of a prefix with that of the part after it. The finalizer of SplitMix64.
std::uint64_t extendPrefix(std::uint64_t prefix, std::uint64_t part) noexcept
{
    std::uint64_t bits = prefix * 0x9e3779b97f4a7c15ULL + part + 1;
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    return bits ^ (bits >> 31);
}

// Calls `visit(prefix, tokens)` for the beginnings of a prompt, the shortest one first, until it
// returns false.
template <typename F>
void forEachPrefix(std::span<const PromptPart> parts, F visit)
{
    std::uint64_t prefix = 0;
    std::uint64_t tokens = 0;
    for (const PromptPart &part : parts.first(std::min(parts.size(), CachedPrefixes::maxParts))) {
        prefix = extendPrefix(prefix, part.id);
        tokens += part.tokens;
        if (tokens > std::numeric_limits<std::uint32_t>::max()
            || !visit(prefix, static_cast<std::uint32_t>(tokens)))
            return;
    }
}

} // namespace

void CachedPrefixes::recordRead(Millis now, const EndpointIncarnation &endpoint,
                                std::span<const PromptPart> parts)
{
    if (m_retention <= Millis {0})
        return;
    forEachPrefix(parts, [&](std::uint64_t prefix, std::uint32_t tokens) {
        const PrefixRead read {endpoint, prefix, tokens};
        record(now, read);
        if (m_report.size() < maxReported)
            m_report.push_back(read);
        return true;
    });
}

void CachedPrefixes::peerReported(Millis now, std::span<const PrefixRead> reads)
{
    if (m_retention <= Millis {0})
        return;
    for (const PrefixRead &read : reads.first(std::min(reads.size(), maxReported)))
        record(now, read);
}

void CachedPrefixes::record(Millis now, const PrefixRead &read)
{
    const Key key {read.endpoint.endpoint, read.endpoint.incarnation, read.prefix};
    m_entries[key] = {now, read.tokens};
    m_uses.push_back({now, key});
    makeRoom(now);
}

void CachedPrefixes::makeRoom(Millis now)
{
    const auto isOutdated = [this, now](const Use &use) {
        return now - use.at > m_retention || m_entries.size() > maxEntries
            || m_uses.size() > maxEntries * usesPerEntry;
    };
    while (!m_uses.empty() && isOutdated(m_uses.front())) {
        const auto it = m_entries.find(m_uses.front().key);
        // A later use keeps the entry.
        if (it != m_entries.end() && it->second.usedAt <= m_uses.front().at)
            m_entries.erase(it);
        m_uses.pop_front();
    }
}

std::vector<PrefixRead> CachedPrefixes::takeReport()
{
    return std::exchange(m_report, {});
}

std::uint64_t CachedPrefixes::heldTokens(Millis now, const EndpointIncarnation &endpoint,
                                         std::span<const PromptPart> parts) const
{
    std::uint64_t held = 0;
    forEachPrefix(parts, [&](std::uint64_t prefix, std::uint32_t tokens) {
        const auto it = m_entries.find({endpoint.endpoint, endpoint.incarnation, prefix});
        // A part counts only if all parts before it are held too.
        if (it == m_entries.end() || now - it->second.usedAt > m_retention)
            return false;
        held = tokens;
        return true;
    });
    return held;
}

} // namespace fescue::serving
