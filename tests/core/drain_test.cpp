// P8: a graceful shutdown ends no request. Callers keep a directory answer for its time to live,
// and other members name a leaving one until they learn of it.

#include "fescue/core/drain.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

constexpr Millis ttl = 10_s;
constexpr Millis stepTime = 100_ms;
constexpr Millis stopAt = 1_s;
constexpr Millis endAt = 60_s;

// What happens around a shutdown.
struct DrainCase
{
    // Time from the signal to the confirmation that this member is marked as leaving.
    Millis confirmedAfter {0};
    // Length of each request.
    Millis requestTime {0};
    bool stoppedTwice = false;
    bool ttlRaised = false;
};

class DrainMatrix : public testing::TestWithParam<DrainCase>
{ };

TEST_P(DrainMatrix, NoRequestIsRefusedOrCut)
{
    const DrainCase &param = GetParam();
    const DrainLimits limits;
    DrainMachine drain(ttl, limits);
    const Millis longestTtl = param.ttlRaised ? ttl + ttl : ttl;
    // The last caller asks another member directly before that learns of the shutdown.
    const Millis lastArrival =
        stopAt + param.confirmedAfter + limits.spreadTime + longestTtl - stepTime;
    bool exited = false;
    for (Millis now {0}; now < endAt && !exited; now += stepTime) {
        if (now == stopAt)
            EXPECT_EQ(drain.stop(now), DrainStep::LeaveDirectory);
        if (param.stoppedTwice && now == stopAt + 1_s)
            EXPECT_EQ(drain.stop(now), DrainStep::ReportOpen);
        if (param.ttlRaised && now == stopAt + 2_s)
            drain.raiseDirectoryTtl(longestTtl);
        if (now == stopAt + param.confirmedAfter)
            drain.withdrawalConfirmed(now);
        const bool arrives = now <= lastArrival;
        EXPECT_TRUE(!arrives || drain.acceptsNew()) << "refused at " << now.count;
        const std::size_t open = now < lastArrival + param.requestTime ? 1 : 0;
        const DrainStep step = drain.tick(now, open);
        if (step == DrainStep::CloseConnections)
            drain.connectionsClosed();
        exited = step == DrainStep::Exit;
        EXPECT_TRUE(!exited || open == 0) << "cut at " << now.count;
        EXPECT_EQ(drain.listedInDirectory(), now < stopAt);
    }
    EXPECT_TRUE(exited);
}

INSTANTIATE_TEST_SUITE_P(Cases, DrainMatrix,
                         testing::Values(DrainCase {0_ms, 100_ms}, DrainCase {2_s, 100_ms},
                                         DrainCase {4900_ms, 100_ms}, DrainCase {0_ms, 30_s},
                                         DrainCase {2_s, 20_s, true}, DrainCase {0_ms, 1_s, true},
                                         DrainCase {0_ms, 1_s, false, true},
                                         DrainCase {4_s, 15_s, true, true}));

TEST(DrainMachine, DoesNotWaitForeverForTheConfirmation)
{
    DrainMachine drain(ttl);
    static_cast<void>(drain.stop(0_ms));
    EXPECT_EQ(drain.tick(17900_ms, 0), DrainStep::None);
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::RefuseNew);
    EXPECT_EQ(drain.tick(18_s, 1), DrainStep::None);
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::CloseConnections);
    drain.connectionsClosed();
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::Exit);
}

// Guards against an exit between the moment in which nothing is open and the end of a request that
// was half read, or on a connection that the kernel held.
TEST(DrainMachine, RequestsThatComeBeforeTheListenerEndsAreNotCut)
{
    DrainMachine drain(ttl);
    static_cast<void>(drain.stop(0_ms));
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::RefuseNew);
    EXPECT_EQ(drain.tick(18100_ms, 0), DrainStep::CloseConnections);
    EXPECT_EQ(drain.tick(18200_ms, 0), DrainStep::None);
    EXPECT_EQ(drain.tick(18300_ms, 1), DrainStep::None);
    drain.connectionsClosed();
    // An outcome may still have to be kept.
    EXPECT_EQ(drain.tick(18400_ms, 1), DrainStep::None);
    EXPECT_EQ(drain.tick(18500_ms, 0), DrainStep::Exit);
    EXPECT_EQ(drain.tick(18600_ms, 0), DrainStep::None);
}

TEST(DrainMachine, DoesNotWaitForeverForConnections)
{
    DrainMachine drain(ttl);
    static_cast<void>(drain.stop(0_ms));
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::RefuseNew);
    EXPECT_EQ(drain.tick(18_s, 0), DrainStep::CloseConnections);
    EXPECT_EQ(drain.tick(29900_ms, 0), DrainStep::None);
    EXPECT_EQ(drain.tick(30_s, 1), DrainStep::None);
    EXPECT_EQ(drain.tick(30_s, 0), DrainStep::Exit);
}

TEST(DrainMachine, RefusesEverythingBeforeItsTimeIsOver)
{
    DrainLimits limits;
    limits.grace = 20_s;
    DrainMachine drain(ttl, limits);
    EXPECT_FALSE(drain.lastCallEnd().isSet());
    static_cast<void>(drain.stop(1_s));
    EXPECT_EQ(drain.lastCallEnd(), Deadline::after(1_s, 19_s));
    EXPECT_EQ(drain.stop(2_s), DrainStep::ReportOpen);
    EXPECT_EQ(drain.lastCallEnd(), Deadline::after(1_s, 19_s));
    EXPECT_EQ(drain.tick(19900_ms, 1), DrainStep::RefuseNew);
    EXPECT_EQ(drain.tick(20_s, 1), DrainStep::RefuseAll);
    EXPECT_FALSE(drain.acceptsNew());
    EXPECT_EQ(drain.tick(20900_ms, 1), DrainStep::None);
    EXPECT_EQ(drain.tick(21_s, 1), DrainStep::GiveUp);
    EXPECT_EQ(drain.tick(22_s, 0), DrainStep::None);
}

TEST(DrainMachine, EndsInOrderWhereEverythingHasAnAnswerInTime)
{
    DrainLimits limits;
    limits.grace = 2_s;
    DrainMachine drain(ttl, limits);
    static_cast<void>(drain.stop(0_ms));
    EXPECT_EQ(drain.tick(1_s, 3), DrainStep::RefuseAll);
    EXPECT_EQ(drain.tick(1500_ms, 0), DrainStep::None);
    drain.connectionsClosed();
    EXPECT_EQ(drain.tick(1600_ms, 0), DrainStep::Exit);
}

TEST(DrainMachine, CallsFitOnlyWhereTheyEndBeforeTheProcess)
{
    const Deadline end = Deadline::after(0_ms, 10_s);
    EXPECT_TRUE(endsBefore(Deadline::after(0_ms, 10_s), end));
    EXPECT_FALSE(endsBefore(Deadline::after(0_ms, 10001_ms), end));
    EXPECT_FALSE(endsBefore(Deadline {}, end));
    EXPECT_TRUE(endsBefore(Deadline {}, Deadline {}));
}

} // namespace
