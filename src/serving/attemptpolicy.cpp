#include "fescue/serving/attemptpolicy.h"

namespace fescue::serving {

namespace {

// Minimum time left for a retry; with less it would hardly be answered in time.
constexpr Millis minRetryTime {20};
// Maximum number of attempts that ended without a connection.
constexpr std::uint32_t maxFailedConnects = 5;
// Maximum number of attempts that reached a different endpoint at the address.
constexpr std::uint32_t maxRedirects = 3;
// Maximum number of rejected attempts: if this many endpoints have no room, the service is full.
constexpr std::uint32_t maxRejections = 3;

} // namespace

std::string_view toString(SendOutcome outcome) noexcept
{
    switch (outcome) {
    case SendOutcome::Succeeded:
        return "succeeded";
    case SendOutcome::Failed:
        return "failed";
    case SendOutcome::NotSent:
        return "not-sent";
    case SendOutcome::Refused:
        return "refused";
    case SendOutcome::NotRun:
        return "not-run";
    case SendOutcome::OtherEndpoint:
        return "other-endpoint";
    case SendOutcome::Lost:
        return "lost";
    case SendOutcome::Foreign:
        return "foreign";
    case SendOutcome::TimedOut:
        return "timed-out";
    case SendOutcome::CallerGone:
        return "caller-gone";
    case SendOutcome::Quarantined:
        return "quarantined";
    case SendOutcome::ZoneOut:
        return "zone-out";
    }
    return "unknown";
}

// Counts the attempt and returns the verdict that applies if the request is not sent again.
AttemptVerdict AttemptPolicy::verdictWithoutRetry(SendOutcome outcome) noexcept
{
    switch (outcome) {
    case SendOutcome::Succeeded:
    case SendOutcome::Failed:
        ++m_sent;
        m_mayHaveRun = true;
        return AttemptVerdict::ForwardAnswer;
    case SendOutcome::NotSent:
    case SendOutcome::Refused:
    case SendOutcome::ZoneOut:
        ++m_failedConnects;
        break;
    case SendOutcome::OtherEndpoint:
        ++m_redirects;
        break;
    case SendOutcome::NotRun:
        ++m_rejections;
        break;
    case SendOutcome::Lost:
    case SendOutcome::Foreign:
    case SendOutcome::TimedOut:
        ++m_sent;
        m_mayHaveRun = true;
        break;
    case SendOutcome::CallerGone:
        return AttemptVerdict::Abandon;
    case SendOutcome::Quarantined:
        break;
    }
    return m_mayHaveRun ? AttemptVerdict::FailUnknown : AttemptVerdict::RefuseNotRun;
}

bool AttemptPolicy::mayRetry(SendOutcome outcome, Millis timeLeft) const noexcept
{
    if (timeLeft < minRetryTime || m_sent >= m_maxAttempts)
        return false;
    switch (outcome) {
    case SendOutcome::OtherEndpoint:
        return m_redirects < maxRedirects;
    case SendOutcome::NotRun:
        return m_rejections < maxRejections;
    case SendOutcome::Failed:
    case SendOutcome::Lost:
    case SendOutcome::Foreign:
    case SendOutcome::TimedOut:
        return m_mayRunAgain;
    default:
        return false;
    }
}

bool AttemptPolicy::mayRunAgain(Millis timeLeft) const noexcept
{
    return m_mayRunAgain && timeLeft >= minRetryTime && m_sent < m_maxAttempts;
}

bool AttemptPolicy::mayConnectAgain(Millis timeLeft) noexcept
{
    return timeLeft >= minRetryTime && m_failedConnects < maxFailedConnects;
}

} // namespace fescue::serving
