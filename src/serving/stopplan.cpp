#include "fescue/serving/stopplan.h"

namespace fescue::serving {

namespace {

// Minimum time for which the process keeps serving, for callers that still use a cached answer of
// the directory.
constexpr Millis minServingTime = 3500_ms;
// The process ends this long before it would be killed.
constexpr Millis endMargin = 300_ms;
// Time at the end for answers to requests that have arrived in part or not been read.
constexpr Millis closingTime = 500_ms;
// Time from the deadline of a call until its answer has been written.
constexpr Millis answerTime = 100_ms;

} // namespace

void StopPlan::begin(Millis signalledAt, Millis grace) noexcept
{
    if (m_begun)
        return;
    m_begun = true;
    m_signalledAt = signalledAt;
    m_endAt = signalledAt + grace - endMargin;
}

Millis StopPlan::closeAt() const noexcept
{
    return m_endAt - closingTime;
}

bool StopPlan::mayTake(Millis deadline) const noexcept
{
    return !m_closed && (!m_begun || deadline + answerTime <= closeAt());
}

bool StopPlan::mayClose(Millis now, std::size_t open) const noexcept
{
    const bool isServedOut = now >= m_signalledAt + minServingTime && open == 0;
    return m_begun && (isServedOut || now >= closeAt());
}

} // namespace fescue::serving
