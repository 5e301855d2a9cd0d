#include "fescue/core/backoff.h"

#include <algorithm>

namespace fescue {

Millis Backoff::next(double uniform) noexcept
{
    Millis span = m_limits.first;
    for (std::uint32_t n = 0; n < m_attempts && span < m_limits.longest; ++n)
        span = span * 2;
    span = std::min(span, m_limits.longest);
    ++m_attempts;
    const double part = std::clamp(uniform, 0.0, 1.0);
    const std::int64_t half = span.count / 2;
    const double jitter = static_cast<double>(span.count - half) * part;
    return {half + static_cast<std::int64_t>(jitter)};
}

} // namespace fescue
