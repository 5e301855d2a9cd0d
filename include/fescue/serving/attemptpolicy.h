#pragma once

#include "fescue/core/clock.h"
#include "fescue/serving/servingconfig.h"
#include "fescue/serving/sharedretrybudget.h"

#include <cstdint>
#include <string_view>

namespace fescue::serving {

// Result of sending a request to an endpoint.
enum class SendOutcome : std::uint8_t
{
    // A complete, successful answer.
    Succeeded,
    // A complete answer that reports a failure; the endpoint has run the request.
    Failed,
    // No byte of the request was sent.
    NotSent,
    // No byte was sent because the endpoint's address refused the connection.
    Refused,
    // The endpoint reported that it has not run the request and will not.
    NotRun,
    // A different endpoint uses the address; the request has not run.
    OtherEndpoint,
    // No complete answer arrived: the connection was lost, or the answer was malformed.
    Lost,
    // A success that is not the endpoint's answer arrived; the request may have run.
    Foreign,
    // No complete answer arrived before the timeout.
    TimedOut,
    // The caller closed its connection.
    CallerGone,
    // Nothing was sent: a part of the prompt is in quarantine.
    Quarantined,
    // Nothing was sent: the endpoint's availability zone is out of service.
    ZoneOut,
};

[[nodiscard]] std::string_view toString(SendOutcome outcome) noexcept;

enum class AttemptVerdict : std::uint8_t
{
    // Send the request to another endpoint.
    TryAnother,
    // Forward the endpoint's answer to the caller.
    ForwardAnswer,
    // Refuse the request: it has not run and will not.
    RefuseNotRun,
    // Report a failure: the request may have run.
    FailUnknown,
    // Send nothing: the caller no longer waits for an answer.
    Abandon,
};

// Decides whether a request is sent to another endpoint after an attempt, and how it ends if not.
class AttemptPolicy
{
public:
    // `isResumable` is Route::isResumable.
    AttemptPolicy(RouteKind kind, std::uint32_t maxAttempts, bool isResumable = false) noexcept
        : m_mayRunAgain(kind == RouteKind::Idempotent || isResumable), m_maxAttempts(maxAttempts)
    { }

    // Records the result of an attempt and returns the next step. `timeLeft` is the time until the
    // caller's deadline. `takeRetry(purpose)` takes a retry out of the retry budget and returns
    // false if none is left; it is called only if all other conditions for a retry are met.
    template <typename TakeRetry>
    [[nodiscard]] AttemptVerdict verdictAfter(SendOutcome outcome, Millis timeLeft,
                                              TakeRetry takeRetry)
    {
        const AttemptVerdict fallback = verdictWithoutRetry(outcome);
        const bool unconnected = outcome == SendOutcome::NotSent || outcome == SendOutcome::Refused
            || outcome == SendOutcome::ZoneOut;
        if (unconnected && mayConnectAgain(timeLeft))
            return AttemptVerdict::TryAnother;
        const RetryPurpose purpose =
            outcome == SendOutcome::NotRun ? RetryPurpose::Rejected : RetryPurpose::Rescue;
        if (mayRetry(outcome, timeLeft) && takeRetry(purpose))
            return AttemptVerdict::TryAnother;
        return fallback;
    }

    // Returns the number of endpoints on which the request has run or may have run. Endpoints that
    // rejected it do not count against the route's limit.
    [[nodiscard]] std::uint32_t sent() const noexcept { return m_sent; }
    // Returns true if one more endpoint may run the request although others have begun to.
    [[nodiscard]] bool mayRunAgain(Millis timeLeft) const noexcept;
    // Counts an endpoint that runs the request without an attempt of its own, from a copy.
    void countResumed() noexcept { ++m_sent; }
    // Stops counting an endpoint that has terminated since it ran the request.
    void discountEnded() noexcept { m_sent -= m_sent > 0 ? 1 : 0; }
    // Returns true if some endpoint may have run the request.
    [[nodiscard]] bool mayHaveRun() const noexcept { return m_mayHaveRun; }

private:
    [[nodiscard]] AttemptVerdict verdictWithoutRetry(SendOutcome outcome) noexcept;
    [[nodiscard]] bool mayRetry(SendOutcome outcome, Millis timeLeft) const noexcept;
    [[nodiscard]] bool mayConnectAgain(Millis timeLeft) noexcept;

    bool m_mayRunAgain;
    std::uint32_t m_maxAttempts;
    std::uint32_t m_sent = 0;
    std::uint32_t m_failedConnects = 0;
    std::uint32_t m_redirects = 0;
    std::uint32_t m_rejections = 0;
    bool m_mayHaveRun = false;
};

} // namespace fescue::serving
