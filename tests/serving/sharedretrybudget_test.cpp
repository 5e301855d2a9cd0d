#include "fescue/serving/sharedretrybudget.h"

#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

const RetryLimit limit {0.2, 58, 10_s};

MemberName memberName(std::size_t n)
{
    return MemberName("entry-" + std::to_string(n));
}

TEST(SharedRetryBudget, OneProcessMayUseThePoolThatOthersLeave)
{
    SharedRetryBudget budget(limit);
    for (std::size_t n = 1; n < 9; ++n)
        budget.peerReported(1_s, memberName(n), 0);
    int taken = 0;
    while (budget.tryTake(1_s, 9))
        ++taken;
    EXPECT_EQ(taken, 40);
}

TEST(SharedRetryBudget, PeersWithoutReportsCountWithAnEqualShare)
{
    SharedRetryBudget budget(limit);
    int taken = 0;
    while (budget.tryTake(1_s, 9))
        ++taken;
    EXPECT_EQ(taken, 4);
}

TEST(SharedRetryBudget, RequestsAddToTheBudget)
{
    SharedRetryBudget budget(limit);
    for (int n = 0; n < 100; ++n)
        budget.recordRequest(1_s);
    int taken = 0;
    while (budget.tryTake(1_s, 9))
        ++taken;
    EXPECT_EQ(taken, 16 + 4);
}

TEST(SharedRetryBudget, BudgetIsRestoredAfterTheWindow)
{
    SharedRetryBudget budget(limit);
    while (budget.tryTake(1_s, 9)) { }
    EXPECT_FALSE(budget.tryTake(Millis {10'999}, 9));
    EXPECT_TRUE(budget.tryTake(11_s, 9));
}

// Guards against exceeding the limit for all processes: engines leave all the time, every process
// retries as often as it may, and reports arrive late, not at all, or only within two halves.
TEST(SharedRetryBudget, SumOfAllProcessesStaysBelowTheLimit)
{
    constexpr std::size_t processes = 9;
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 12; ++round) {
        std::vector<SharedRetryBudget> budgets(processes, SharedRetryBudget(limit));
        std::vector<Millis> taken;
        const Millis cutFrom {static_cast<std::int64_t>(random() % 20'000)};
        const Millis cutTo = cutFrom + 8_s;
        for (Millis now {0}; now < 40_s; now += 25_ms) {
            const bool reportsNow = now.count % 250 == 0;
            const bool cut = now >= cutFrom && now < cutTo;
            for (std::size_t a = 0; a < processes; ++a) {
                if (random() % 40 == 0 && budgets[a].tryTake(now, processes))
                    taken.push_back(now);
                for (std::size_t b = 0; reportsNow && b < processes; ++b) {
                    if (a != b && !(cut && a % 2 != b % 2))
                        budgets[b].peerReported(now, memberName(a), budgets[a].poolUsed(now));
                }
            }
        }
        for (std::size_t i = 0, j = 0; i < taken.size(); ++i) {
            while (taken[i] - taken[j] >= limit.window)
                ++j;
            ASSERT_LE(i - j + 1, static_cast<std::size_t>(limit.allowance));
        }
    }
}

// Guards against rejected requests that use up the budget: full engines reject many requests while
// engines leave and their generations must be moved.
TEST(SharedRetryBudget, RejectedRequestsLeaveHalfOfThePoolToRescues)
{
    SharedRetryBudget budget(limit);
    for (std::size_t n = 1; n < 9; ++n)
        budget.peerReported(1_s, memberName(n), 0);
    int rejected = 0;
    while (budget.tryTake(1_s, 9, RetryPurpose::Rejected))
        ++rejected;
    int rescued = 0;
    while (budget.tryTake(1_s, 9, RetryPurpose::Rescue))
        ++rescued;
    EXPECT_EQ(rejected, 20);
    EXPECT_EQ(rescued, 20);
}

} // namespace
