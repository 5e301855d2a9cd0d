#include "fescue/net/httpserver.h"
#include "fescue/node/memberjson.h"
#include "fescue/serving/storesession.h"
#include "tests/serving/storesessionfixture.h"

#include <chrono>
#include <future>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;
using test::ScriptedStore;

using test::longestWait;

class StoreSessionTest : public test::StoreSessionFixture
{
protected:
    [[nodiscard]] std::uint64_t version() const
    {
        return state.routes ? state.routes->version().value : 0;
    }

    [[nodiscard]] bool isOut(const char *zone) const
    {
        return state.endpoints.zonesOut().contains(ZoneName(zone));
    }

    // Starts the session and waits until it follows the store and is registered.
    void start()
    {
        onWorker([this] {
            state.members.heartbeat(ServingState::now(), self);
            session->start();
        });
        ASSERT_TRUE(eventually([this] { return version() == 5 && registered(); }));
    }

    [[nodiscard]] bool registered() const
    {
        return store.contents.items.contains("members/entry-0");
    }

    // Returns the present contents of the store, to be restored later.
    ScriptedStore::Contents contentsNow()
    {
        ScriptedStore::Contents contents;
        onWorker([&] { contents = store.contents; });
        return contents;
    }

    // Waits until the session has listed the given era.
    void awaitEra(std::uint64_t era)
    {
        ASSERT_TRUE(
            eventually([this, era] { return session->copy({}, CopyScope::All).at.era == era; }));
    }
};

// Guards against a configuration being ignored: the store is restored from an older copy, and the
// operator's next write gets a revision that was assigned before.
TEST_F(StoreSessionTest, ConfigurationWithAReusedRevisionComesIntoForce)
{
    start();
    const ScriptedStore::Contents older = contentsNow();
    onWorker([&] {
        for (int i = 0; i < 20; ++i)
            store.put("config", std::to_string(6 + i));
    });
    ASSERT_TRUE(eventually([this] { return version() == 25; }));
    onWorker([&] {
        store.rewind(older);
        store.put("config", "30");
    });
    EXPECT_TRUE(eventually([this] { return version() == 30; }));
}

TEST_F(StoreSessionTest, OlderConfigurationOfARewoundStoreIsNotApplied)
{
    start();
    const ScriptedStore::Contents older = contentsNow();
    onWorker([&] { store.put("config", "9"); });
    ASSERT_TRUE(eventually([this] { return version() == 9; }));
    onWorker([&] { store.rewind(older); });
    awaitEra(2);
    onWorker([&] {
        EXPECT_EQ(version(), 9U);
        // Processes that start now receive the order that the store has lost.
        const StoreCopy copy = session->copy({}, CopyScope::Retained);
        ASSERT_EQ(copy.retained.size(), 1U);
        EXPECT_EQ(copy.retained.front().value, "9");
        store.put("config", "9");
    });
    EXPECT_TRUE(
        eventually([this] { return session->copy({}, CopyScope::Retained).retained.empty(); }));
}

TEST_F(StoreSessionTest, TwoConsecutiveRewindsKeepAllOrders)
{
    start();
    const ScriptedStore::Contents older = contentsNow();
    onWorker([&] {
        store.put("config", "9");
        store.put("zones-out/north", "{}");
    });
    ASSERT_TRUE(eventually([this] { return version() == 9 && isOut("north"); }));
    onWorker([&] { store.rewind(older); });
    awaitEra(2);
    onWorker([&] { store.rewind(older); });
    awaitEra(3);
    onWorker([&] {
        EXPECT_EQ(version(), 9U);
        EXPECT_TRUE(isOut("north"));
        EXPECT_EQ(session->copy({}, CopyScope::Retained).retained.size(), 2U);
        store.put("config", "10");
    });
    EXPECT_TRUE(eventually([this] { return version() == 10; }));
}

TEST_F(StoreSessionTest, ZoneStaysOutUntilTheOperatorRemovesItsOrder)
{
    start();
    const ScriptedStore::Contents older = contentsNow();
    onWorker([&] { store.put("zones-out/north", "{}"); });
    ASSERT_TRUE(eventually([this] { return isOut("north"); }));
    onWorker([&] { store.rewind(older); });
    awaitEra(2);
    onWorker([&] {
        EXPECT_TRUE(isOut("north"));
        store.put("zones-out/north", "{}");
    });
    ASSERT_TRUE(
        eventually([this] { return session->copy({}, CopyScope::Retained).retained.empty(); }));
    onWorker([&] { store.remove("zones-out/north"); });
    EXPECT_TRUE(eventually([this] { return !isOut("north"); }));
}

// Guards against renewing the lease of another process: the restored store assigns the id of this
// process' lease again.
TEST_F(StoreSessionTest, RegistersAnewAndRenewsNoLeaseOfAnEarlierEra)
{
    start();
    onWorker([&] {
        ScriptedStore::Contents older = store.contents;
        older.items.erase("members/entry-0");
        // The id of its lease is assigned again, to another process.
        store.rewind(older);
        store.renewed.clear();
    });
    ASSERT_TRUE(eventually([this] { return registered(); }));
    onWorker([&] { EXPECT_LE(store.renewed.size(), 1U); });
    EXPECT_TRUE(eventually([this] { return store.renewed.size() > 1; }));
    onWorker([&] { EXPECT_EQ(store.renewed.back(), store.contents.lastLease); });
}

TEST_F(StoreSessionTest, StoreRewoundBetweenTwoPagesIsListedAgain)
{
    start();
    onWorker([&] {
        store.put("endpoints/a", "ready");
        store.put("endpoints/z", "ready");
    });
    ASSERT_TRUE(eventually([this] { return state.endpoints.all().size() == 2; }));
    onWorker([&] {
        ScriptedStore::Contents older = store.contents;
        older.items.erase("endpoints/z");
        store.pageItems = 1;
        store.afterPage = [this, older] {
            store.rewind(older);
            store.put("config", "8");
        };
        store.rewind(store.contents);
    });
    awaitEra(3);
    EXPECT_TRUE(eventually([this] { return version() == 8; }));
    onWorker([&] {
        const StoreCopy copy = session->copy({}, CopyScope::All);
        EXPECT_TRUE(
            std::none_of(copy.items.begin(), copy.items.end(),
                         [](const net::StoreItem &item) { return item.key == "endpoints/z"; }));
        for (const net::StoreItem &item : copy.items)
            EXPECT_EQ(item.revision.era, 3U) << item.key;
    });
}

// A peer over HTTP that answers with one copy and records the queries of its requests.
class PeerWithCopy
{
public:
    PeerWithCopy(net::WorkerPool &pool, const StoreCopy &copy)
        : m_server(pool, {"127.0.0.1", 0}, {},
                   [this, copy](const net::HttpRequest &request, net::ResponseWriter &writer) {
                       queries.push_back(request.query);
                       static_cast<void>(writer.send({200, {}, encodeCopy(copy)}));
                   })
    {
        EXPECT_TRUE(m_server.start());
    }

    [[nodiscard]] MemberInfo member() const
    {
        MemberInfo info;
        info.name = MemberName("entry-1");
        info.incarnation = {1};
        info.peerAddress = m_server.address().toString();
        return info;
    }

    std::vector<std::string> queries;

private:
    net::HttpServer m_server;
};

// Guards against missing a new era: the store is restored from an older copy while it rejects the
// calls of some processes.
TEST_F(StoreSessionTest, RejectedWatcherLearnsTheNewEraFromAPeer)
{
    start();
    const StoreCopy copy {{2, 2}, true, {{"config", "7", {2, 2}, false}}, {}};
    PeerWithCopy peer(pool, copy);
    onWorker([&] {
        store.rejectsCalls = true;
        state.members.heartbeat(ServingState::now(), peer.member());
        session->handleStoreUpdate({peer.member().name, copy.at, copy.at, true, {}, 0_ms});
    });
    EXPECT_TRUE(eventually([this] { return version() == 7; }));
    onWorker([&] { EXPECT_EQ(session->copy({}, CopyScope::All).at, copy.at); });
}

// Guards against a relay that keeps its zone behind: while the store rejects its calls it applied
// no updates, and waited for a failed call before it asked a peer.
TEST_F(StoreSessionTest, RejectedProcessAppliesTheUpdatesOfPeers)
{
    start();
    net::StoreRevision before;
    ASSERT_TRUE(eventually([&] {
        before = session->copy({}, CopyScope::All).at;
        return before.value == store.contents.revision;
    }));
    onWorker([&] { store.rejectsCalls = true; });
    ASSERT_TRUE(eventually([&] {
        return state.metrics.serialize().find("cause=\"watch\",outcome=\"failed\"")
            != std::string::npos;
    }));
    const net::StoreRevision next {before.value + 1, before.era};
    onWorker([&] {
        session->handleStoreUpdate(
            {MemberName("entry-1"), before, next, true, {{"config", "7", next, false}}, 0_ms});
        EXPECT_EQ(version(), 7U);
        EXPECT_EQ(session->copy({}, CopyScope::All).at, next);
    });
}

// Guards against excess traffic: while the store rejects a watcher's calls, each change reported by
// a peer would cause a transfer of the whole copy.
TEST_F(StoreSessionTest, RejectedWatcherRequestsOnlyMissedChanges)
{
    start();
    net::StoreRevision before;
    // The watch may not have reported the registration yet.
    ASSERT_TRUE(eventually([&] {
        before = session->copy({}, CopyScope::All).at;
        return before.value == store.contents.revision;
    }));
    const StoreCopy copy {
        {before.value + 3, 1}, false, {{"config", "7", {before.value + 3, 1}, false}}, {}};
    PeerWithCopy peer(pool, copy);
    onWorker([&] {
        store.rejectsCalls = true;
        state.members.heartbeat(ServingState::now(), peer.member());
        session->handleStoreUpdate({peer.member().name, copy.at, copy.at, true, {}, 0_ms});
    });
    ASSERT_TRUE(eventually([this] { return version() == 7; }));
    onWorker([&] {
        EXPECT_EQ(peer.queries.front(), "after=" + std::to_string(before.value) + "&era=1");
    });
}

TEST_F(StoreSessionTest, OrderThatTheStoreHasIsNotRetained)
{
    const StoreCopy copy {{1, 1}, false, {}, {{"config", "5", {40, 1}, false}}};
    PeerWithCopy peer(pool, copy);
    onWorker([&] { state.members.heartbeat(ServingState::now(), peer.member()); });
    start();
    ASSERT_TRUE(eventually([&peer] { return !peer.queries.empty(); }));
    EXPECT_TRUE(eventually([this] {
        // Leaves the fiber that sent the request time to apply the answer.
        net::sleepFor(50_ms);
        return session->copy({}, CopyScope::Retained).retained.empty();
    }));
}

// Guards against a new process missing orders in force: it starts before the operator has written
// them again to the restored store.
TEST_F(StoreSessionTest, StartingProcessRequestsRetainedOrdersFromAPeer)
{
    const StoreCopy copy {
        {2, 2},
        false,
        {},
        {{"config", "9", {40, 1}, false}, {"zones-out/north", "{}", {41, 1}, false}}};
    PeerWithCopy peer(pool, copy);
    onWorker([&] {
        state.members.heartbeat(ServingState::now(), peer.member());
        session->start();
    });
    EXPECT_TRUE(eventually([this] { return version() == 9 && isOut("north"); }));
    onWorker([&] {
        ASSERT_EQ(peer.queries.size(), 1U);
        EXPECT_NE(peer.queries.front().find("part=held"), std::string::npos);
    });
}

// Guards against a new process keeping an outdated configuration: it misses the update, and then a
// peer reports a later version.
TEST_F(StoreSessionTest, ProcessRequestsTheConfigurationOfAPeerThatStaysAhead)
{
    start();
    const StoreCopy copy {{1, 1}, false, {}, {{"config", "12", {40, 1}, false}}};
    PeerWithCopy peer(pool, copy);
    onWorker([&] { state.members.heartbeat(ServingState::now(), peer.member()); });
    EXPECT_TRUE(eventually([this, &peer] {
        session->handlePeerConfigVersion(peer.member().name, {12});
        return version() == 12;
    }));
}

// Guards against a process that stops following the store for good after an unexpected error.
TEST_F(StoreSessionTest, SessionGoesOnAfterErrorsInItsTasks)
{
    start();
    onWorker([this] {
        store.callsThatThrow = 6;
        store.put("config", "6");
    });
    EXPECT_TRUE(eventually([this] { return store.callsThatThrow == 0 && version() == 6; }));
    // The lease is renewed after the errors as well.
    const std::size_t renewals = store.renewed.size();
    EXPECT_TRUE(eventually([this, renewals] { return store.renewed.size() > renewals; }));
    onWorker([this] { store.put("config", "7"); });
    EXPECT_TRUE(eventually([this] { return version() == 7; }));
}

// Answers the loss of all processes while the store is silent: a process that knows nothing gives
// up its first calls soon, and waits as long as any other once it has listed the store.
TEST_F(StoreSessionTest, FirstListingsAreGivenUpSoonerThanLaterOnes)
{
    onWorker([this] {
        store.rejectsCalls = true;
        store.rejection = ResultCode::StoreTimeout;
    });
    onWorker([this] {
        state.members.heartbeat(ServingState::now(), self);
        session->start();
    });
    ASSERT_TRUE(eventually([this] { return store.listTimeouts.size() >= 2; }));
    onWorker([this] {
        EXPECT_EQ(store.listTimeouts[0], ListTimeout::first);
        EXPECT_GT(store.listTimeouts[1], ListTimeout::first);
        EXPECT_LT(store.listTimeouts[1], ListTimeout::longest);
        store.rejectsCalls = false;
    });
    ASSERT_TRUE(eventually([this] { return version() == 5; }));
    // The history that the watch asks for is gone, so the store is listed again.
    std::size_t before = 0;
    onWorker([&] {
        before = store.listTimeouts.size();
        store.put("config", "6");
        store.historyFrom = store.contents.revision + 1;
    });
    ASSERT_TRUE(eventually([this, before] { return store.listTimeouts.size() > before; }));
    onWorker([this] { EXPECT_EQ(store.listTimeouts.back(), ListTimeout::longest); });
}

// Guards against a first listing that never ends: each page takes longer than the first timeout.
TEST_F(StoreSessionTest, ListingOfManyPagesOfASlowStoreEnds)
{
    for (const char *key : {"endpoints/a", "endpoints/b", "endpoints/c"})
        store.put(key, "ready");
    store.pageItems = 1;
    store.listTime = ListTimeout::first + 400_ms;
    start();
    EXPECT_TRUE(eventually([this] { return state.endpoints.all().size() == 3; }));
}

TEST_F(StoreSessionTest, RejectedListingsDoNotMakeTheTimeoutLonger)
{
    onWorker([this] {
        store.rejectsCalls = true;
        state.members.heartbeat(ServingState::now(), self);
        session->start();
    });
    ASSERT_TRUE(eventually([this] { return store.listTimeouts.size() >= 3; }));
    onWorker([this] { EXPECT_EQ(store.listTimeouts.back(), ListTimeout::first); });
}

// Guards against one entry that cannot be applied keeping the later ones of the same listing or
// watch from being applied.
TEST_F(StoreSessionTest, OtherEntriesHoldBesideOneThatFails)
{
    store.put("endpoints/a", "throws");
    store.put("endpoints/b", "ready");
    start();
    EXPECT_TRUE(eventually([this] { return state.endpoints.find(EndpointName("b")) != nullptr; }));
    onWorker([this] {
        store.put("endpoints/c", "throws");
        store.put("endpoints/d", "ready");
        store.put("config", "6");
    });
    EXPECT_TRUE(eventually([this] { return version() == 6; }));
    onWorker([this] { EXPECT_NE(state.endpoints.find(EndpointName("d")), nullptr); });
}

} // namespace
