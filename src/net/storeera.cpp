#include "fescue/net/storeera.h"

#include <algorithm>

namespace fescue::net {

std::optional<std::uint64_t> StoreEraTracker::take(std::optional<std::uint64_t> told) noexcept
{
    if (told && *told < m_current)
        return std::nullopt;
    m_current = std::max(m_current, told.value_or(m_current));
    return m_current;
}

} // namespace fescue::net
