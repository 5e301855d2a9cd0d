#include "fescue/policy/router.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace fescue {

namespace {

constexpr std::uint32_t percent = 100;

// Returns the share of the slots in use, in percent: the greater of the entry's use of its own
// grant and the last received use by all entries.
std::uint32_t slotUsePercent(const Candidate &candidate) noexcept
{
    const std::uint32_t own =
        candidate.running * percent / std::max<std::uint32_t>(1, candidate.grantedSlots);
    return std::max(own, candidate.busyPercent);
}

std::uint64_t rendezvousWeight(std::uint64_t prefix, const EndpointName &endpoint) noexcept
{
    return XXH3_64bits_withSeed(endpoint.text().data(), endpoint.text().size(), prefix);
}

// Returns whether a is preferred to b: by zone first if zoneFirst is set, then by fewer busy slots,
// then by zone, then by more unused memory.
bool isBetter(const Candidate &a, const Candidate &b, bool zoneFirst) noexcept
{
    if (zoneFirst && a.sameZone != b.sameZone)
        return a.sameZone;
    if (slotUsePercent(a) != slotUsePercent(b))
        return slotUsePercent(a) < slotUsePercent(b);
    if (a.sameZone != b.sameZone)
        return a.sameZone;
    return a.memoryLeft > b.memoryLeft;
}

std::optional<std::size_t> bestByPrefix(const Request &request,
                                        std::span<const Candidate> candidates,
                                        const RouterSettings &settings, std::uint32_t bound)
{
    const std::size_t block =
        std::min(std::max<std::size_t>(1, settings.affinityBlocks), request.prefixHashes.size());
    const std::uint64_t prefix = request.prefixHashes[block - 1];
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (slotUsePercent(candidates[i]) > bound)
            continue;
        const std::uint64_t weight = rendezvousWeight(prefix, candidates[i].endpoint);
        if (!best || weight > bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

std::optional<std::size_t> leastBusy(std::span<const Candidate> candidates,
                                     const RouterSettings &settings, std::uint32_t bound)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (slotUsePercent(candidates[i]) > bound)
            continue;
        if (!best || isBetter(candidates[i], candidates[*best], settings.zoneFirst))
            best = i;
    }
    return best;
}

} // namespace

std::optional<std::size_t> chooseEndpoint(const Request &request,
                                          std::span<const Candidate> candidates,
                                          const RouterSettings &settings)
{
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const Candidate &candidate : candidates)
        least = std::min(least, slotUsePercent(candidate));
    if (candidates.empty())
        return std::nullopt;
    const std::uint32_t bound = least + settings.affinityPercent;
    if (settings.affinityPercent > 0 && !request.prefixHashes.empty())
        return bestByPrefix(request, candidates, settings, bound);
    return leastBusy(candidates, settings, bound);
}

} // namespace fescue
