#include "fescue/core/linkmonitor.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

// Two ends of one link, with a switch for each direction.
struct Link
{
    LinkMonitor near {0_ms};
    LinkMonitor far {0_ms};
    bool toFar = true;
    bool toNear = true;

    // Returns the first verdict of the near end that is not about heartbeats.
    LinkStep run(Millis from, Millis to)
    {
        for (Millis now = from; now <= to; now += 100_ms) {
            const LinkStep step = near.tick(now);
            if (step == LinkStep::SendHeartbeat) {
                const LinkHeartbeat beat = near.nextHeartbeat(now);
                if (toFar)
                    far.received(now, beat);
            } else if (step != LinkStep::None) {
                return step;
            }
            if (far.tick(now) == LinkStep::SendHeartbeat) {
                const LinkHeartbeat beat = far.nextHeartbeat(now);
                if (toNear)
                    near.received(now, beat);
            }
        }
        return LinkStep::None;
    }
};

TEST(LinkMonitor, HealthyLinkStays)
{
    Link link;
    EXPECT_EQ(link.run(0_ms, 60_s), LinkStep::None);
}

TEST(LinkMonitor, SilenceOfThePeerIsFoundWithinSeconds)
{
    Link link;
    EXPECT_EQ(link.run(0_ms, 10_s), LinkStep::None);
    link.toNear = false;
    EXPECT_EQ(link.run(10100_ms, 12900_ms), LinkStep::CloseNothingReceived);
}

TEST(LinkMonitor, OwnMessagesThatGetLostAreFoundAlthoughThePeerIsHeard)
{
    Link link;
    EXPECT_EQ(link.run(0_ms, 10_s), LinkStep::None);
    link.toFar = false;
    EXPECT_EQ(link.run(10100_ms, 12900_ms), LinkStep::CloseNothingAcknowledged);
}

TEST(LinkMonitor, OwnPauseDoesNotCloseTheLink)
{
    Link link;
    EXPECT_EQ(link.run(0_ms, 1_s), LinkStep::None);
    EXPECT_NE(link.near.tick(9_s), LinkStep::CloseNothingReceived);
    EXPECT_EQ(link.near.tick(10900_ms), LinkStep::SendHeartbeat) << "another pause";
}

TEST(ReconnectTimer, BacksOffUntilALinkHolds)
{
    ReconnectTimer timer;
    EXPECT_TRUE(timer.due(0_ms));
    timer.lost(0_ms, 0.0);
    EXPECT_FALSE(timer.due(49_ms));
    EXPECT_TRUE(timer.due(50_ms));
    timer.lost(50_ms, 0.0);
    EXPECT_FALSE(timer.due(149_ms));
    timer.established();
    timer.lost(1_s, 0.0);
    EXPECT_TRUE(timer.due(1050_ms));
}

} // namespace
