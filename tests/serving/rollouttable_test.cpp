#include "fescue/serving/rollouttable.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("llm");
const RolloutLimits limits {0.1, 50, 5_s};
const RolloutOrder order {service, "v2", 30_s, {7, 1}};

RolloutRecord recordOf(const RolloutOrder &rolloutOrder, RolloutStage stage, std::uint64_t change)
{
    RolloutRecord record;
    record.service = service;
    record.version = rolloutOrder.version;
    record.duration = rolloutOrder.duration;
    record.stage = stage;
    record.change = change;
    record.order = rolloutOrder.revision;
    return record;
}

RolloutPermit permitFor(const RolloutOrder &rolloutOrder, bool isHalted = false)
{
    return {MemberName("c"), service, rolloutOrder.revision, {0}, isHalted, false};
}

class RolloutTableTest : public testing::Test
{
protected:
    RolloutTableTest()
    {
        add("old-a", "v1", {1});
        add("old-b", "v1", {1});
        add("new-a", "v2", {1});
    }

    void add(const char *name, const char *version, Millis at)
    {
        EndpointRecord record;
        record.name = EndpointName(name);
        record.service = service;
        record.softwareVersion = version;
        record.incarnation = {1};
        endpoints.listed(at, record);
    }

    void begin(double credit = 1)
    {
        EXPECT_EQ(table.orderWritten({0}, order, Millis {0}, credit), OrderEffect::Begun);
        EXPECT_TRUE(table.recordSeen({0}, {0}, recordOf(order, RolloutStage::Canary, 1)));
        EXPECT_TRUE(table.permitted({0}, permitFor(order)));
    }

    // Returns the names of the endpoints that requests of the service may go to.
    std::vector<std::string> candidates(Millis now)
    {
        std::vector<const EndpointView *> found = endpoints.usable(service);
        const VersionRule rule = table.ruleFor(now, service);
        if (rule == VersionRule::Any)
            RolloutTable::holdNewVersions(now, found);
        else
            table.filter(now, service, rule, endpoints.all(), found);
        std::vector<std::string> names;
        names.reserve(found.size());
        for (const EndpointView *view : found)
            names.push_back(view->record.name.text());
        return names;
    }

    using Names = std::vector<std::string>;
    const Names all {"new-a", "old-a", "old-b"};
    const Names onlyOld {"old-a", "old-b"};
    const Names onlyNew {"new-a"};
    EndpointTable endpoints;
    RolloutTable table;
};

// Earlier deployments have endpoints of several versions without any order.
TEST_F(RolloutTableTest, VersionsCountForNothingWithoutAnOrder)
{
    EXPECT_EQ(candidates({2}), all);
    EXPECT_FALSE(table.wantsNewVersion({2}, service, limits));
}

TEST_F(RolloutTableTest, NewVersionBesideAnOldOneWaitsForAnOrder)
{
    add("later", "v3", 60_s);
    EXPECT_EQ(candidates(60_s), all);
    EXPECT_EQ(candidates(60_s + RolloutTable::newVersionHold).size(), 4U);
}

TEST_F(RolloutTableTest, ProcessWithoutPermitSendsNothingToTheNewVersion)
{
    begin(4);
    EXPECT_TRUE(table.wantsNewVersion(1_s, service, limits));
    EXPECT_FALSE(table.wantsNewVersion(RolloutTable::permitLifetime + 1_ms, service, limits));
    EXPECT_EQ(candidates(10_s), onlyOld);
}

TEST_F(RolloutTableTest, QuotaHoldsFromTheFirstRequestOn)
{
    begin(0);
    EndpointRecord oldOne = endpoints.find(EndpointName("old-a"))->record;
    EndpointRecord newOne = endpoints.find(EndpointName("new-a"))->record;
    int sent = 0;
    int toNew = 0;
    while (sent < 1000) {
        const bool isNew = table.wantsNewVersion(1_s, service, limits);
        table.recordRequest(isNew ? newOne : oldOne, limits);
        ++sent;
        toNew += isNew ? 1 : 0;
        ASSERT_LE(toNew, limits.exposureShare * sent);
    }
    EXPECT_GT(toNew, 50);
}

TEST_F(RolloutTableTest, HaltStopsAtOnceAndOutlivesLaterPermits)
{
    begin(4);
    EXPECT_TRUE(table.permitted(100_ms, permitFor(order, true)));
    EXPECT_TRUE(table.permitted(200_ms, permitFor(order)));
    EXPECT_FALSE(table.wantsNewVersion(200_ms, service, limits));
}

TEST_F(RolloutTableTest, ClosingLeavesTheOldVersionsAndCompletionKeepsToTheNewOne)
{
    begin();
    ASSERT_TRUE(table.recordSeen(1_s, {0}, recordOf(order, RolloutStage::Closing, 2)));
    ASSERT_TRUE(table.permitted(1_s, permitFor(order)));
    EXPECT_EQ(candidates(1_s), onlyNew);
    EXPECT_TRUE(table.isRetiring(1_s, endpoints.find(EndpointName("old-a"))->record));
    EXPECT_FALSE(table.isRetiring(1_s, endpoints.find(EndpointName("new-a"))->record));
    ASSERT_TRUE(table.recordSeen(2_s, {0}, recordOf(order, RolloutStage::Completed, 3)));
    EXPECT_EQ(candidates(40_s), onlyNew);
    add("later", "v3", 60_s);
    EXPECT_EQ(candidates(70_s), (Names {"later", "new-a"}));
}

// Its new requests go to the old versions, so the running ones may stay there.
TEST_F(RolloutTableTest, ProcessWithoutPermitMovesNothingAwayFromTheOldVersions)
{
    begin();
    ASSERT_TRUE(table.recordSeen(1_s, {0}, recordOf(order, RolloutStage::Closing, 2)));
    ASSERT_TRUE(table.permitted(1_s, permitFor(order)));
    const EndpointRecord oldOne = endpoints.find(EndpointName("old-a"))->record;
    EXPECT_TRUE(table.isRetiring(1_s, oldOne));
    EXPECT_FALSE(table.isRetiring(1_s + RolloutTable::permitLifetime + 1_ms, oldOne));
}

// A process that starts long after the completion lists all versions at the same time.
TEST_F(RolloutTableTest, RestartedProcessUsesVersionsThatCameAfterTheCompletion)
{
    add("later", "v3", {1});
    table.orderWritten({2}, order, std::nullopt, 0);
    RolloutRecord record = recordOf(order, RolloutStage::Completed, 6);
    record.beganAtWall = 100_s;
    ASSERT_TRUE(table.recordSeen({2}, 3600_s, record));
    EXPECT_EQ(candidates(10_s), (Names {"later", "new-a", "old-a", "old-b"}));
    RolloutTable recent;
    recent.orderWritten({2}, order, std::nullopt, 0);
    ASSERT_TRUE(recent.recordSeen({2}, 131_s, record));
    table = recent;
    EXPECT_EQ(candidates(10_s), onlyNew);
}

TEST_F(RolloutTableTest, DecisionIsNeverTakenBack)
{
    begin();
    ASSERT_TRUE(table.recordSeen(1_s, {0}, recordOf(order, RolloutStage::Reverted, 2)));
    EXPECT_FALSE(table.recordSeen(2_s, {0}, recordOf(order, RolloutStage::Closing, 5)));
    EXPECT_EQ(table.find(service)->stage(), RolloutStage::Reverted);
}

TEST_F(RolloutTableTest, PermitOfAnotherOrderInALaterEraCountsForNothing)
{
    begin();
    RolloutOrder other {service, "v3", 30_s, {4, 2}};
    RolloutPermit permit = permitFor(other, true);
    permit.version = other.version;
    permit.duration = other.duration;
    EXPECT_FALSE(table.permitted(1_s, permit));
    EXPECT_FALSE(table.find(service)->isHalted);
    permit.version = order.version;
    EXPECT_TRUE(table.permitted(1_s, permit));
}

TEST_F(RolloutTableTest, RevertedVersionGetsNothingWhileThereIsAnotherOne)
{
    begin();
    ASSERT_TRUE(table.recordSeen(1_s, {0}, recordOf(order, RolloutStage::Reverted, 2)));
    EXPECT_EQ(candidates(40_s), onlyOld);
    endpoints.removed(41_s, EndpointName("old-a"));
    endpoints.removed(41_s, EndpointName("old-b"));
    EXPECT_EQ(candidates(42_s), onlyNew);
}

TEST_F(RolloutTableTest, ProcessThatHearsOfNoDecisionUsesWhatIsLeftAfterTheDeadline)
{
    begin();
    EXPECT_EQ(candidates(29_s), onlyOld);
    EXPECT_EQ(candidates(31_s), all);
}

TEST_F(RolloutTableTest, RepeatedOrderGoesOnAndACompletedOneStays)
{
    begin();
    RolloutOrder repeated = order;
    repeated.revision = {9, 1};
    EXPECT_EQ(table.orderWritten(5_s, repeated, Millis {0}, 1), OrderEffect::Repeated);
    EXPECT_EQ(table.find(service)->elapsed(5_s), 5_s);
    table.recordSeen(6_s, {0}, recordOf(order, RolloutStage::Completed, 2));
    repeated.revision = {12, 1};
    EXPECT_EQ(table.orderWritten(8_s, repeated, Millis {0}, 1), OrderEffect::AlreadyCompleted);
    EXPECT_EQ(candidates(8_s), onlyNew);
}

TEST_F(RolloutTableTest, OrderIsTriedAgainAfterItsReversal)
{
    begin();
    table.recordSeen(1_s, {0}, recordOf(order, RolloutStage::Reverted, 2));
    RolloutOrder again = order;
    again.revision = {12, 1};
    EXPECT_EQ(table.orderWritten(8_s, again, Millis {0}, 1), OrderEffect::Begun);
    EXPECT_EQ(table.find(service)->current(), nullptr);
    EXPECT_FALSE(table.find(service)->isHalted);
}

// The version of the first order may be bad; it is not one of the old ones.
TEST_F(RolloutTableTest, VersionOfAnOvertakenOrderGetsNothing)
{
    begin();
    add("newer", "v3", 4_s);
    RolloutOrder second {service, "v3", 30_s, {12, 1}};
    EXPECT_EQ(table.orderWritten(5_s, second, Millis {0}, 1), OrderEffect::Begun);
    EXPECT_EQ(candidates(6_s), onlyOld);
}

TEST_F(RolloutTableTest, RestoredStoreNeitherEndsNorRestartsARollOut)
{
    begin();
    table.recordSeen(4_s, {0}, recordOf(order, RolloutStage::TwoFifths, 3));
    // The restored store lacks the order and has an earlier state.
    table.orderRemoved(5_s, service, true);
    EXPECT_FALSE(table.recordSeen(5_s, {0}, recordOf(order, RolloutStage::Canary, 1)));
    RolloutOrder again = order;
    again.revision = {5, 2};
    EXPECT_EQ(table.orderWritten(7_s, again, Millis {0}, 1), OrderEffect::Repeated);
    table.tick(60_s);
    EXPECT_FALSE(table.find(service)->isCancelled);
    EXPECT_EQ(table.find(service)->stage(), RolloutStage::TwoFifths);
    EXPECT_EQ(table.find(service)->elapsed(7_s), 7_s);
}

TEST_F(RolloutTableTest, RemovedOrderIsCancelledAtOnceAndAMissingOneLater)
{
    begin();
    table.orderRemoved(1_s, service, true);
    table.tick(2_s);
    EXPECT_FALSE(table.find(service)->isCancelled);
    table.tick(12_s);
    EXPECT_TRUE(table.find(service)->isCancelled);
    EXPECT_EQ(candidates(12_s), onlyOld);
}

TEST_F(RolloutTableTest, RestartedProcessKnowsTheAgeOfTheOrder)
{
    table.orderWritten(1_s, order, std::nullopt, 0);
    RolloutRecord record = recordOf(order, RolloutStage::Canary, 1);
    record.beganAtWall = 100_s;
    table.recordSeen(1_s, 112_s, record);
    EXPECT_EQ(table.find(service)->elapsed(1_s), 12_s);
}

// A listing may have the record before its order, and the record does not come again.
TEST_F(RolloutTableTest, RestartedProcessKnowsTheAgeOfAnOrderThatCameAfterItsRecord)
{
    RolloutRecord record = recordOf(order, RolloutStage::Canary, 1);
    record.beganAtWall = 100_s;
    table.recordSeen(1_s, 112_s, record);
    table.orderWritten(1_s, order, std::nullopt, 0);
    EXPECT_FALSE(table.recordSeen(1_s, 112_s, record));
    EXPECT_EQ(table.find(service)->elapsed(1_s), 12_s);
}

TEST_F(RolloutTableTest, AnswersAreCountedByRouteAndVersion)
{
    begin();
    table.recordAnswer(service, "v2", "draft", false, {0});
    table.recordAnswer(service, "v1", "draft", true, 300_ms);
    const RouteEvidence &route = table.find(service)->evidence.at("draft");
    EXPECT_EQ(route.newVersion.failures, 1U);
    EXPECT_EQ(route.oldVersion.successes[timeClassOf(300_ms)], 1U);
}

TEST_F(RolloutTableTest, WaitsOfOpenRequestsAndOfCallersThatLeftAreEvidence)
{
    begin();
    const std::uint64_t answered = table.beginWait({service, "v2", "draft", 1_s});
    const std::uint64_t left = table.beginWait({service, "v2", "draft", 1_s});
    EXPECT_EQ(table.evidence(3_s, service).at("draft").newVersion.open[timeClassOf(2_s)], 2U);
    table.endWait(answered);
    table.recordAnswer(service, "v2", "draft", true, 2_s);
    table.endWait(left);
    table.recordAbandoned(service, "v2", "draft", 3_s);
    const AnswerCounts counts = table.evidence(9_s, service).at("draft").newVersion;
    EXPECT_EQ(counts.open[timeClassOf(8_s)], 0U);
    EXPECT_EQ(counts.successes[timeClassOf(2_s)], 1U);
    EXPECT_EQ(counts.abandoned[timeClassOf(3_s)], 1U);
    EXPECT_EQ(counts.total(), 1U);
}

TEST_F(RolloutTableTest, RequestsAreCountedByVersion)
{
    begin();
    const EndpointRecord oldOne = endpoints.find(EndpointName("old-a"))->record;
    const EndpointRecord newOne = endpoints.find(EndpointName("new-a"))->record;
    table.recordRequest(oldOne, limits);
    table.recordRequest(newOne, limits);
    table.recordRequest(oldOne, limits, true);
    table.recordRequest(newOne, limits, true);
    EXPECT_EQ(table.find(service)->counts, (RolloutCounts {2, 2}));
}

} // namespace
