#include "fescue/serving/coldratelimiter.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");

TEST(ColdRateLimiter, EnforcesItsShareInAnySecond)
{
    ColdRateLimiter limiter;
    EXPECT_TRUE(limiter.tryTake(1_s, endpoint, 2));
    EXPECT_TRUE(limiter.tryTake(Millis {1'500}, endpoint, 2));
    EXPECT_FALSE(limiter.tryTake(Millis {2'100}, endpoint, 2));
    EXPECT_TRUE(limiter.tryTake(Millis {2'150}, endpoint, 2));
}

TEST(ColdRateLimiter, RejectsAllRequestsWithoutAShare)
{
    ColdRateLimiter limiter;
    EXPECT_FALSE(limiter.wouldTake(1_s, endpoint, 0));
    EXPECT_FALSE(limiter.tryTake(1_s, endpoint, 0));
}

TEST(ColdRateLimiter, CountsEndpointsSeparately)
{
    ColdRateLimiter limiter;
    EXPECT_TRUE(limiter.tryTake(1_s, endpoint, 1));
    EXPECT_FALSE(limiter.wouldTake(1_s, endpoint, 1));
    EXPECT_TRUE(limiter.tryTake(1_s, EndpointName("e2"), 1));
    limiter.purge(3_s);
    EXPECT_TRUE(limiter.wouldTake(3_s, endpoint, 1));
}

} // namespace
