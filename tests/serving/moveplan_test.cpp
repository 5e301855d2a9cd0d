#include "fescue/serving/moveplan.h"
#include "tests/serving/settledshares.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Engines of one service, with their load and the copies in progress.
class Fleet
{
public:
    Fleet()
    {
        model.slots = 64;
        model.memoryTokens = 34'631;
        model.bytesPerToken = 18'432;
        model.linkMegabitsPerSecond = 2'700;
        model.canMove = true;
        model.canBackUp = true;
    }

    void add(const char *name, const char *zone, Millis cold = 0_ms)
    {
        EndpointRecord record;
        record.name = EndpointName(name);
        record.service = ServiceName("engines");
        record.zone = ZoneName(zone);
        record.slots = 64;
        record.coldRemaining = cold;
        table.listed(now, record);
    }

    void leave(const char *name) { table.removed(now, EndpointName(name)); }

    [[nodiscard]] PlacementView view()
    {
        return {ledger, health, limiter, shares, 50, ZoneName("north"), now};
    }

    [[nodiscard]] MoveDecision plan(const char *source, const MovingRun &run, double uniform = 0)
    {
        const std::vector<const EndpointView *> candidates = table.usable(ServiceName("engines"));
        return planMove(*table.find(EndpointName(source)), run, candidates, model, view(), {},
                        links, uniform);
    }

    Millis now = 10_s;
    EngineModel model;
    EndpointTable table;
    LoadLedger ledger;
    EndpointHealth health;
    ColdRateLimiter limiter;
    ColdShares shares = test::settledShares(9);
    LinkQueue links;
};

const MovingRun longRun {4'000, 4'500, 800, Millis {11'500}};

TEST(MovePlan, PrefersTheZoneWhereCopiesTakeHalfTheTime)
{
    Fleet fleet;
    fleet.add("source", "north");
    fleet.add("far", "south");
    fleet.add("near", "north");
    fleet.leave("source");
    const MoveDecision decision = fleet.plan("source", longRun);
    ASSERT_EQ(decision.verdict, MoveVerdict::Move);
    EXPECT_EQ(decision.destination->record.name, EndpointName("near"));
}

TEST(MovePlan, CopyTimeFollowsTheLink)
{
    const Fleet fleet;
    EXPECT_EQ(copyTime(fleet.model, 4'000, true), Millis {218});
    EXPECT_EQ(copyTime(fleet.model, 4'000, false), Millis {436});
}

TEST(MovePlan, GenerationThatEndsWellBeforeItsEngineStays)
{
    Fleet fleet;
    fleet.add("source", "north");
    fleet.add("near", "north");
    fleet.leave("source");
    EXPECT_EQ(fleet.plan("source", {2'000, 2'020, 40, Millis {11'500}}).verdict,
              MoveVerdict::EndsInTime);
    EXPECT_EQ(fleet.plan("source", {2'000, 2'100, 100, Millis {11'500}}).verdict,
              MoveVerdict::Move);
}

TEST(MovePlan, FullEnginesAreNoDestination)
{
    Fleet fleet;
    fleet.add("source", "north");
    fleet.add("near", "north");
    fleet.leave("source");
    fleet.ledger.add(EndpointName("near"), {8, 31'000, 0});
    EXPECT_EQ(fleet.plan("source", longRun).verdict, MoveVerdict::NoDestination);
}

// Guards against moving all generations of an engine to the same destination: each belongs to
// another process, and all processes see the same free engines.
TEST(MovePlan, ProcessesWithTheSameViewSpreadTheirMoves)
{
    Fleet fleet;
    fleet.add("source", "north");
    for (const char *name : {"n1", "n2", "n3", "n4"})
        fleet.add(name, "north");
    fleet.leave("source");
    std::map<std::string, int> chosen;
    for (int n = 0; n < 400; ++n)
        ++chosen[fleet.plan("source", longRun, n / 400.0).destination->record.name.text()];
    EXPECT_EQ(chosen.size(), 4U);
    for (const std::pair<const std::string, int> &entry : chosen)
        EXPECT_LT(entry.second, 200) << entry.first;
}

// Guards against stopping a generation while its link is busy: copies of many generations share one
// link, and the stopped generation would pause for as long as the queued copies of others take. Nor
// is it copied again, since that copy would wait there as well until the engine has terminated.
TEST(StepAfterCopy, HandsOverWhileTheLinkIsBusyAndStopsWhenItIsIdle)
{
    EXPECT_EQ(stepAfterCopy(300_ms), CopyStep::HandOver);
    EXPECT_EQ(stepAfterCopy(500_ms), CopyStep::HandOver);
    EXPECT_EQ(stepAfterCopy(20_ms), CopyStep::Stop);
}

TEST(ChooseBackup, ChoosesTheEmptiestEngineOfTheZone)
{
    Fleet fleet;
    fleet.add("source", "north");
    fleet.add("near", "north");
    fleet.add("empty", "north");
    fleet.add("far", "south");
    fleet.ledger.add(EndpointName("near"), {2, 8'000, 0});
    const std::vector<const EndpointView *> candidates = fleet.table.usable(ServiceName("engines"));
    const EndpointView *backup = chooseBackup(*fleet.table.find(EndpointName("source")), 4'000,
                                              candidates, fleet.model, fleet.view());
    ASSERT_NE(backup, nullptr);
    EXPECT_EQ(backup->record.name, EndpointName("empty"));
}

TEST(ChooseBackup, LeavesRoomForNewGenerations)
{
    Fleet fleet;
    fleet.add("source", "north");
    fleet.add("near", "north");
    fleet.ledger.add(EndpointName("near"), {6, 28'500, 0});
    const std::vector<const EndpointView *> candidates = fleet.table.usable(ServiceName("engines"));
    EXPECT_EQ(chooseBackup(*fleet.table.find(EndpointName("source")), 4'000, candidates,
                           fleet.model, fleet.view()),
              nullptr);
}

// Guards against backups that make engines preempt running requests. This happened while the mean
// memory use was high: the free memory also has to hold the generations of engines that leave.
TEST(ChooseBackup, NoneIfMeanFreeMemoryIsLow)
{
    Fleet fleet;
    for (const char *name : {"source", "a", "b", "c"})
        fleet.add(name, "north");
    for (const char *name : {"a", "b", "source"})
        fleet.ledger.add(EndpointName(name), {5, 22'000, 0});
    const std::vector<const EndpointView *> candidates = fleet.table.usable(ServiceName("engines"));
    EXPECT_EQ(chooseBackup(*fleet.table.find(EndpointName("source")), 4'000, candidates,
                           fleet.model, fleet.view()),
              nullptr);
}

TEST(LinkQueue, CopiesToOneEngineWaitForEachOther)
{
    LinkQueue links;
    links.addCopy(EndpointName("a"), 1_s, 200_ms);
    links.addCopy(EndpointName("a"), 1_s, 300_ms);
    EXPECT_EQ(links.backlog(EndpointName("a"), Millis {1'100}), 400_ms);
    EXPECT_EQ(links.backlog(EndpointName("b"), Millis {1'100}), 0_ms);
    EXPECT_EQ(links.backlog(EndpointName("a"), 2_s), 0_ms);
}

// Guards against starting more copies than the link can carry before the engine terminates:
// interrupted copies filled the memory of the remaining engines.
TEST(CopyFits, AboutAsManyCopiesAreBegunAsTheLinkCarries)
{
    const auto startedCopies = [](Millis left, std::uint32_t requests) {
        std::uint32_t n = 0;
        for (std::uint32_t i = 0; i < 100 * requests; ++i)
            n += copyFits("id-" + std::to_string(i), left, 200_ms * requests, 200_ms) ? 1 : 0;
        return static_cast<double>(n) / 100;
    };
    // About seven copies of 200 ms fit into 1.5 s less the margin for the stop.
    EXPECT_DOUBLE_EQ(startedCopies(1500_ms, 5), 5);
    EXPECT_NEAR(startedCopies(1500_ms, 9), 6.75, 0.5);
    EXPECT_NEAR(startedCopies(650_ms, 8), 2.5, 0.5);
    EXPECT_DOUBLE_EQ(startedCopies(340_ms, 8), 0);
    EXPECT_DOUBLE_EQ(startedCopies(Millis {-5000}, 1), 0);
}

// Answers an engine that runs a few long generations beside many short ones: what the short ones
// hold is all that counts against the long ones.
TEST(CopyFits, ShortGenerationsTakeNoMoreOfTheLinkThanTheyHold)
{
    const Millis shortCopies = 20_ms * 10;
    const Millis longCopies = 300_ms * 3;
    for (int i = 0; i < 50; ++i)
        EXPECT_TRUE(copyFits("id-" + std::to_string(i), 1500_ms, shortCopies + longCopies, 300_ms));
}

TEST(CopyFits, ChoiceStaysWhileTimePasses)
{
    for (int i = 0; i < 50; ++i) {
        const std::string id = "id-" + std::to_string(i);
        if (!copyFits(id, 1200_ms, 1800_ms, 200_ms))
            EXPECT_FALSE(copyFits(id, 800_ms, 1800_ms, 200_ms));
    }
}

} // namespace
