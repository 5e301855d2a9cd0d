#include "fescue/serving/attemptpolicy.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

constexpr Millis enough = 1_s;

AttemptVerdict verdictAfter(AttemptPolicy &policy, SendOutcome outcome, Millis left = enough,
                            bool budget = true)
{
    return policy.verdictAfter(outcome, left, [budget](RetryPurpose) { return budget; });
}

TEST(AttemptPolicy, NonIdempotentRequestIsNeverSentAgainOnceItMayHaveRun)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Streaming}) {
        for (const SendOutcome outcome : {SendOutcome::Lost, SendOutcome::TimedOut}) {
            AttemptPolicy policy(kind, 5);
            EXPECT_EQ(verdictAfter(policy, outcome), AttemptVerdict::FailUnknown);
        }
        AttemptPolicy failed(kind, 5);
        EXPECT_EQ(verdictAfter(failed, SendOutcome::Failed), AttemptVerdict::ForwardAnswer);
    }
}

// Guards against losing a stream before its first event although its route lets it run again.
TEST(AttemptPolicy, ResumableStreamIsSentAgainLikeAnIdempotentRequest)
{
    for (const SendOutcome outcome :
         {SendOutcome::Failed, SendOutcome::Lost, SendOutcome::Foreign, SendOutcome::TimedOut}) {
        AttemptPolicy policy(RouteKind::Streaming, 2, true);
        EXPECT_EQ(verdictAfter(policy, outcome), AttemptVerdict::TryAnother);
        EXPECT_TRUE(policy.mayRunAgain(enough));
        EXPECT_NE(verdictAfter(policy, outcome), AttemptVerdict::TryAnother);
        EXPECT_FALSE(policy.mayRunAgain(enough));
        policy.discountEnded();
        EXPECT_TRUE(policy.mayRunAgain(enough));
        policy.countResumed();
        EXPECT_FALSE(policy.mayRunAgain(enough));
    }
    EXPECT_FALSE(AttemptPolicy(RouteKind::Streaming, 2).mayRunAgain(enough));
}

TEST(AttemptPolicy, NotRunIsReportedOnlyIfItIsCertain)
{
    AttemptPolicy shed(RouteKind::NonIdempotent, 1);
    EXPECT_EQ(verdictAfter(shed, SendOutcome::NotRun, enough, false), AttemptVerdict::RefuseNotRun);
    AttemptPolicy lostThenShed(RouteKind::Idempotent, 2);
    EXPECT_EQ(verdictAfter(lostThenShed, SendOutcome::Lost), AttemptVerdict::TryAnother);
    EXPECT_EQ(verdictAfter(lostThenShed, SendOutcome::NotRun, enough, false),
              AttemptVerdict::FailUnknown);
}

TEST(AttemptPolicy, IdempotentRequestIsSentToNoMoreEndpointsThanAllowed)
{
    AttemptPolicy policy(RouteKind::Idempotent, 2);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::Failed), AttemptVerdict::TryAnother);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::Failed), AttemptVerdict::ForwardAnswer);
    EXPECT_EQ(policy.sent(), 2U);
}

TEST(AttemptPolicy, NothingIsRetriedWithoutBudgetOrTime)
{
    AttemptPolicy poor(RouteKind::Idempotent, 3);
    EXPECT_EQ(verdictAfter(poor, SendOutcome::Lost, enough, false), AttemptVerdict::FailUnknown);
    AttemptPolicy late(RouteKind::Idempotent, 3);
    EXPECT_EQ(verdictAfter(late, SendOutcome::Lost, 5_ms), AttemptVerdict::FailUnknown);
}

TEST(AttemptPolicy, AttemptsThatSentNothingHaveALimitOfTheirOwn)
{
    AttemptPolicy policy(RouteKind::NonIdempotent, 1);
    for (int n = 0; n < 4; ++n)
        EXPECT_EQ(verdictAfter(policy, SendOutcome::NotSent, enough, false),
                  AttemptVerdict::TryAnother);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::NotSent), AttemptVerdict::RefuseNotRun);
}

TEST(AttemptPolicy, AddressTakenOverByAnotherEndpointIsNoAttempt)
{
    AttemptPolicy policy(RouteKind::NonIdempotent, 1);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::OtherEndpoint), AttemptVerdict::TryAnother);
    EXPECT_EQ(policy.sent(), 0U);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::Succeeded), AttemptVerdict::ForwardAnswer);
}

TEST(AttemptPolicy, NothingIsSentWhenTheCallerHasDisconnected)
{
    AttemptPolicy policy(RouteKind::Idempotent, 2);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::CallerGone), AttemptVerdict::Abandon);
}

// Guards against rejecting a request because the chosen engine is full while others have room. The
// limit on attempts counts endpoints on which a request runs; an endpoint that rejected it has not
// run it.
TEST(AttemptPolicy, RejectedRequestIsSentToAnotherEndpointDespiteTheLimit)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Streaming}) {
        AttemptPolicy policy(kind, 1);
        EXPECT_EQ(verdictAfter(policy, SendOutcome::NotRun), AttemptVerdict::TryAnother);
        EXPECT_EQ(verdictAfter(policy, SendOutcome::NotRun), AttemptVerdict::TryAnother);
        EXPECT_EQ(verdictAfter(policy, SendOutcome::NotRun), AttemptVerdict::RefuseNotRun);
        EXPECT_EQ(policy.sent(), 0U);
        EXPECT_FALSE(policy.mayHaveRun());
    }
}

TEST(AttemptPolicy, RejectionAfterALostAttemptMayStillHaveRun)
{
    AttemptPolicy policy(RouteKind::Idempotent, 2);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::Lost), AttemptVerdict::TryAnother);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::NotRun), AttemptVerdict::TryAnother);
    EXPECT_EQ(verdictAfter(policy, SendOutcome::Lost), AttemptVerdict::FailUnknown);
    EXPECT_EQ(policy.sent(), 2U);
}

TEST(AttemptPolicy, RetriesOfRejectedRequestsAreDistinguished)
{
    AttemptPolicy policy(RouteKind::Idempotent, 3);
    RetryPurpose purpose = RetryPurpose::Rescue;
    const auto take = [&purpose](RetryPurpose use) {
        purpose = use;
        return true;
    };
    static_cast<void>(policy.verdictAfter(SendOutcome::NotRun, enough, take));
    EXPECT_EQ(purpose, RetryPurpose::Rejected);
    static_cast<void>(policy.verdictAfter(SendOutcome::Lost, enough, take));
    EXPECT_EQ(purpose, RetryPurpose::Rescue);
}

} // namespace
