#pragma once

#include "fescue/core/clock.h"
#include "fescue/serving/servingconfig.h"
#include "fescue/serving/sharedretrybudget.h"

#include <cstdint>
#include <string_view>

namespace fescue::serving {

// How sending a request to an endpoint ended.
enum class SendOutcome : std::uint8_t
{
    // A whole answer that is a success.
    Succeeded,
    // A whole answer of the endpoint that is a failure; the request has run.
    Failed,
    // No byte of the request was sent.
    NotSent,
    // The same, since nothing listens at the endpoint's address.
    Refused,
    // The endpoint says that it has not run the request and will not.
    NotRun,
    // Another endpoint has the address; the request has not run.
    OtherEndpoint,
    // No whole answer came: the connection was lost, or the answer was malformed.
    Lost,
    // No answer came in time.
    TimedOut,
    // The caller has left.
    CallerGone,
};

[[nodiscard]] std::string_view toString(SendOutcome outcome) noexcept;

enum class AttemptVerdict : std::uint8_t
{
    // Send the request to another endpoint.
    TryAnother,
    // Pass the endpoint's answer on.
    PassOn,
    // Refuse the request: it has not run and will not.
    RefuseNotRun,
    // Report a failure: the request may have run.
    FailUnknown,
    // Nobody waits for an answer.
    Abandon,
};

// Decides what follows each attempt to send one request to an endpoint.
class AttemptPolicy
{
public:
    AttemptPolicy(RouteKind kind, std::uint32_t maxAttempts) noexcept
        : m_kind(kind), m_maxAttempts(maxAttempts)
    { }

    // Records how an attempt ended. `timeLeft` is the time until the caller needs an answer;
    // `takeRetry(use)` takes a repeat out of the retry budget and returns false where none is left;
    // it is asked only where the repeat would follow.
    template <typename TakeRetry>
    [[nodiscard]] AttemptVerdict after(SendOutcome outcome, Millis timeLeft, TakeRetry takeRetry)
    {
        const AttemptVerdict fallback = withoutRepeat(outcome);
        const bool unconnected = outcome == SendOutcome::NotSent || outcome == SendOutcome::Refused;
        if (unconnected && mayConnectAgain(timeLeft))
            return AttemptVerdict::TryAnother;
        const RetryPurpose use =
            outcome == SendOutcome::NotRun ? RetryPurpose::Rejected : RetryPurpose::Rescue;
        if (mayRepeat(outcome, timeLeft) && takeRetry(use))
            return AttemptVerdict::TryAnother;
        return fallback;
    }

    // Endpoints on which the request has run or may have run. Those that turned it away do not
    // count against the route's bound.
    [[nodiscard]] std::uint32_t sent() const noexcept { return m_sent; }
    // True where some endpoint may have run the request.
    [[nodiscard]] bool mayHaveRun() const noexcept { return m_mayHaveRun; }

private:
    [[nodiscard]] AttemptVerdict withoutRepeat(SendOutcome outcome) noexcept;
    [[nodiscard]] bool mayRepeat(SendOutcome outcome, Millis timeLeft) const noexcept;
    [[nodiscard]] bool mayConnectAgain(Millis timeLeft) noexcept;

    RouteKind m_kind;
    std::uint32_t m_maxAttempts;
    std::uint32_t m_sent = 0;
    std::uint32_t m_connects = 0;
    std::uint32_t m_redirects = 0;
    std::uint32_t m_rejections = 0;
    bool m_mayHaveRun = false;
};

} // namespace fescue::serving
