#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/retrybudget.h"

#include <map>
#include <mutex>

namespace fescue::gateway {

// The retry budget of each endpoint at this entry. Any thread may call it. Its lock is a leaf: the
// function that is run under it must take no other lock.
class RetryBudgets
{
public:
    // Runs use(budget) under the lock and returns what it returns.
    template <typename F>
    auto with(const EndpointName &endpoint, F use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_budgets[endpoint]);
    }

private:
    std::mutex m_mutex;
    std::map<EndpointName, RetryBudget> m_budgets;
};

} // namespace fescue::gateway
