#include "fescue/serving/startdecision.h"

#include <algorithm>
#include <cerrno>

namespace fescue::serving {

StartStep stepAfter(const Error &error) noexcept
{
    switch (error.code) {
    case ResultCode::AddressInUse:
    case ResultCode::FileUnreadable:
    case ResultCode::SettingsIncomplete:
        return StartStep::Wait;
    case ResultCode::AddressUnavailable:
        // The port needs rights that the process lacks, or the system lacks the protocol.
        return error.systemError == EACCES || error.systemError == EAFNOSUPPORT ? StartStep::End
                                                                                : StartStep::Wait;
    default:
        return StartStep::End;
    }
}

std::string_view waitReason(const Error &error) noexcept
{
    const bool isAddress =
        error.code == ResultCode::AddressInUse || error.code == ResultCode::AddressUnavailable;
    return isAddress ? "address" : "settings";
}

bool RetryPace::recordFailure(Millis now, std::string_view reason)
{
    if (m_failures++ == 0)
        m_firstAt = now;
    const bool isNews = m_reason != reason || m_failures == 1;
    if (!isNews && now < m_nextLogAt)
        return false;
    m_logInterval = isNews ? firstLogInterval : std::min(m_logInterval * 2, longestLogInterval);
    m_nextLogAt = now + m_logInterval;
    m_reason = reason;
    return true;
}

Millis RetryPace::pause() const noexcept
{
    Millis span = firstPause;
    for (std::uint64_t n = 1; n < m_failures && span < longestPause; ++n)
        span = std::min(span * 2, longestPause);
    return span;
}

Millis RetryPace::failingFor(Millis now) const noexcept
{
    return m_failures == 0 ? Millis {0} : now - m_firstAt;
}

void RetryPace::reset() noexcept
{
    *this = RetryPace();
}

} // namespace fescue::serving
