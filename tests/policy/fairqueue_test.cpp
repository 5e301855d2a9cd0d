#include "fescue/policy.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace {

using namespace fescue;

const AccountName large("large");
const AccountName small("small");

TEST(FairQueue, ServesTheAccountWithFewestTokens)
{
    FairQueue queue;
    queue.push(large, RequestId {1});
    queue.push(small, RequestId {2});
    queue.charge(large, 100);
    ASSERT_EQ(queue.order().front(), small);
    EXPECT_EQ(queue.front(small), RequestId {2});
}

TEST(FairQueue, RequestFromTheMiddleIsTakenOut)
{
    FairQueue queue;
    for (std::uint64_t i = 1; i <= 3; ++i)
        queue.push(small, RequestId {i});
    queue.pop(small, RequestId {2});
    queue.pop(small, RequestId {7});
    EXPECT_EQ(queue.queued(small), (std::vector {RequestId {1}, RequestId {3}}));
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_TRUE(queue.queued(large).empty());
}

TEST(FairQueue, IdleAccountDoesNotSaveUp)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.push(large, RequestId {i});
        queue.popFront(large);
        queue.charge(large, 1000);
    }
    queue.push(large, RequestId {20});
    queue.push(small, RequestId {21});
    queue.charge(small, 1500);
    EXPECT_EQ(queue.order().front(), large);
}

TEST(FairQueue, ManyRequestsOfOneAccountDoNotDelayAnother)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 50; ++i) {
        queue.push(large, RequestId {i});
        queue.charge(large, 100);
    }
    queue.popFront(large);
    EXPECT_EQ(queue.aheadOfNew(large), 49U);
    EXPECT_LE(queue.aheadOfNew(small), 1U);
}

TEST(FairQueue, RemoveTakesARequestOutOfTheMiddle)
{
    FairQueue queue;
    queue.push(large, RequestId {1});
    queue.push(large, RequestId {2});
    EXPECT_TRUE(queue.remove(large, RequestId {1}));
    EXPECT_FALSE(queue.remove(large, RequestId {1}));
    EXPECT_EQ(queue.front(large), RequestId {2});
    EXPECT_EQ(queue.size(), 1U);
}

RC_GTEST_PROP(FairQueueProperty, BackloggedAccountsGetTokensByWeight, ())
{
    constexpr std::uint64_t largestCost = 500;
    const std::size_t accounts = *rc::gen::inRange<std::size_t>(2, 6);
    FairQueue queue;
    std::vector<AccountName> names;
    std::vector<double> weights;
    std::vector<double> served(accounts, 0);
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < accounts; ++i) {
        names.emplace_back("account-" + std::to_string(i));
        weights.push_back(*rc::gen::inRange(1, 5));
        queue.setWeight(names[i], weights[i]);
        queue.push(names[i], RequestId {id++});
    }
    const std::vector<int> costs = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange<int>(1, static_cast<int>(largestCost)));
    for (const int cost : costs) {
        const AccountName next = queue.order().front();
        queue.push(next, RequestId {id++});
        queue.popFront(next);
        queue.charge(next, static_cast<std::uint64_t>(cost));
        const auto it = std::find(names.begin(), names.end(), next);
        const std::size_t i = static_cast<std::size_t>(it - names.begin());
        served[i] += cost / weights[i];
    }
    const double least = *std::min_element(served.begin(), served.end());
    const double most = *std::max_element(served.begin(), served.end());
    RC_ASSERT(most - least <= static_cast<double>(largestCost));
}

} // namespace
