#include "fescue/policy/slowstart.h"

#include <algorithm>

namespace fescue {

namespace {

// A time to first token up to this never indicates a cold endpoint.
constexpr Millis minSlowFirstToken = 1500_ms;
// The newest report has the weight 1 / meanFirstTokenDivisor in the mean time to first token.
constexpr std::int64_t meanFirstTokenDivisor = 16;

} // namespace

void SlowStart::reset() noexcept
{
    m_extraSlots = 0;
    m_calls = 0;
    m_hasBaseTokens = false;
    m_meanFirstToken = {0};
}

void SlowStart::setLimits(std::uint32_t coldSlots, std::uint32_t fullSlots) noexcept
{
    const bool wasWarm = isWarm();
    m_settings.coldSlots = coldSlots;
    m_settings.fullSlots = fullSlots;
    if (wasWarm)
        m_extraSlots = std::max<std::uint64_t>(m_extraSlots, fullSlots);
}

bool SlowStart::observeIncarnation(Incarnation incarnation) noexcept
{
    if (incarnation <= m_incarnation)
        return false;
    m_incarnation = incarnation;
    m_reportedCold = false;
    reset();
    return true;
}

bool SlowStart::observeReport(const LoadReport &report) noexcept
{
    if (report.incarnation < m_incarnation)
        return false;
    bool wasReset = observeIncarnation(report.incarnation);
    const bool turnedCold = report.cold && !m_reportedCold && isWarm();
    m_reportedCold = report.cold;
    if (turnedCold || isSlow(report)) {
        reset();
        wasReset = true;
    }
    if (!m_hasBaseTokens) {
        m_hasBaseTokens = true;
        m_baseTokens = report.tokensTotal;
    }
    if (report.tokensTotal > m_baseTokens)
        m_extraSlots =
            std::max(m_extraSlots, (report.tokensTotal - m_baseTokens) / m_settings.tokensPerSlot);
    if (isWarm() && !report.cold)
        m_meanFirstToken += (report.firstToken - m_meanFirstToken) / meanFirstTokenDivisor;
    return wasReset;
}

void SlowStart::callsFinished(std::uint64_t n) noexcept
{
    m_calls += n;
    m_extraSlots = std::max(m_extraSlots, m_calls / m_settings.callsPerSlot);
}

std::uint32_t SlowStart::limit() const noexcept
{
    const std::uint64_t grown = m_settings.coldSlots + m_extraSlots;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(grown, m_settings.fullSlots));
}

bool SlowStart::isSlow(const LoadReport &report) const noexcept
{
    return isWarm() && m_meanFirstToken > Millis {0} && report.firstToken > minSlowFirstToken
        && report.firstToken > m_meanFirstToken * m_settings.slowFirstTokenFactor;
}

} // namespace fescue
