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

} // namespace
