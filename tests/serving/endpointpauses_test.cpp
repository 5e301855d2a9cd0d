#include "fescue/serving/endpointpauses.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");
constexpr Incarnation incarnation {7};

TEST(EndpointPauses, PauseLastsForItsTime)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, incarnation, 2_s);
    EXPECT_TRUE(pauses.isPaused(Millis {2'999}, endpoint, incarnation));
    EXPECT_EQ(pauses.remaining(2_s, endpoint, incarnation), 1_s);
    EXPECT_FALSE(pauses.isPaused(3_s, endpoint, incarnation));
    EXPECT_FALSE(pauses.isPaused(2_s, EndpointName("e2"), incarnation));
}

TEST(EndpointPauses, PauseEndsWithItsIncarnation)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, incarnation, 20_s);
    EXPECT_FALSE(pauses.isPaused(2_s, endpoint, {8}));
    // The next incarnation may request a shorter pause.
    pauses.pause(2_s, endpoint, {8}, 1_s);
    EXPECT_TRUE(pauses.isPaused(Millis {2'500}, endpoint, {8}));
    EXPECT_FALSE(pauses.isPaused(3_s, endpoint, {8}));
}

TEST(EndpointPauses, ShorterPauseDoesNotEndALongerOne)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, incarnation, 10_s);
    pauses.pause(2_s, endpoint, incarnation, 1_s);
    EXPECT_TRUE(pauses.isPaused(10_s, endpoint, incarnation));
}

TEST(EndpointPauses, HugeAndNegativePausesStayWithinRange)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, incarnation, Millis {std::numeric_limits<std::int64_t>::max()});
    EXPECT_EQ(pauses.remaining(1_s, endpoint, incarnation), EndpointPauses::maxPause);
    const EndpointName other("e2");
    pauses.pause(1_s, other, incarnation, Millis {-5});
    EXPECT_FALSE(pauses.isPaused(1_s, other, incarnation));
}

TEST(EndpointPauses, PurgeRemovesEndedPauses)
{
    EndpointPauses pauses;
    pauses.pause(1_s, endpoint, incarnation, 1_s);
    pauses.purge(Millis {1'500});
    EXPECT_TRUE(pauses.isPaused(Millis {1'500}, endpoint, incarnation));
    pauses.purge(2_s);
    EXPECT_EQ(pauses.remaining(Millis {1'500}, endpoint, incarnation), Millis {0});
}

} // namespace
