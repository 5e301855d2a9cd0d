#pragma once

#include "fescue/core/clock.h"

namespace fescue {

struct RetryBudgetLimits
{
    // Retries that one success pays for.
    double shareOfSuccesses = 0.1;
    // Most retries that can be saved up.
    double capacity = 20.0;
    // Retries that are available at the start, and that idle time refills to.
    double reserve = 3.0;
    // Time in which idle refilling gives one retry.
    Millis refillInterval = 10_s;
};

// Bounds the retries towards one endpoint to a share of its successes, so that retries cannot
// multiply the load on an endpoint that fails. A small reserve keeps rarely used endpoints
// retryable.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits = {}) noexcept;

    // Records a request that succeeded at the first try or after retries.
    void recordSuccess() noexcept;

    // Takes one retry; false where none is left.
    [[nodiscard]] bool tryTake(Millis now) noexcept;

    // Retries that are left.
    [[nodiscard]] double available() const noexcept { return m_available; }

private:
    void refillReserve(Millis now) noexcept;

    RetryBudgetLimits m_limits;
    double m_available;
    Millis m_refilledAt {0};
    bool m_started = false;
};

} // namespace fescue
