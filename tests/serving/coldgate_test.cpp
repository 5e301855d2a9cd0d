#include "fescue/serving/coldgate.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");

TEST(ColdRateLimiter, TakesItsPartInAnySecond)
{
    ColdRateLimiter gate;
    EXPECT_TRUE(gate.tryTake(1_s, endpoint, 2));
    EXPECT_TRUE(gate.tryTake(Millis {1'500}, endpoint, 2));
    EXPECT_FALSE(gate.tryTake(Millis {2'100}, endpoint, 2));
    EXPECT_TRUE(gate.tryTake(Millis {2'150}, endpoint, 2));
}

TEST(ColdRateLimiter, NothingIsTakenWithoutAPart)
{
    ColdRateLimiter gate;
    EXPECT_FALSE(gate.wouldTake(1_s, endpoint, 0));
    EXPECT_FALSE(gate.tryTake(1_s, endpoint, 0));
}

TEST(ColdRateLimiter, EndpointsCountByThemselves)
{
    ColdRateLimiter gate;
    EXPECT_TRUE(gate.tryTake(1_s, endpoint, 1));
    EXPECT_FALSE(gate.wouldTake(1_s, endpoint, 1));
    EXPECT_TRUE(gate.tryTake(1_s, EndpointName("e2"), 1));
    gate.purge(3_s);
    EXPECT_TRUE(gate.wouldTake(3_s, endpoint, 1));
}

} // namespace
