#include "fescue/policy.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

const EndpointName engineName("engine-1");

CreditGrant grantOf(std::uint64_t authority, std::uint64_t serial, std::uint32_t slots)
{
    CreditGrant grant;
    grant.endpoint = engineName;
    grant.member = MemberName("entry-1");
    grant.incarnation = Incarnation {1};
    grant.authority = FencingNumber {authority};
    grant.serial = serial;
    grant.slots = slots;
    grant.memoryTokens = 10000;
    grant.term = 2_s;
    return grant;
}

TEST(CreditBalance, ReservesWithinSlotsAndMemory)
{
    CreditBalance creditBalance(MemberName("entry-1"));
    ASSERT_TRUE(creditBalance.apply(grantOf(1, 1, 2), 0_ms));
    EXPECT_FALSE(creditBalance.tryReserve(engineName, 10001, 0_ms));
    EXPECT_TRUE(creditBalance.tryReserve(engineName, 6000, 0_ms));
    EXPECT_FALSE(creditBalance.tryReserve(engineName, 6000, 0_ms));
    EXPECT_TRUE(creditBalance.tryReserve(engineName, 4000, 0_ms));
    EXPECT_FALSE(creditBalance.tryReserve(engineName, 0, 0_ms));
    creditBalance.release(engineName, 4000, true);
    EXPECT_TRUE(creditBalance.tryReserve(engineName, 0, 0_ms));
}

TEST(CreditBalance, TermCountsFromTheDemandNotFromReceipt)
{
    CreditBalance creditBalance(MemberName("entry-1"));
    CreditGrant grant = grantOf(1, 1, 2);
    grant.demandSentAt = 1_s;
    ASSERT_TRUE(creditBalance.apply(grant, 2900_ms));
    EXPECT_TRUE(creditBalance.tryReserve(engineName, 1, 2999_ms));
    EXPECT_FALSE(creditBalance.tryReserve(engineName, 1, 3_s));
}

TEST(CreditBalance, IgnoresOlderAuthoritiesSerialsAndOtherMembers)
{
    CreditBalance creditBalance(MemberName("entry-1"));
    EXPECT_TRUE(creditBalance.apply(grantOf(2, 5, 1), 0_ms));
    EXPECT_FALSE(creditBalance.apply(grantOf(1, 9, 8), 0_ms));
    EXPECT_FALSE(creditBalance.apply(grantOf(2, 4, 8), 0_ms));
    CreditGrant other = grantOf(3, 1, 8);
    other.member = MemberName("entry-2");
    EXPECT_FALSE(creditBalance.apply(other, 0_ms));
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 1U);
}

TEST(CreditBalance, RunningRequestsCountAfterTheirGrantHasEnded)
{
    CreditBalance creditBalance(MemberName("entry-1"));
    ASSERT_TRUE(creditBalance.apply(grantOf(1, 1, 2), 0_ms));
    ASSERT_TRUE(creditBalance.tryReserve(engineName, 100, 0_ms));
    EXPECT_EQ(creditBalance.available(engineName, 5_s).slots, 0U);
    EXPECT_EQ(creditBalance.demand(engineName, 0, 0, 5_s).running, 1U);
    CreditGrant later = grantOf(1, 2, 1);
    later.demandSentAt = 5_s;
    ASSERT_TRUE(creditBalance.apply(later, 5_s));
    EXPECT_FALSE(creditBalance.tryReserve(engineName, 100, 5_s));
}

TEST(CreditBalance, LostEndpointAndNewIncarnationVoidTheGrant)
{
    CreditBalance creditBalance(MemberName("entry-1"));
    ASSERT_TRUE(creditBalance.apply(grantOf(1, 1, 2), 0_ms));
    creditBalance.observeIncarnation(engineName, Incarnation {1});
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 2U);
    creditBalance.observeIncarnation(engineName, Incarnation {2});
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 0U);
    EXPECT_EQ(creditBalance.demand(engineName, 0, 0, 0_ms).incarnation, Incarnation {2});
    ASSERT_TRUE(creditBalance.apply(grantOf(1, 2, 2), 0_ms));
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 0U);
    CreditGrant fresh = grantOf(1, 3, 2);
    fresh.incarnation = Incarnation {2};
    ASSERT_TRUE(creditBalance.apply(fresh, 0_ms));
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 2U);
    creditBalance.endpointLost(engineName);
    EXPECT_EQ(creditBalance.available(engineName, 0_ms).slots, 0U);
}

} // namespace
