#include "fescue/net/storeera.h"
#include "fescue/serving/endpointtable.h"
#include "fescue/serving/storefeed.h"
#include "fescue/serving/storemirror.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("engines");

net::StoreItem item(std::string key, net::StoreRevision revision, std::string value = "v")
{
    return {std::move(key), std::move(value), revision, false};
}

EndpointRecord makeRecord(const char *name, std::uint64_t incarnation = 1)
{
    EndpointRecord record;
    record.name = EndpointName(name);
    record.service = service;
    record.zone = ZoneName("north");
    record.incarnation = {incarnation};
    return record;
}

bool isUsable(const EndpointTable &table, const char *name)
{
    const std::vector<const EndpointView *> usable = table.usable(service);
    return std::any_of(usable.begin(), usable.end(), [name](const EndpointView *view) {
        return view->record.name == EndpointName(name);
    });
}

// Returns a table whose endpoint e1 was removed at 8 s, and which the store's older copy lists
// again at 10 s.
EndpointTable makeTableWithRemovedEndpoint()
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.removed(8_s, EndpointName("e1"));
    table.storeRewound(10_s);
    table.listed(10_s, makeRecord("e1"), EntrySource::Listed);
    return table;
}

// Guards against changes being ignored after the store is restored from a copy that is some seconds
// old: it assigns the same revisions again.
TEST(StoreEra, RevisionsOfALaterEraAreLaterWhateverTheirNumbers)
{
    EXPECT_LT((net::StoreRevision {900, 1}), (net::StoreRevision {400, 2}));
    EXPECT_LT((net::StoreRevision {400, 2}), (net::StoreRevision {401, 2}));
    EXPECT_NE((net::StoreRevision {400, 1}), (net::StoreRevision {400, 2}));
}

TEST(StoreEra, AnswersWithoutAnEraBelongToTheLatestOne)
{
    net::StoreEraTracker eras;
    EXPECT_EQ(eras.take(std::nullopt), 0U);
    EXPECT_EQ(eras.take(3), 3U);
    EXPECT_EQ(eras.take(std::nullopt), 3U);
    EXPECT_EQ(eras.current(), 3U);
}

TEST(StoreEra, LateAnswersOfAnEarlierEraAreOutdated)
{
    net::StoreEraTracker eras;
    EXPECT_EQ(eras.take(4), 4U);
    EXPECT_EQ(eras.take(3), std::nullopt);
    EXPECT_EQ(eras.current(), 4U);
}

TEST(StoreEra, ListingOfALaterEraReplacesWhatIsKnown)
{
    StoreMirror mirror;
    static_cast<void>(mirror.apply({item("a", {5, 1}, "new"), item("b", {9, 1})}));
    mirror.beginListing();
    const std::vector<StoreChange> changes = mirror.addPage({item("a", {4, 2}, "old")});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().value, "old");
    EXPECT_TRUE(changes.front().fromListing);
    const std::vector<StoreChange> missing = mirror.endListing();
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_EQ(missing.front().key, "b");
    EXPECT_TRUE(missing.front().fromListing);
}

TEST(StoreEra, LateChangesOfAnEarlierEraAreIgnored)
{
    StoreMirror mirror;
    static_cast<void>(mirror.apply({item("a", {4, 2})}));
    EXPECT_TRUE(mirror.apply({item("a", {900, 1})}).empty());
    EXPECT_EQ(mirror.apply({item("a", {5, 2})}).size(), 1U);
}

TEST(StoreEra, PeerOfALaterEraIsAhead)
{
    FeedPolicy policy;
    StoreUpdate update;
    update.from = MemberName("entry-1");
    update.at = {400, 2};
    update.after = update.at;
    update.reachable = true;
    policy.recordUpdate(1_s, update);
    EXPECT_TRUE(policy.findPeerAhead(1_s, {900, 1}, ZoneName("north"), {}));
    EXPECT_FALSE(policy.findPeerAhead(1_s, {400, 2}, ZoneName("north"), {}));
    EXPECT_FALSE(policy.findPeerAhead(1_s, {300, 3}, ZoneName("north"), {}));
}

TEST(StoreEra, UpdatesAndCopiesCarryTheEra)
{
    StoreUpdate update;
    update.from = MemberName("entry-1");
    update.after = {399, 2};
    update.at = {400, 2};
    update.items = {item("a", {400, 2})};
    const Result<StoreUpdate> read = decodeStoreUpdate(encodeStoreUpdate(update));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->after, (net::StoreRevision {399, 2}));
    EXPECT_EQ(read->items.front().revision, (net::StoreRevision {400, 2}));
    const Result<StoreCopy> copy =
        decodeCopy(encodeCopy({{400, 2}, true, update.items, {item("held", {900, 1}, "order")}}));
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->at, (net::StoreRevision {400, 2}));
    ASSERT_EQ(copy->retained.size(), 1U);
    EXPECT_EQ(copy->retained.front().value, "order");
}

TEST(StoreEra, ChangesNeverLeadFromOneEraToTheNext)
{
    StoreUpdate update;
    update.from = MemberName("entry-1");
    update.after = {300, 1};
    update.at = {400, 2};
    const Result<StoreUpdate> read = decodeStoreUpdate(encodeStoreUpdate(update));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->after, read->at);
    RecentChanges recent;
    recent.restart({400, 2});
    EXPECT_FALSE(recent.since({900, 1}));
}

TEST(StoreEra, EntriesMissingInTheOlderCopyStayUsableForATime)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.storeRewound(10_s);
    table.removed(10_s, EndpointName("e1"));
    EXPECT_TRUE(isUsable(table, "e1"));
    table.listed(11_s, makeRecord("e1"));
    EXPECT_TRUE(table.tick(13_s).empty());
    EXPECT_TRUE(isUsable(table, "e1"));
}

TEST(StoreEra, EntriesNotWrittenAgainAreRemoved)
{
    EndpointTable table;
    table.listed(1_s, makeRecord("e1"));
    table.storeRewound(10_s);
    table.removed(10_s, EndpointName("e1"));
    EXPECT_EQ(table.tick(12_s).size(), 1U);
    EXPECT_FALSE(isUsable(table, "e1"));
}

// Guards against requests to a terminated engine: it removed its entry, and the restored older copy
// lists it again.
TEST(StoreEra, OlderCopyDoesNotRestoreARemovedEndpoint)
{
    EndpointTable table = makeTableWithRemovedEndpoint();
    EXPECT_FALSE(isUsable(table, "e1"));
    table.removed(12_s, EndpointName("e1"));
    static_cast<void>(table.tick(20_s));
    EXPECT_FALSE(isUsable(table, "e1"));
}

TEST(StoreEra, RemovedEndpointIsUsableAfterItWritesItsEntryAgain)
{
    EndpointTable table = makeTableWithRemovedEndpoint();
    table.listed(11_s, makeRecord("e1"), EntrySource::Written);
    EXPECT_TRUE(isUsable(table, "e1"));
}

TEST(StoreEra, EndpointWhoseEntryOutlivesAnExpiringOneIsUsable)
{
    EndpointTable table = makeTableWithRemovedEndpoint();
    static_cast<void>(table.tick(14_s));
    EXPECT_FALSE(isUsable(table, "e1"));
    static_cast<void>(table.tick(15_s));
    EXPECT_TRUE(isUsable(table, "e1"));
}

TEST(StoreEra, OlderCopyDoesNotRestoreAnEndpointThatAnnouncedLeaving)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    table.listed(1_s, record);
    record.draining = true;
    table.listed(9_s, record);
    table.storeRewound(10_s);
    table.listed(10_s, makeRecord("e1"), EntrySource::Listed);
    static_cast<void>(table.tick(20_s));
    EXPECT_FALSE(isUsable(table, "e1"));
    // Processes that start meanwhile receive the notice from this one.
    const std::vector<EndpointIncarnation> notices = table.recentLeavingNotices(11_s);
    ASSERT_EQ(notices.size(), 1U);
    EXPECT_EQ(notices.front().endpoint, EndpointName("e1"));
}

TEST(StoreEra, EndpointUnchangedInTheOlderCopyKeepsItsWarmState)
{
    EndpointTable table;
    EndpointRecord record = makeRecord("e1");
    record.coldRemaining = 3_s;
    table.listed(1_s, record);
    table.storeRewound(10_s);
    table.listed(10_s, record, EntrySource::Listed);
    EXPECT_FALSE(table.find(EndpointName("e1"))->isCold(10_s));
}

// Guards against a zone returning to service by itself: the operator took it out of service in the
// seconds that the restored store has lost.
TEST(StoreEra, ZoneStaysOutOfServiceWhileItsOrderMayBeWrittenAgain)
{
    EndpointTable table;
    const ZoneName zone("north");
    table.zoneOut(zone);
    table.storeRewound(10_s);
    EXPECT_FALSE(table.zoneOrderMissing(10_s, zone));
    EXPECT_TRUE(table.zonesOut().contains(zone));
    EXPECT_TRUE(table.expireRetainedZoneOrders(19_s).empty());
    EXPECT_EQ(table.expireRetainedZoneOrders(20_s).size(), 1U);
    EXPECT_FALSE(table.zonesOut().contains(zone));
}

TEST(StoreEra, ZoneWhoseOrderIsWrittenAgainStaysOutOfService)
{
    EndpointTable table;
    const ZoneName zone("north");
    table.zoneOut(zone);
    table.storeRewound(10_s);
    static_cast<void>(table.zoneOrderMissing(10_s, zone));
    table.zoneOut(zone);
    EXPECT_TRUE(table.expireRetainedZoneOrders(30_s).empty());
    EXPECT_TRUE(table.zonesOut().contains(zone));
}

TEST(StoreEra, ZoneRetainedByAPeerIsKeptLongAfterAnEarlierRewind)
{
    EndpointTable table;
    const ZoneName zone("north");
    table.storeRewound(10_s);
    table.zoneOrderRetained(60_s, zone);
    EXPECT_TRUE(table.expireRetainedZoneOrders(69_s).empty());
    EXPECT_EQ(table.expireRetainedZoneOrders(70_s).size(), 1U);
}

TEST(StoreEra, ZoneThatAnOrdinaryListingLacksIsInServiceAtOnce)
{
    EndpointTable table;
    const ZoneName zone("north");
    table.zoneOut(zone);
    EXPECT_TRUE(table.zoneOrderMissing(10_s, zone));
    EXPECT_FALSE(table.zonesOut().contains(zone));
}

// Guards against processes ending in different states: updates of two eras arrive in any order,
// some of them twice.
TEST(StoreEraProperty, AllProcessesEndInTheStateOfTheLaterEra)
{
    const std::vector<net::StoreItem> first = {item("a", {7, 1}, "a7"), item("b", {8, 1}, "b8"),
                                               item("a", {9, 1}, "a9")};
    const std::vector<net::StoreItem> second = {item("a", {8, 2}, "a-again"),
                                                item("c", {9, 2}, "c9")};
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<net::StoreItem> updates = first;
        updates.insert(updates.end(), second.begin(), second.end());
        updates.insert(updates.end(), first.begin(), first.end());
        std::shuffle(updates.begin(), updates.end(), random);
        StoreMirror mirror;
        const std::size_t listedAfter = random() % updates.size();
        for (std::size_t i = 0; i < updates.size(); ++i) {
            if (i == listedAfter) {
                mirror.beginListing();
                static_cast<void>(
                    mirror.addPage({item("a", {6, 2}, "a6"), item("b", {5, 2}, "b5")}));
                static_cast<void>(mirror.endListing());
            }
            // A process applies no updates of an era before the one that it has listed.
            if (i < listedAfter ? updates[i].revision.era == 1 : updates[i].revision.era == 2)
                static_cast<void>(mirror.apply({updates[i]}));
        }
        for (const net::StoreItem &late : second)
            static_cast<void>(mirror.apply({late}));
        std::string state;
        for (const net::StoreItem &known : mirror.items())
            state += known.key + '=' + known.value + ' ';
        EXPECT_EQ(state, "a=a-again b=b5 c=c9 ") << "seed " << seed;
    }
}

} // namespace
