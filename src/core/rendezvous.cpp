#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace fescue {

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate) noexcept
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::size_t> rendezvousOrder(std::string_view key,
                                         std::span<const std::string_view> candidates)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(candidates.size());
    for (const std::string_view candidate : candidates)
        scores.push_back(rendezvousScore(key, candidate));

    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b] : candidates[a] < candidates[b];
    });
    return order;
}

} // namespace fescue
