#include "testcluster.h"

#include "fescue/node/memberjson.h"

#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace fescue::node {
namespace {

using fescue::testing::makeSnapshot;
using fescue::testing::TestNode;
using fescue::testing::TestStore;

TEST(NodeControl, RegistersAndBecomesReady)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForVersion(1));
    ASSERT_TRUE(a.waitForLease(LeaseChange::Renewed, 1));
    const net::StoreList members = store.list("members/");
    ASSERT_EQ(members.items.size(), 1U);
    const Result<MemberInfo> member = parseMember(members.items[0].value);
    ASSERT_TRUE(member.has_value());
    EXPECT_EQ(member->name, MemberName("a"));
    EXPECT_EQ(member->peerAddress, a.control().peerAddress());
    const nlohmann::json status = nlohmann::json::parse(a.control().status());
    EXPECT_EQ(status.at("member"), "a");
    EXPECT_EQ(status.at("role"), "entry");
    EXPECT_EQ(status.at("config_version"), 1);
    EXPECT_EQ(status.at("freshness"), "fresh");
    EXPECT_EQ(status.at("ready"), true);
}

TEST(NodeControl, IsNotReadyWithoutConfiguration)
{
    TestStore store;
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitFor([](const NodeView &view) {
        return view.freshness == FreshnessVerdict::Fresh && !view.members.empty();
    }));
    EXPECT_FALSE(a.view()->ready);
    store.publish(makeSnapshot(1));
    EXPECT_TRUE(a.waitForVersion(1));
}

TEST(NodeControl, NewVersionReachesDaemonsWithoutAWatch)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    std::vector<std::unique_ptr<TestNode>> nodes;
    nodes.reserve(8);
    for (int i = 0; i < 8; ++i)
        nodes.push_back(std::make_unique<TestNode>("n" + std::to_string(i), store.address(),
                                                   peer::Role::Entry, [](NodeOptions &options) {
                                                       options.minWatchers = 1;
                                                       options.ownCheckAfter = 1000_s;
                                                   }));
    for (const std::unique_ptr<TestNode> &node : nodes) {
        ASSERT_TRUE(node->waitForVersion(1));
        ASSERT_TRUE(node->waitForMembers(nodes.size()));
    }
    store.publish(makeSnapshot(2));
    for (const std::unique_ptr<TestNode> &node : nodes)
        EXPECT_TRUE(node->waitForVersion(2));
}

TEST(NodeControl, OlderVersionInTheStoreDoesNotRevert)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForVersion(1));
    store.publish(makeSnapshot(2));
    ASSERT_TRUE(a.waitForVersion(2));
    store.control(R"({"old_value": true})");
    TestNode b("b", store.address());
    ASSERT_TRUE(b.waitForVersion(2));
    EXPECT_EQ(a.view()->snapshot->version.value, 2U);
}

TEST(NodeControl, StartsFromPeersWhileTheStoreIsDown)
{
    TestStore store;
    store.publish(makeSnapshot(5));
    TestNode a("a", store.address());
    TestNode b("b", store.address());
    ASSERT_TRUE(a.waitForVersion(5));
    ASSERT_TRUE(b.waitForVersion(5));
    ASSERT_TRUE(a.waitForMembers(2));
    store.control(R"({"outage": "refuse"})");
    TestNode c("c", store.address(), peer::Role::Entry, [&a](NodeOptions &options) {
        options.seedPeers.push_back(a.control().peerAddress());
    });
    EXPECT_TRUE(c.waitForVersion(5));
    EXPECT_TRUE(c.waitForMembers(3));
    EXPECT_TRUE(
        c.waitFor([](const NodeView &view) { return view.freshness == FreshnessVerdict::Outage; }));
    EXPECT_TRUE(
        a.waitFor([](const NodeView &view) { return view.freshness == FreshnessVerdict::Outage; }));
    store.control(R"({"outage": false})");
    EXPECT_TRUE(
        c.waitFor([](const NodeView &view) { return view.freshness == FreshnessVerdict::Fresh; }));
    EXPECT_TRUE(a.waitForMembers(3));
}

TEST(NodeControl, RegistersAgainAfterItsLeaseWasLost)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address(), peer::Role::Entry, [](NodeOptions &options) {
        options.leaseTtl = 300_ms;
        options.leaseRenewInterval = 1_s;
    });
    ASSERT_TRUE(a.waitForLease(LeaseChange::Lost, 1));
    ASSERT_TRUE(a.waitForLease(LeaseChange::Granted, 2));
}

TEST(NodeControl, LostAnswersOfWritesDoNotKeepItOut)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    store.control(R"({"lose_answer_next": 3})");
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForLease(LeaseChange::Renewed, 1));
    ASSERT_TRUE(a.waitForVersion(1));
    EXPECT_EQ(store.list("members/").items.size(), 1U);
}

TEST(NodeControl, LeavingIsSeenByOthersAndTheirListShrinks)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    std::unique_ptr<TestNode> b = std::make_unique<TestNode>("b", store.address());
    ASSERT_TRUE(a.waitForMembers(2));
    b->control().setLeaving();
    EXPECT_TRUE(a.waitFor([](const NodeView &view) {
        const MemberInfo *member = view.findMember(MemberName("b"));
        return member && member->leaving;
    }));
    b.reset();
    EXPECT_TRUE(a.waitForMembers(1));
}

TEST(NodeControl, LeavingIsConfirmedOnlyOnceTheStoreHasTheMark)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForLease(LeaseChange::Renewed, 1));
    store.control(R"({"outage": "refuse"})");
    a.control().setLeaving();
    ASSERT_TRUE(a.waitFor([](const NodeView &view) { return view.leaving; }));
    EXPECT_FALSE(a.control().leavingConfirmed());
    store.control(R"({"outage": false})");
    const std::chrono::steady_clock::time_point guard =
        std::chrono::steady_clock::now() + testing::hangGuard;
    while (!a.control().leavingConfirmed() && std::chrono::steady_clock::now() < guard)
        std::this_thread::yield();
    EXPECT_TRUE(a.control().leavingConfirmed());
    const net::StoreList members = store.list("members/");
    ASSERT_EQ(members.items.size(), 1U);
    EXPECT_NE(members.items.front().value.find(R"("leaving":true)"), std::string::npos);
}

TEST(NodeControl, LaterStartOfTheSameNameTakesTheKey)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForLease(LeaseChange::Renewed, 1));
    TestNode later("a", store.address(), peer::Role::Entry,
                   [](NodeOptions &options) { options.incarnation = Incarnation {2}; });
    ASSERT_TRUE(later.waitForLease(LeaseChange::Renewed, 1));
    const net::StoreList members = store.list("members/");
    ASSERT_EQ(members.items.size(), 1U);
    EXPECT_EQ(parseMember(members.items[0].value)->incarnation, Incarnation {2});
}

TEST(NodeControl, UnreadableConfigurationIsReportedAndNotApplied)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    ASSERT_TRUE(a.waitForVersion(1));
    Snapshot broken = makeSnapshot(2);
    broken.zones.push_back(broken.zones[0]);
    store.publish(broken);
    EXPECT_TRUE(
        a.waitFor([](const NodeView &view) { return view.freshness != FreshnessVerdict::Fresh; }));
    EXPECT_EQ(a.view()->snapshot->version.value, 1U);
    EXPECT_EQ(a.countEvents("config-unreadable"), 1U);
    store.publish(makeSnapshot(3));
    EXPECT_TRUE(a.waitForVersion(3));
}

// A daemon whose links are all silent, and which does not reach the store, is cut off; one that
// reaches its peers knows that the store is out for all.
TEST(NodeControl, TellsBeingCutOffFromAnOutage)
{
    TestStore store;
    store.publish(makeSnapshot(1));
    TestNode a("a", store.address());
    TestNode b("b", store.address());
    TestNode c("c", store.address());
    for (TestNode *node : {&a, &b, &c}) {
        ASSERT_TRUE(node->waitForVersion(1));
        ASSERT_TRUE(node->waitForMembers(3));
    }
    store.control(R"({"outage": "hang"})");
    ASSERT_TRUE(
        a.waitFor([](const NodeView &view) { return view.freshness == FreshnessVerdict::Outage; }));
    // The links of the others end without a word, and their listeners with them.
    b.control().links().abandon();
    c.control().links().abandon();
    EXPECT_TRUE(a.waitFor(
        [](const NodeView &view) { return view.freshness == FreshnessVerdict::Isolated; }));
    store.control(R"({"outage": false})");
    EXPECT_TRUE(
        a.waitFor([](const NodeView &view) { return view.freshness == FreshnessVerdict::Fresh; }));
}

TEST(MemberJson, RoundTrip)
{
    MemberInfo member;
    member.name = MemberName("a");
    member.incarnation = Incarnation {7};
    member.zone = ZoneName("z1");
    member.vm = VmName("vm1");
    member.callerAddress = "127.0.0.1:80";
    member.peerAddress = "127.0.0.1:81";
    member.leaving = true;
    const Result<MemberInfo> back = parseMember(toJson(member, member.callerAddress));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(*back, member);
    member.callerAddress.clear();
    const std::string admission = toJson(member, "127.0.0.1:80");
    ASSERT_TRUE(parseMember(admission).has_value());
    EXPECT_EQ(roleOf(*parseMember(admission)), peer::Role::Admission);
    EXPECT_EQ(nlohmann::json::parse(admission).at("http"), "127.0.0.1:80");
    EXPECT_FALSE(parseMember("{}").has_value());
    EXPECT_FALSE(parseMember("[").has_value());
}

} // namespace
} // namespace fescue::node
