#include "fescue/core/freshness.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

constexpr ConfigVersion one {1};
constexpr ConfigVersion two {2};
const MemberName peerA {"a"};
const MemberName peerB {"b"};

// Lets time pass without a pause of the process.
void run(FreshnessJudge &judge, Millis from, Millis to)
{
    for (Millis now = from; now <= to; now += 100_ms)
        judge.tick(now);
}

TEST(FreshnessJudge, ContactCountsFromTheTimeOfAsking)
{
    FreshnessJudge judge;
    judge.storeContact(0_ms, one);
    run(judge, 0_ms, 2_s);
    EXPECT_EQ(judge.verdict(2_s, one, 4), FreshnessVerdict::Fresh);
    EXPECT_EQ(judge.verdict(2001_ms, one, 4), FreshnessVerdict::Isolated);
}

TEST(FreshnessJudge, VouchAgeAddsToTheTimeOfAsking)
{
    FreshnessJudge judge;
    run(judge, 0_ms, 1_s);
    judge.peerAnswered(peerA, 1_s, {500_ms, one});
    run(judge, 1_s, 2500_ms);
    EXPECT_EQ(judge.verdict(2500_ms, one, 4), FreshnessVerdict::Fresh);
    EXPECT_EQ(judge.verdict(2501_ms, one, 4), FreshnessVerdict::Isolated);
    EXPECT_EQ(judge.ownVouch(2501_ms).contactAge, 2001_ms);
}

TEST(FreshnessJudge, ContactWithANewerVersionConfirmsNothing)
{
    FreshnessJudge judge;
    judge.storeContact(0_ms, one);
    judge.storeContact(500_ms, two);
    run(judge, 0_ms, 2_s);
    EXPECT_EQ(judge.verdict(2_s, one, 1), FreshnessVerdict::Fresh) << "by the earlier contact";
    judge.peerAnswered(peerA, 2_s, {});
    EXPECT_EQ(judge.verdict(2100_ms, one, 1), FreshnessVerdict::Isolated);
    EXPECT_EQ(judge.verdict(2100_ms, two, 1), FreshnessVerdict::Fresh);
}

TEST(FreshnessJudge, StoreThatWentBackConfirmsNothing)
{
    FreshnessJudge judge;
    run(judge, 0_ms, 1_s);
    judge.storeContact(900_ms, one);
    judge.versionExists(two);
    EXPECT_EQ(judge.verdict(1100_ms, one, 0), FreshnessVerdict::Fresh) << "asked before";
    run(judge, 1100_ms, 2500_ms);
    judge.storeContact(2500_ms, one);
    EXPECT_EQ(judge.verdict(2901_ms, one, 0), FreshnessVerdict::Isolated);
}

TEST(FreshnessJudge, OutageNeedsMostPeers)
{
    FreshnessJudge judge;
    run(judge, 0_ms, 5_s);
    judge.peerAnswered(peerA, 5_s, {});
    EXPECT_EQ(judge.verdict(5_s, one, 4), FreshnessVerdict::Isolated);
    judge.peerAnswered(peerB, 5_s, {4_s, one});
    EXPECT_EQ(judge.verdict(5_s, one, 4), FreshnessVerdict::Outage);
    judge.forgetPeer(peerB);
    EXPECT_EQ(judge.verdict(5_s, one, 4), FreshnessVerdict::Isolated);
}

TEST(FreshnessJudge, AloneInTheFleetMeansOutage)
{
    FreshnessJudge judge;
    EXPECT_EQ(judge.verdict(0_ms, one, 0), FreshnessVerdict::Outage);
    EXPECT_EQ(judge.verdict(0_ms, one, 1), FreshnessVerdict::Isolated);
}

TEST(FreshnessJudge, NothingFromBeforeAPauseCounts)
{
    FreshnessJudge judge;
    judge.tick(0_ms);
    judge.storeContact(0_ms, one);
    judge.peerAnswered(peerA, 0_ms, {0_ms, one});
    EXPECT_EQ(judge.verdict(1001_ms, one, 1), FreshnessVerdict::Isolated);
    judge.storeContact(1100_ms, one);
    EXPECT_EQ(judge.verdict(1200_ms, one, 1), FreshnessVerdict::Fresh);
}

} // namespace
