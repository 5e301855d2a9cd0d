#include "fescue/serving/endpointtable.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("engines");

EndpointRecord makeRecord(const char *name, std::uint64_t incarnation = 1,
                          const char *zone = "north")
{
    EndpointRecord record;
    record.name = EndpointName(name);
    record.service = service;
    record.zone = ZoneName(zone);
    record.incarnation = {incarnation};
    return record;
}

std::size_t usableCount(const EndpointTable &table)
{
    return table.usable(service).size();
}

TEST(EndpointTable, RemovedEndpointLeavesAtOnceWhileTheStoreAnswers)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.removed(2_s, EndpointName("e1"));
    EXPECT_EQ(usableCount(table), 0U);
    EXPECT_TRUE(table.find(EndpointName("e1"))->leaving());
}

TEST(EndpointTable, DrainingEndpointKeepsTheTimeOfItsNotice)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    table.listed(1_s, record);
    record.draining = true;
    table.listed(2_s, record);
    table.listed(3_s, record);
    EXPECT_EQ(table.find(EndpointName("e1"))->leavingSince, 2_s);
    EXPECT_EQ(usableCount(table), 0U);
}

TEST(EndpointTable, EndpointsWhoseEntriesExpireInAnOutageStayUsableForTheGracePeriod)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.listed(1_s, makeRecord("e2"));
    table.storeReachable(10_s, false);
    table.storeReachable(15_s, true);
    table.removed(15_s, EndpointName("e1"));
    table.removed(15_s, EndpointName("e2"));
    EXPECT_EQ(usableCount(table), 2U);
    table.listed(16_s, makeRecord("e2"));
    EXPECT_TRUE(table.tick(Millis {16'900}).empty());
    const std::vector<EndpointName> departed = table.tick(17_s);
    ASSERT_EQ(departed.size(), 1U);
    EXPECT_EQ(departed.front(), EndpointName("e1"));
    EXPECT_EQ(usableCount(table), 1U);
}

TEST(EndpointTable, DrainingEndpointStaysUnusableInAnOutage)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    record.draining = true;
    table.listed(1_s, record);
    table.storeReachable(10_s, false);
    table.removed(11_s, EndpointName("e1"));
    EXPECT_TRUE(table.find(EndpointName("e1"))->leaving());
    EXPECT_EQ(usableCount(table), 0U);
}

TEST(EndpointTable, SameNameInANewIncarnationIsUsableAgain)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1", 1));
    table.removed(2_s, EndpointName("e1"));
    table.listed(3_s, makeRecord("e1", 2));
    EXPECT_EQ(usableCount(table), 1U);
    EXPECT_EQ(table.find(EndpointName("e1"))->firstListedAt, 3_s);
}

TEST(EndpointTable, ZonesOutOfServiceGetNothing)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1", 1, "north"));
    table.listed(1_s, makeRecord("e2", 1, "south"));
    table.zoneOut(ZoneName("north"));
    ASSERT_EQ(usableCount(table), 1U);
    EXPECT_EQ(table.usable(service).front()->record.name, EndpointName("e2"));
    table.zoneIn(ZoneName("north"));
    EXPECT_EQ(usableCount(table), 2U);
}

TEST(EndpointTable, ColdTimeRunsFromTheRecord)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    record.coldRemaining = 900_ms;
    table.listed(1_s, record);
    EXPECT_TRUE(table.find(EndpointName("e1"))->isCold(Millis {1'899}));
    EXPECT_FALSE(table.find(EndpointName("e1"))->isCold(Millis {1'900}));
}

TEST(EndpointTable, RecordsOfRemovedEndpointsExpire)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.removed(2_s, EndpointName("e1"));
    static_cast<void>(table.tick(31_s));
    EXPECT_NE(table.find(EndpointName("e1")), nullptr);
    static_cast<void>(table.tick(33_s));
    EXPECT_EQ(table.find(EndpointName("e1")), nullptr);
}

// Guards against use of a leaving endpoint: it announces leaving in a response before the store
// lists it as draining, or while the store is unreachable and its entry is still in state ready.
TEST(EndpointTable, LeavingNoticeOverridesAnOutdatedEntry)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    EXPECT_TRUE(table.announcedLeaving(2_s, {EndpointName("e1"), {1}}));
    EXPECT_EQ(usableCount(table), 0U);
    table.listed(3_s, makeRecord("e1"));
    EXPECT_EQ(usableCount(table), 0U);
    EXPECT_EQ(table.find(EndpointName("e1"))->leavingSince, 2_s);
    EXPECT_FALSE(table.announcedLeaving(4_s, {EndpointName("e1"), {1}}));
}

// Guards against use of a leaving endpoint by a process that has just started: it receives the
// notice from a peer before it lists the store.
TEST(EndpointTable, NoticeReceivedBeforeTheEntryIsKept)
{
    EndpointTable table;
    EXPECT_FALSE(table.announcedLeaving(1_s, {EndpointName("e1"), {1}}));
    table.listed(2_s, makeRecord("e1"));
    EXPECT_EQ(usableCount(table), 0U);
    EXPECT_TRUE(table.find(EndpointName("e1"))->leaving());
}

TEST(EndpointTable, LeavingNoticeEndsWithItsIncarnation)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1", 1));
    EXPECT_TRUE(table.announcedLeaving(2_s, {EndpointName("e1"), {1}}));
    table.listed(3_s, makeRecord("e1", 2));
    EXPECT_EQ(usableCount(table), 1U);
    // A notice of the earlier incarnation that arrives late.
    EXPECT_FALSE(table.announcedLeaving(4_s, {EndpointName("e1"), {1}}));
    EXPECT_EQ(usableCount(table), 1U);
    EXPECT_TRUE(table.announcedLeaving(5_s, {EndpointName("e1"), {2}}));
    EXPECT_EQ(usableCount(table), 0U);
}

TEST(EndpointTable, DrainingIsNotRevokedByAnOlderEntry)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    record.draining = true;
    table.listed(1_s, record);
    table.listed(2_s, makeRecord("e1"));
    EXPECT_EQ(usableCount(table), 0U);
}

TEST(EndpointTable, RemovedEntryThatComesBackIsUsableAgain)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.removed(2_s, EndpointName("e1"));
    table.listed(3_s, makeRecord("e1"));
    EXPECT_EQ(usableCount(table), 1U);
}

TEST(EndpointTable, NoticesAreRepeatedForAWhileAndExpireLater)
{
    EndpointTable table;
    const EndpointIncarnation notice {EndpointName("e1"), {1}};
    static_cast<void>(table.announcedLeaving(1_s, notice));
    EXPECT_EQ(table.recentLeavingNotices(31_s), std::vector<EndpointIncarnation> {notice});
    EXPECT_TRUE(table.recentLeavingNotices(32_s).empty());
    static_cast<void>(table.tick(122_s));
    table.listed(123_s, makeRecord("e1"));
    EXPECT_EQ(usableCount(table), 1U);
}

// Guards against an error in the periodic work of a process: the endpoint has been forgotten before
// its removal is confirmed.
TEST(EndpointTable, RemovalOfAForgottenEndpointIsConfirmed)
{
    EndpointTable table;
    table.storeReachable(1_s, true);
    table.listed(1_s, makeRecord("e1"));
    table.storeReachable(2_s, false);
    table.removed(3_s, EndpointName("e1"));
    EXPECT_TRUE(table.announcedLeaving(4_s, {EndpointName("e1"), {1}}));
    EXPECT_TRUE(table.tick(36_s).empty());
    EXPECT_EQ(table.find(EndpointName("e1")), nullptr);
    table.storeReachable(37_s, true);
    EXPECT_NO_THROW(EXPECT_TRUE(table.tick(40_s).empty()));
}

} // namespace
