#include "fescue/policy/shares.h"

#include <algorithm>

namespace fescue {

std::vector<std::uint64_t> maxMinShares(std::uint64_t limit, std::span<const std::uint64_t> wants,
                                        std::size_t first)
{
    const std::size_t n = wants.size();
    std::vector<std::uint64_t> shares(n, 0);
    std::uint64_t left = limit;
    std::size_t open = n;
    while (open > 0 && left > 0) {
        const std::uint64_t each = left / open;
        const std::uint64_t step = std::max<std::uint64_t>(1, each);
        open = 0;
        for (std::size_t i = 0; i < n; ++i) {
            const std::size_t at = (first + i) % n;
            const std::uint64_t more = std::min({wants[at] - shares[at], step, left});
            shares[at] += more;
            left -= more;
            if (shares[at] < wants[at])
                ++open;
        }
    }
    return shares;
}

} // namespace fescue
