#include "fescue/serving/listtimeout.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Each timeout is longer than the one before by half.
constexpr std::int64_t growthDivisor = 2;

} // namespace

void ListTimeout::recordTimeout() noexcept
{
    m_timeout = std::min(m_timeout + m_timeout / growthDivisor, longest);
}

} // namespace fescue::serving
