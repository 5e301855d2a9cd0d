#include "fescue/serving/plainattempt.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

// One endpoint of 6 slots serves the callers of 67 processes, and resets connections while its
// queue is long.
TEST(PlainAttempt, ConnectionsToAnEndpointUnderPressureAreWatchedBeforeTheyAreUsed)
{
    EXPECT_GT(connectionSettleTime({460, 6, 6, false}), Millis {0});
    EXPECT_GT(connectionSettleTime({460, 6, 0, true}), Millis {0});
    EXPECT_EQ(connectionSettleTime({460, 6, 5, false}), Millis {0});
}

TEST(PlainAttempt, EndpointsWithoutAConnectionLimitGetRequestsAtOnce)
{
    EXPECT_EQ(connectionSettleTime({0, 6, 40, true}), Millis {0});
    EXPECT_EQ(connectionSettleTime({460, 0, 40, false}), Millis {0});
}

TEST(PlainAttempt, PatienceFollowsTheTargetLatency)
{
    EXPECT_EQ(attemptPatience(150_ms), 450_ms);
    EXPECT_EQ(attemptPatience(10_ms), 250_ms);
}

TEST(PlainAttempt, OnlyAnswersThatReportAFailureAreReasonToRepeatAtTheSameEndpoint)
{
    EXPECT_TRUE(mayRepeatAfter(SendOutcome::Failed));
    EXPECT_FALSE(mayRepeatAfter(SendOutcome::NotRun));
    EXPECT_FALSE(mayRepeatAfter(SendOutcome::Refused));
    EXPECT_FALSE(mayRepeatAfter(SendOutcome::TimedOut));
}

// Anonymous callers send more than most accounts, on routes without a rank of their own.
TEST(PlainAttempt, RequestsWithoutAnAccountDoNotGoBeforeThoseOfAccounts)
{
    const ServiceName desk("desk");
    Route booking;
    booking.priority = 2;
    booking.services = {{desk, 1}};
    Route open = booking;
    open.priority = 0;
    open.anonymous = true;
    ServingConfig config;
    config.routes = {booking, open};
    AccountSpec account;
    EXPECT_EQ(slotPriority(config, desk, booking, &account), 2);
    EXPECT_EQ(slotPriority(config, desk, open, nullptr), 2);
    account.priority = 1;
    EXPECT_EQ(slotPriority(config, desk, booking, &account), 1);
}

TEST(PlainAttempt, OutcomesTellWhetherTheEndpointIsFull)
{
    EXPECT_EQ(slotUseOf(SendOutcome::NotRun), SlotUse::Rejected);
    EXPECT_EQ(slotUseOf(SendOutcome::NotSent), SlotUse::Rejected);
    EXPECT_EQ(slotUseOf(SendOutcome::TimedOut), SlotUse::Failed);
    EXPECT_EQ(slotUseOf(SendOutcome::ZoneOut), SlotUse::Unused);
}

} // namespace
