#include "fescue/serving/plainattempt.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// A reset of a connection over the limit arrives a round trip within the region and the time of an
// accept after the connection was made.
constexpr Millis resetTime = 5_ms;
constexpr std::int64_t patienceInTargets = 3;
constexpr Millis minPatience {250};

} // namespace

Millis connectionSettleTime(const EndpointPressure &pressure) noexcept
{
    const bool busy = pressure.slots > 0 && pressure.requests >= pressure.slots;
    const bool mayReset = pressure.maxConnections > 0 && (busy || pressure.rejectedRecently);
    return mayReset ? resetTime : Millis {0};
}

Millis attemptPatience(Millis targetLatency) noexcept
{
    return std::max(targetLatency * patienceInTargets, minPatience);
}

bool mayRepeatAfter(SendOutcome outcome) noexcept
{
    return outcome == SendOutcome::Failed;
}

int slotPriority(const ServingConfig &config, const ServiceName &service, const Route &route,
                 const AccountSpec *account)
{
    if (account != nullptr)
        return account->priority.value_or(route.priority);
    int least = route.priority;
    for (const Route &other : config.routes) {
        const auto serves = [&service](const WeightedService &choice) {
            return choice.service == service;
        };
        if (!other.anonymous && std::any_of(other.services.begin(), other.services.end(), serves))
            least = std::max(least, other.priority);
    }
    return least;
}

SlotUse slotUseOf(SendOutcome outcome) noexcept
{
    switch (outcome) {
    case SendOutcome::Succeeded:
        return SlotUse::Served;
    case SendOutcome::Failed:
    case SendOutcome::Lost:
    case SendOutcome::Foreign:
    case SendOutcome::TimedOut:
        return SlotUse::Failed;
    case SendOutcome::NotRun:
    case SendOutcome::NotSent:
    case SendOutcome::Refused:
        return SlotUse::Rejected;
    default:
        return SlotUse::Unused;
    }
}

} // namespace fescue::serving
