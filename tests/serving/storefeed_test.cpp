#include "fescue/serving/storefeed.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

std::vector<MemberView> makeMembers(int n)
{
    std::vector<MemberView> members;
    for (int i = 0; i < n; ++i) {
        MemberView view;
        view.info.name = MemberName("entry-" + std::to_string(i));
        view.state = MemberState::Live;
        members.push_back(view);
    }
    return members;
}

// Returns a member that is not a store watcher.
MemberName someNonWatcher(std::span<const MemberView> members)
{
    const auto it = std::find_if(members.begin(), members.end(), [members](const MemberView &view) {
        return !FeedPolicy::isWatcher(view.info.name, members);
    });
    return it->info.name;
}

StoreUpdate makeUpdate(const MemberName &from, std::uint64_t at, bool reachable = true)
{
    StoreUpdate update;
    update.from = from;
    update.after = {at};
    update.at = {at};
    update.reachable = reachable;
    return update;
}

std::optional<MemberName> findPeerAhead(const FeedPolicy &policy, Millis now, net::StoreRevision at)
{
    return policy.findPeerAhead(now, at, ZoneName("north"), {});
}

// Members in five availability zones.
std::vector<MemberView> makeZones(int n)
{
    std::vector<MemberView> members = makeMembers(n);
    for (std::size_t i = 0; i < members.size(); ++i)
        members[i].info.zone = ZoneName("zone-" + std::to_string(i % 5));
    return members;
}

// Guards against store calls growing with the number of processes: endpoints of a large system
// change often, and each change would end a watch of every process.
TEST(FeedPolicy, NumberOfWatchersIsLimited)
{
    for (const int n : {1, 3, 9, 84, 370}) {
        const std::vector<MemberView> members = makeMembers(n);
        std::size_t watcherCount = 0;
        for (const MemberView &member : members)
            watcherCount += FeedPolicy::isWatcher(member.info.name, members) ? 1 : 0;
        EXPECT_EQ(watcherCount, std::min<std::size_t>(FeedPolicy::watcherCount, members.size()));
    }
}

// Guards against watchers behind narrow links: with a few VMs with wide links among many with
// narrow ones, such a watcher delayed both the updates and its own requests.
TEST(FeedPolicy, WatchersHaveWideLinks)
{
    std::vector<MemberView> members = makeMembers(84);
    for (std::size_t n = 0; n < members.size(); ++n)
        members[n].info.linkMegabits = n % 14 == 0 ? 200 : 10;
    std::size_t watcherCount = 0;
    for (const MemberView &member : members) {
        const bool watches = FeedPolicy::isWatcher(member.info.name, members);
        watcherCount += watches ? 1 : 0;
        EXPECT_FALSE(watches && member.info.linkMegabits == 10);
    }
    EXPECT_EQ(watcherCount, FeedPolicy::watcherCount);
}

TEST(FeedPolicy, ProcessWithoutHeartbeatsOfAWatcherWatchesItself)
{
    const std::vector<MemberView> members = makeMembers(9);
    MemberName watcher;
    MemberName other;
    for (const MemberView &member : members)
        (FeedPolicy::isWatcher(member.info.name, members) ? watcher : other) = member.info.name;
    FeedPolicy policy;
    EXPECT_TRUE(policy.mustWatch(1_s, other, members, false));
    policy.recordUpdate(1_s, makeUpdate(watcher, 5));
    EXPECT_FALSE(policy.mustWatch(Millis {2'200}, other, members, true));
    EXPECT_TRUE(policy.mustWatch(Millis {2'201}, other, members, true));
    EXPECT_TRUE(policy.mustWatch(1_s, watcher, members, false));
}

TEST(FeedPolicy, WatcherCutOffFromTheStoreIsIgnored)
{
    const std::vector<MemberView> members = makeMembers(9);
    const MemberName other = someNonWatcher(members);
    FeedPolicy policy;
    policy.recordUpdate(1_s, makeUpdate(MemberName("w1"), 5, false));
    EXPECT_TRUE(policy.mustWatch(1_s, other, members, false));
    policy.recordUpdate(1_s, makeUpdate(MemberName("w2"), 5, true));
    EXPECT_FALSE(policy.mustWatch(1_s, other, members, false));
}

TEST(FeedPolicy, FindsThePeerWithMissedChanges)
{
    FeedPolicy policy;
    EXPECT_FALSE(findPeerAhead(policy, 1_s, {5}));
    policy.recordUpdate(1_s, makeUpdate(MemberName("w1"), 5));
    EXPECT_FALSE(findPeerAhead(policy, 1_s, {5}));
    policy.recordUpdate(1_s, makeUpdate(MemberName("w2"), 7));
    EXPECT_EQ(findPeerAhead(policy, 1_s, {5}), MemberName("w2"));
    // A datagram that arrives late does not lower the watcher's recorded revision.
    policy.recordUpdate(1_s, makeUpdate(MemberName("w2"), 6));
    EXPECT_EQ(findPeerAhead(policy, 1_s, {6}), MemberName("w2"));
    EXPECT_FALSE(findPeerAhead(policy, 3_s, {5}));
}

TEST(FeedPolicy, PrefersAPeerOfTheSameZoneForMissedChanges)
{
    const std::vector<MemberView> members = makeZones(10);
    FeedPolicy policy;
    for (const char *name : {"entry-0", "entry-3", "entry-8"})
        policy.recordUpdate(1_s, makeUpdate(MemberName(name), 7));
    const std::optional<MemberName> near =
        policy.findPeerAhead(1_s, {5}, ZoneName("zone-3"), members);
    EXPECT_TRUE(near == MemberName("entry-3") || near == MemberName("entry-8"));
    EXPECT_TRUE(policy.findPeerAhead(1_s, {5}, ZoneName("zone-1"), members));
}

// Guards against excess traffic with hundreds of processes and thousands of endpoints: each change
// went from every watcher to every process, also between zones.
TEST(FeedPolicy, UpdatesOfALargeSystemReachAllThroughRelays)
{
    for (const int n : {30, 100, 195, 373}) {
        const std::vector<MemberView> members = makeZones(n);
        std::map<MemberName, std::size_t> receivedCounts;
        std::size_t betweenZones = 0;
        std::size_t most = 0;
        for (const MemberView &self : members) {
            const std::vector<const MemberView *> targets =
                FeedPolicy::recipients(self.info.name, members, true);
            most = std::max(most, targets.size());
            for (const MemberView *member : targets) {
                ++receivedCounts[member->info.name];
                betweenZones += member->info.zone != self.info.zone ? 1 : 0;
            }
        }
        EXPECT_EQ(receivedCounts.size(), members.size());
        EXPECT_LE(betweenZones, FeedPolicy::watcherCount * FeedPolicy::relaysPerZone * 5);
        // The members of one zone, and the relays of all zones.
        EXPECT_LE(most, members.size() / 5 + 1 + FeedPolicy::relaysPerZone * 5);
    }
}

TEST(FeedPolicy, WatchersOfASmallSystemSendToAll)
{
    const std::vector<MemberView> members = makeZones(9);
    for (const MemberView &self : members) {
        const bool watches = FeedPolicy::isWatcher(self.info.name, members);
        EXPECT_EQ(FeedPolicy::recipients(self.info.name, members, false).size(), watches ? 8U : 0U);
    }
}

// Guards against a zone relying on outdated contents: it is cut off from the watchers, and its
// relays still receive updates from each other.
TEST(FeedPolicy, ProcessesThatReceiveOnlyFromEachOtherDetectTheSilentStore)
{
    const std::vector<MemberView> members = makeMembers(30);
    const std::set<MemberName> relays = FeedPolicy::relays(members.front().info.name, members);
    const auto it = std::find_if(members.begin(), members.end(), [&](const MemberView &view) {
        return !relays.contains(view.info.name) && !FeedPolicy::isWatcher(view.info.name, members);
    });
    const MemberName self = it->info.name;
    const auto relay = std::find_if(relays.begin(), relays.end(), [&](const MemberName &name) {
        return !FeedPolicy::isWatcher(name, members);
    });
    ASSERT_NE(relay, relays.end());
    FeedPolicy policy;
    StoreUpdate update = makeUpdate(MemberName("other"), 5);
    for (Millis now = 1_s; now <= 5_s; now += 250_ms) {
        update.storeAge = now - 1_s;
        policy.recordUpdate(now, update);
        EXPECT_EQ(policy.mustWatch(now, self, members, true),
                  update.storeAge > FeedPolicy::maxStoreAge);
        EXPECT_EQ(policy.mustWatch(now, *relay, members, true),
                  update.storeAge > FeedPolicy::maxRelayStoreAge);
        EXPECT_TRUE(policy.hasRecentWatcher(now));
    }
    EXPECT_FALSE(policy.hasRecentWatcher(7_s));
}

// How the store treats the processes that it rejects.
enum class Rejection : std::uint8_t
{
    // Their calls fail at once.
    Refused,
    // Their calls get no answer and fail after a timeout.
    Silent,
};

// The processes of a system while the store rejects some of them. Moves in steps of 50 ms; updates
// arrive with the next step.
class RejectedFleet
{
public:
    RejectedFleet(std::vector<MemberView> all, std::set<MemberName> rejectedNames, Rejection kind)
        : m_members(std::move(all)), m_rejected(std::move(rejectedNames)), m_kind(kind),
          m_processes(m_members.size())
    { }

    // Returns the time from the change of the store, shortly after the begin of the rejection,
    // until all processes have it.
    Millis timeOfAChange()
    {
        const Millis rejectsAt = 2_s;
        const Millis changesAt = Millis {2'100};
        for (Millis now {0}; now < changesAt + 20_s; now += step) {
            if (now >= changesAt)
                m_storeRevision = 2;
            for (std::size_t i = 0; i < m_members.size(); ++i)
                follow(now, i, now >= rejectsAt);
            for (std::size_t i = 0; i < m_members.size(); ++i)
                sendHeartbeat(now, i);
            const bool all = std::all_of(m_processes.begin(), m_processes.end(),
                                         [](const Process &p) { return p.revision == 2; });
            if (all)
                return now - changesAt;
        }
        return 20_s;
    }

private:
    static constexpr Millis step = 50_ms;
    static constexpr Millis askInterval = 300_ms;
    // A watch that waits, and the timeout of its call.
    static constexpr Millis silentCall = Millis {2'200};

    struct Process
    {
        FeedPolicy policy;
        std::uint64_t revision = 1;
        Millis confirmedAt {0};
        Millis askedAt {0};
        std::optional<Millis> callBegan;
        bool isRejected = false;
        bool follows = false;
    };

    [[nodiscard]] bool isLarge() const { return m_members.size() > 20; }

    void follow(Millis now, std::size_t i, bool storeRejects)
    {
        Process &process = m_processes[i];
        const MemberName &name = m_members[i].info.name;
        process.follows = process.policy.mustWatch(now, name, m_members, isLarge());
        if (!process.follows && !process.callBegan)
            return;
        if (!storeRejects || !m_rejected.contains(name)) {
            process.isRejected = false;
            process.confirmedAt = now;
            process.revision = m_storeRevision;
            return;
        }
        if (!process.callBegan)
            process.callBegan = now;
        if (m_kind == Rejection::Silent && now - *process.callBegan < silentCall)
            return;
        process.callBegan.reset();
        process.isRejected = true;
        if (now - process.confirmedAt <= FeedPolicy::maxRelayStoreAge
            || now - process.askedAt < askInterval)
            return;
        process.askedAt = now;
        const double uniform = static_cast<double>(now.count / step.count % 10) / 10;
        const std::optional<MemberName> peer =
            process.policy.choosePeerToAsk(now, name, m_members, isLarge(), uniform);
        for (std::size_t k = 0; k < m_members.size(); ++k) {
            if (peer == m_members[k].info.name)
                process.revision = std::max(process.revision, m_processes[k].revision);
        }
    }

    void sendHeartbeat(Millis now, std::size_t i)
    {
        if (now.count % FeedPolicy::heartbeatInterval.count != 0)
            return;
        const Process &from = m_processes[i];
        const MemberName &name = m_members[i].info.name;
        StoreUpdate update =
            makeUpdate(name, from.revision, now - from.confirmedAt <= FeedPolicy::maxStoreAge);
        update.storeAge = now - from.confirmedAt;
        update.isRejected = from.isRejected;
        for (const MemberView *to :
             FeedPolicy::recipients(name, m_members, isLarge(), from.follows)) {
            Process &process = m_processes[static_cast<std::size_t>(to - m_members.data())];
            process.policy.recordUpdate(now, update);
            process.revision = std::max(process.revision, from.revision);
            if (update.at.value >= process.revision)
                process.confirmedAt = std::max(process.confirmedAt, from.confirmedAt);
        }
    }

    std::vector<MemberView> m_members;
    std::set<MemberName> m_rejected;
    Rejection m_kind;
    std::vector<Process> m_processes;
    std::uint64_t m_storeRevision = 1;
};

// Guards against processes that keep an old configuration: the store rejects all watchers, and the
// relays, whose leases are renewed, take each other's updates for recent ones. The bounds are the
// shortest ones of the deployments, less the time that an update takes.
TEST(FeedPolicy, ChangeReachesAllWhileTheStoreRejectsTheWatchers)
{
    for (const int n : {7, 9, 30, 70, 195}) {
        std::vector<MemberView> members = makeZones(n);
        for (std::size_t i = 0; i < members.size(); ++i)
            members[i].info.linkMegabits = i < 15 ? 200 : 10;
        std::set<MemberName> watchers;
        for (const MemberView &member : members) {
            if (FeedPolicy::isWatcher(member.info.name, members))
                watchers.insert(member.info.name);
        }
        std::set<MemberName> allRelays = FeedPolicy::relays(members.front().info.name, members);
        allRelays.merge(std::set<MemberName>(watchers));
        const Millis bound = n > 20 ? Millis {2'800} : Millis {1'800};
        for (const Rejection kind : {Rejection::Refused, Rejection::Silent}) {
            SCOPED_TRACE(std::to_string(n) + (kind == Rejection::Silent ? " silent" : " refused"));
            EXPECT_LE(RejectedFleet(members, watchers, kind).timeOfAChange(), bound);
            if (n > 20)
                EXPECT_LE(RejectedFleet(members, allRelays, kind).timeOfAChange(), bound);
        }
    }
}

TEST(StoreUpdate, RoundTripPreservesAllFields)
{
    StoreUpdate update = makeUpdate(MemberName("w1"), 9);
    update.after = {7};
    update.storeAge = 321_ms;
    update.isRejected = true;
    update.items = {{"servers/i-1", std::string("\x00\xff{", 3), {8}, false},
                    {"servers/i-2", "", {9}, true}};
    const Result<StoreUpdate> decoded = decodeStoreUpdate(encodeStoreUpdate(update));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(decoded->after.value, 7U);
    EXPECT_TRUE(decoded->isRejected);
    EXPECT_EQ(decoded->at.value, 9U);
    ASSERT_EQ(decoded->items.size(), 2U);
    EXPECT_EQ(decoded->items[0].value, update.items[0].value);
    EXPECT_TRUE(decoded->items[1].deleted);
}

// Guards against a change being skipped: a configuration with many routes is longer than a
// datagram.
TEST(StoreUpdate, LongChangesAreLeftOutAndFollowNoEarlierRevision)
{
    StoreUpdate update = makeUpdate(MemberName("w1"), 9);
    update.after = {8};
    update.items = {{"config", std::string(20'000, 'x'), {9}, false}};
    const std::string bytes = encodeStoreUpdate(update);
    EXPECT_LE(bytes.size(), maxStoreUpdateBytes);
    const Result<StoreUpdate> decoded = decodeStoreUpdate(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->items.empty());
    EXPECT_EQ(decoded->after.value, 9U);
}

// Guards against lost changes when many endpoints of a large system leave at the same time.
TEST(StoreUpdate, ManyChangesAreSplitIntoConsecutiveUpdates)
{
    StoreUpdate update = makeUpdate(MemberName("w1"), 100);
    update.after = {20};
    for (std::uint64_t n = 40; n > 0; --n)
        update.items.push_back(
            {"servers/" + std::to_string(n), std::string(400, 'x'), {20 + n}, false});
    const std::vector<StoreUpdate> parts = splitStoreUpdate(update);
    ASSERT_GT(parts.size(), 1U);
    net::StoreRevision at = update.after;
    std::size_t items = 0;
    for (const StoreUpdate &part : parts) {
        EXPECT_EQ(part.after.value, at.value);
        EXPECT_LE(encodeStoreUpdate(part).size(), maxStoreUpdateBytes);
        for (const net::StoreItem &item : part.items) {
            EXPECT_GT(item.revision, part.after);
            EXPECT_LE(item.revision, part.at);
        }
        items += part.items.size();
        at = part.at;
    }
    EXPECT_EQ(items, 40U);
    EXPECT_EQ(at.value, 100U);
}

TEST(StoreUpdate, ChangeThatIsTooLongHasToBeFetched)
{
    StoreUpdate update = makeUpdate(MemberName("w1"), 9);
    update.after = {6};
    update.items = {{"a", "v", {7}, false},
                    {"config", std::string(20'000, 'x'), {8}, false},
                    {"b", "v", {9}, false}};
    const std::vector<StoreUpdate> parts = splitStoreUpdate(update);
    EXPECT_EQ(parts.back().after.value, 9U);
    EXPECT_TRUE(parts.back().items.empty());
}

TEST(RecentChanges, ReturnsTheChangesThatAPeerHasMissed)
{
    RecentChanges recent;
    recent.restart({5});
    const std::vector<net::StoreItem> items {{"a", "1", {6}, false}, {"b", "", {8}, true}};
    recent.add({5}, {9}, items);
    EXPECT_EQ(recent.since({5})->size(), 2U);
    EXPECT_EQ(recent.since({6})->size(), 1U);
    EXPECT_TRUE(recent.since({9})->empty());
    EXPECT_FALSE(recent.since({4}));
    recent.add({12}, {13}, items);
    EXPECT_FALSE(recent.since({9}));
}

TEST(StoreUpdate, MalformedBytesAreRejected)
{
    const std::string bytes = encodeStoreUpdate(makeUpdate(MemberName("w1"), 9));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(decodeStoreUpdate(std::string_view(bytes).substr(0, n)));
}

TEST(StoreCopy, RoundTripPreservesAllFields)
{
    const StoreCopy copy {{12}, false, {{"a", "v", {3}, false}}};
    const Result<StoreCopy> decoded = decodeCopy(encodeCopy(copy));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->at.value, 12U);
    EXPECT_FALSE(decoded->whole);
    EXPECT_EQ(decoded->items[0].key, "a");
    EXPECT_FALSE(decodeCopy("nonsense"));
}

} // namespace
