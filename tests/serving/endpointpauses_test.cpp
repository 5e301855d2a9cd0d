#include "fescue/serving/endpointpauses.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");
constexpr Incarnation life {7};

TEST(EndpointPauses, PauseLastsForItsTime)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, life, 2_s);
    EXPECT_TRUE(pauses.isPaused(Millis {2'999}, endpoint, life));
    EXPECT_EQ(pauses.remaining(2_s, endpoint, life), 1_s);
    EXPECT_FALSE(pauses.isPaused(3_s, endpoint, life));
    EXPECT_FALSE(pauses.isPaused(2_s, EndpointName("e2"), life));
}

TEST(EndpointPauses, PauseEndsWithTheLifeThatAskedForIt)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, life, 20_s);
    EXPECT_FALSE(pauses.isPaused(2_s, endpoint, {8}));
    // The next incarnation may request a shorter pause.
    pauses.pause(2_s, endpoint, {8}, 1_s);
    EXPECT_TRUE(pauses.isPaused(Millis {2'500}, endpoint, {8}));
    EXPECT_FALSE(pauses.isPaused(3_s, endpoint, {8}));
}

TEST(EndpointPauses, ShorterPauseDoesNotEndALongerOne)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, life, 10_s);
    pauses.pause(2_s, endpoint, life, 1_s);
    EXPECT_TRUE(pauses.isPaused(10_s, endpoint, life));
}

TEST(EndpointPauses, HugeAndNegativePausesStayWithinRange)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, life, Millis {std::numeric_limits<std::int64_t>::max()});
    EXPECT_EQ(pauses.remaining(1_s, endpoint, life), EndpointPauses::maxPause);
    const EndpointName other("e2");
    pauses.pause(1_s, other, life, Millis {-5});
    EXPECT_FALSE(pauses.isPaused(1_s, other, life));
}

TEST(EndpointPauses, EndedPausesAreForgotten)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, life, 1_s);
    pauses.purge(Millis {1'500});
    EXPECT_TRUE(pauses.isPaused(Millis {1'500}, endpoint, life));
    pauses.purge(2_s);
    EXPECT_EQ(pauses.remaining(Millis {1'500}, endpoint, life), Millis {0});
}

} // namespace
