#include "fescue/core/backoff.h"
#include "fescue/core/deadline.h"
#include "fescue/core/retrybudget.h"

#include <gtest/gtest.h>
#include <limits>

namespace {

using namespace fescue;

TEST(Deadline, LimitsSpansAndNeverGoesNegative)
{
    const Deadline deadline = Deadline::after(10_ms, 100_ms);
    EXPECT_EQ(deadline.remaining(60_ms), 50_ms);
    EXPECT_EQ(deadline.limit(60_ms, 1_s), 50_ms);
    EXPECT_EQ(deadline.remaining(1_s), 0_ms);
    EXPECT_FALSE(deadline.hasPassed(109_ms));
    EXPECT_TRUE(deadline.hasPassed(110_ms));
    EXPECT_FALSE(deadline.allows(60_ms, 50_ms));
}

TEST(Deadline, UnsetOneNeverPasses)
{
    const Deadline none;
    EXPECT_FALSE(none.isSet());
    EXPECT_FALSE(none.hasPassed({std::numeric_limits<std::int64_t>::max() - 1}));
    EXPECT_EQ(none.earlier(Deadline::after(0_ms, 5_ms)), Deadline::after(0_ms, 5_ms));
    EXPECT_FALSE(Deadline::after(5_ms, {std::numeric_limits<std::int64_t>::max()}).isSet());
}

TEST(Backoff, DoublesUpToTheLongestWithinTheUpperHalf)
{
    Backoff lowest({100_ms, 400_ms});
    Backoff highest({100_ms, 400_ms});
    for (const Millis span : {100_ms, 200_ms, 400_ms, 400_ms}) {
        EXPECT_EQ(lowest.next(0.0), span / 2);
        EXPECT_EQ(highest.next(1.0), span);
    }
    lowest.reset();
    EXPECT_EQ(lowest.next(0.0), 50_ms);
}

TEST(RetryBudget, IsAShareOfSuccesses)
{
    RetryBudget budget({0.1, 20.0, 0.0, 10_s});
    EXPECT_FALSE(budget.tryTake(0_ms));
    for (int n = 0; n < 25; ++n)
        budget.recordSuccess();
    EXPECT_TRUE(budget.tryTake(0_ms));
    EXPECT_TRUE(budget.tryTake(0_ms));
    EXPECT_FALSE(budget.tryTake(0_ms));
}

TEST(RetryBudget, ReserveRefillsWithTimeAndNotAboveItself)
{
    RetryBudget budget({0.1, 20.0, 1.0, 10_s});
    EXPECT_TRUE(budget.tryTake(0_ms));
    EXPECT_FALSE(budget.tryTake(5_s));
    EXPECT_TRUE(budget.tryTake(11_s));
    EXPECT_TRUE(budget.tryTake(1000_s));
    EXPECT_FALSE(budget.tryTake(1000_s));
}

} // namespace
