#include "fescue/serving/startwatch.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Shortest time that a start is given. Covers a preempted prompt and delays on the way.
constexpr Millis minStartTime = 500_ms;
// An engine is asked once a start takes this many times longer than expected, and left although it
// works once it takes this many times longer.
constexpr std::int64_t overdueFactor = 2;
constexpr std::int64_t passedOverFactor = 6;
// Shortest time between two questions to an engine. Its figures stand still while it reads one
// prompt, so it is also no shorter than the expected time.
constexpr Millis minReportInterval = 250_ms;

// The time until an engine leaves also changes while it does nothing.
bool showsProgress(const EngineReport &before, const EngineReport &after) noexcept
{
    return before.memoryUsedTokens != after.memoryUsedTokens || before.waiting != after.waiting
        || before.running != after.running;
}

} // namespace

std::string_view toString(StuckReason reason) noexcept
{
    switch (reason) {
    case StuckReason::None:
        return "none";
    case StuckReason::Silent:
        return "silent";
    case StuckReason::Stalled:
        return "stalled";
    case StuckReason::PassedOver:
        return "passed-over";
    }
    return "unknown";
}

StartWatch::StartWatch(Millis sentAt, Millis expected) noexcept
    : m_sentAt(sentAt), m_expected(std::max(expected, Millis {0}))
{ }

StartStep StartWatch::next(Millis now, std::optional<Millis> otherStart, Millis deadline)
{
    const Millis waited = now - m_sentAt;
    const bool isOverdue = waited >= std::max(m_expected * overdueFactor, minStartTime);
    const bool fitsElsewhere = otherStart && now + *otherStart < deadline;
    if (m_hasStarted || !isOverdue || !fitsElsewhere)
        return StartStep::Wait;
    const Millis interval = std::max(m_expected, minReportInterval);
    const bool isStalled =
        m_report && !m_isAsking && m_askedAt.value_or(m_progressAt) - m_progressAt >= interval;
    if (m_reason == StuckReason::None && isStalled)
        m_reason = StuckReason::Stalled;
    if (m_reason == StuckReason::None
        && waited >= std::max(m_expected * passedOverFactor, minStartTime * passedOverFactor))
        m_reason = StuckReason::PassedOver;
    if (m_reason != StuckReason::None)
        return StartStep::Withdraw;
    const bool isDue = !m_askedAt || now - *m_askedAt >= interval;
    if (m_isAsking || !isDue)
        return StartStep::Wait;
    m_isAsking = true;
    m_askedAt = now;
    return StartStep::AskEngine;
}

void StartWatch::recordReport(Millis now, const std::optional<EngineReport> &report)
{
    m_isAsking = false;
    if (m_hasStarted)
        return;
    if (!report) {
        m_reason = StuckReason::Silent;
        return;
    }
    if (m_report && !showsProgress(*m_report, *report))
        return;
    m_report = report;
    m_progressAt = now;
}

} // namespace fescue::serving
