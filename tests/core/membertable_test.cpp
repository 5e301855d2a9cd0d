#include "fescue/core/membertable.h"

#include <array>
#include <gtest/gtest.h>

namespace {

using namespace fescue;

MemberInfo makeMember(const char *name, std::uint64_t incarnation = 1, bool leaving = false)
{
    MemberInfo info;
    info.name = MemberName {name};
    info.incarnation = {incarnation};
    info.leaving = leaving;
    return info;
}

const MemberName nameA {"a"};

TEST(MemberTable, StoreAloneIsEnoughForMembersWithoutALink)
{
    MemberTable table;
    table.storeListed(0_ms, std::array {makeMember("a"), makeMember("b")});
    EXPECT_EQ(table.state(100_s, nameA), MemberState::Live);
    EXPECT_EQ(table.members(100_s).size(), 2U);
}

TEST(MemberTable, FindsMembersThatAreNotGone)
{
    MemberTable table;
    EXPECT_EQ(table.find(0_ms, nameA), nullptr);
    table.heartbeat(0_ms, makeMember("a", 3));
    ASSERT_NE(table.find(0_ms, nameA), nullptr);
    EXPECT_EQ(table.find(0_ms, nameA)->incarnation, Incarnation {3});
    EXPECT_EQ(table.find(60_s, nameA), nullptr);
}

TEST(MemberTable, SilenceMakesALinkedMemberSuspect)
{
    MemberTable table;
    table.storeWritten(0_ms, makeMember("a"));
    table.heartbeat(0_ms, makeMember("a"));
    EXPECT_EQ(table.state(2_s, nameA), MemberState::Live);
    EXPECT_EQ(table.state(2001_ms, nameA), MemberState::Suspect);
    table.stopExpecting(3_s, nameA);
    EXPECT_EQ(table.state(10_s, nameA), MemberState::Live);
}

TEST(MemberTable, DeletedKeyEndsAMemberUnlessItStillSpeaks)
{
    MemberTable table;
    table.storeWritten(0_ms, makeMember("a"));
    table.storeDeleted(1_s, nameA);
    EXPECT_EQ(table.state(5_s, nameA), MemberState::Suspect);
    EXPECT_EQ(table.state(5001_ms, nameA), MemberState::Gone);
    EXPECT_FALSE(table.mayLive(5001_ms, nameA, {1}));
    table.heartbeat(6_s, makeMember("a"));
    EXPECT_EQ(table.state(6_s, nameA), MemberState::Live);
}

TEST(MemberTable, NobodyIsDroppedInOrRightAfterAnOutage)
{
    MemberTable table;
    table.storeWritten(0_ms, makeMember("a"));
    table.storeLost();
    EXPECT_EQ(table.state(100_s, nameA), MemberState::Live);
    table.storeListed(100_s, {});
    EXPECT_EQ(table.state(110_s, nameA), MemberState::Suspect);
    EXPECT_EQ(table.state(115001_ms, nameA), MemberState::Gone);
}

TEST(MemberTable, EarlierLivesAreIgnored)
{
    MemberTable table;
    table.heartbeat(0_ms, makeMember("a", 2));
    table.storeWritten(0_ms, makeMember("a", 1, true));
    EXPECT_EQ(table.state(0_ms, nameA), MemberState::Live);
    EXPECT_FALSE(table.mayLive(0_ms, nameA, {1}));
    EXPECT_TRUE(table.mayLive(0_ms, nameA, {2}));
}

// An incarnation is the wall clock's time of the start, and the clock of a VM may be set back by
// seconds before its process starts again.
TEST(MemberTable, ALifeBegunAfterTheClockWasSetBackReplacesASilentOne)
{
    const MemberInfo before = makeMember("a", 9);
    const MemberInfo after = makeMember("a", 4);
    const Millis silent = MemberLimits {}.suspectAfter + 1_ms;
    MemberTable heard;
    heard.heartbeat(0_ms, before);
    heard.storeWritten(0_ms, before);
    heard.heartbeat(1_ms, after);
    EXPECT_FALSE(heard.mayLive(1_ms, nameA, after.incarnation));
    heard.peerTold(silent, after);
    EXPECT_FALSE(heard.mayLive(silent, nameA, after.incarnation));
    heard.heartbeat(silent, after);
    EXPECT_EQ(heard.state(silent, nameA), MemberState::Live);
    EXPECT_TRUE(heard.mayLive(silent, nameA, after.incarnation));

    MemberTable listed;
    listed.heartbeat(0_ms, before);
    listed.storeWritten(0_ms, before);
    listed.storeWritten(silent, after);
    EXPECT_EQ(listed.state(silent, nameA), MemberState::Live);
    EXPECT_TRUE(listed.mayLive(silent, nameA, after.incarnation));
}

TEST(MemberTable, LeavingIsNotTakenBackInTheSameLife)
{
    MemberTable table;
    table.peerTold(0_ms, makeMember("a", 1, true));
    table.heartbeat(1_ms, makeMember("a", 1, false));
    EXPECT_EQ(table.state(1_ms, nameA), MemberState::Leaving);
    table.heartbeat(2_ms, makeMember("a", 2, false));
    EXPECT_EQ(table.state(2_ms, nameA), MemberState::Live);
}

// Answers datagrams that each name another sender.
TEST(MemberTable, HeartbeatsOfStrangersAddNoMoreThanTheLimit)
{
    MemberLimits limits;
    limits.maxHeard = 2;
    MemberTable table(limits);
    EXPECT_TRUE(table.heartbeat(0_ms, makeMember("a")));
    EXPECT_TRUE(table.heartbeat(0_ms, makeMember("b")));
    EXPECT_FALSE(table.heartbeat(0_ms, makeMember("c")));
    EXPECT_TRUE(table.heartbeat(1_ms, makeMember("a")));
    table.storeWritten(1_ms, makeMember("c"));
    EXPECT_TRUE(table.heartbeat(2_ms, makeMember("c")));
    EXPECT_EQ(table.count(2_ms), 3U);
}

TEST(MemberTable, ForgetsThoseLongGone)
{
    MemberTable table;
    table.peerTold(0_ms, makeMember("a"));
    table.purge(50_s);
    EXPECT_FALSE(table.mayLive(50_s, nameA, {1}));
    table.purge(61_s);
    EXPECT_TRUE(table.members(61_s).empty());
}

} // namespace
