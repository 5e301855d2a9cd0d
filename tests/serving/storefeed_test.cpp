#include "fescue/serving/storefeed.h"

#include <gtest/gtest.h>
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

StoreNews makeNews(const MemberName &from, std::uint64_t at, bool reachable = true)
{
    StoreNews news;
    news.from = from;
    news.after = {at};
    news.at = {at};
    news.reachable = reachable;
    return news;
}

// Pattern: endpoints come and go in a large system, and every change would wake every process.
TEST(FeedPolicy, FewProcessesWatchHoweverManyThereAre)
{
    for (const int n : {1, 3, 9, 84, 370}) {
        const std::vector<MemberView> members = makeMembers(n);
        std::size_t watchers = 0;
        for (const MemberView &member : members)
            watchers += FeedPolicy::isWatcher(member.info.name, members) ? 1 : 0;
        EXPECT_EQ(watchers, std::min<std::size_t>(FeedPolicy::watchers, members.size()));
    }
}

TEST(FeedPolicy, ProcessThatHearsNoWatcherWatchesForItself)
{
    const std::vector<MemberView> members = makeMembers(9);
    MemberName watcher;
    MemberName other;
    for (const MemberView &member : members)
        (FeedPolicy::isWatcher(member.info.name, members) ? watcher : other) = member.info.name;
    FeedPolicy policy;
    EXPECT_TRUE(policy.mustWatch(1_s, other, members));
    policy.heard(1_s, makeNews(watcher, 5));
    EXPECT_FALSE(policy.mustWatch(Millis {2'200}, other, members));
    EXPECT_TRUE(policy.mustWatch(Millis {2'201}, other, members));
    EXPECT_TRUE(policy.mustWatch(1_s, watcher, members));
}

TEST(FeedPolicy, WatcherWithoutTheStoreDoesNotCount)
{
    const std::vector<MemberView> members = makeMembers(9);
    MemberName other;
    for (const MemberView &member : members) {
        if (!FeedPolicy::isWatcher(member.info.name, members))
            other = member.info.name;
    }
    FeedPolicy policy;
    policy.heard(1_s, makeNews(MemberName("w1"), 5, false));
    EXPECT_TRUE(policy.mustWatch(1_s, other, members));
    policy.heard(1_s, makeNews(MemberName("w2"), 5, true));
    EXPECT_FALSE(policy.mustWatch(1_s, other, members));
}

TEST(FeedPolicy, ProcessThatMissedChangesLearnsWhoHasThem)
{
    FeedPolicy policy;
    EXPECT_FALSE(policy.fresher(1_s, {5}));
    policy.heard(1_s, makeNews(MemberName("w1"), 5));
    EXPECT_FALSE(policy.fresher(1_s, {5}));
    policy.heard(1_s, makeNews(MemberName("w2"), 7));
    EXPECT_EQ(policy.fresher(1_s, {5}), MemberName("w2"));
    // A datagram that was overtaken does not hide what the watcher has.
    policy.heard(1_s, makeNews(MemberName("w2"), 6));
    EXPECT_EQ(policy.fresher(1_s, {6}), MemberName("w2"));
    EXPECT_FALSE(policy.fresher(3_s, {5}));
}

TEST(StoreNews, ComesBackAsItWasSent)
{
    StoreNews news = makeNews(MemberName("w1"), 9);
    news.after = {7};
    news.items = {{"servers/i-1", std::string("\x00\xff{", 3), {8}, false},
                  {"servers/i-2", "", {9}, true}};
    const Result<StoreNews> decoded = decodeNews(encodeNews(news));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(decoded->after.value, 7U);
    EXPECT_EQ(decoded->at.value, 9U);
    ASSERT_EQ(decoded->items.size(), 2U);
    EXPECT_EQ(decoded->items[0].value, news.items[0].value);
    EXPECT_TRUE(decoded->items[1].deleted);
}

// Pattern: a configuration grows by many routes and is longer than a datagram.
TEST(StoreNews, LongChangesAreLeftOutAndFollowNoEarlierRevision)
{
    StoreNews news = makeNews(MemberName("w1"), 9);
    news.after = {8};
    news.items = {{"config", std::string(20'000, 'x'), {9}, false}};
    const std::string bytes = encodeNews(news);
    EXPECT_LE(bytes.size(), maxNewsBytes);
    const Result<StoreNews> decoded = decodeNews(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->items.empty());
    EXPECT_EQ(decoded->after.value, 9U);
}

TEST(StoreNews, DamagedBytesAreErrors)
{
    const std::string bytes = encodeNews(makeNews(MemberName("w1"), 9));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(decodeNews(std::string_view(bytes).substr(0, n)));
}

TEST(StoreCopy, ComesBackAsItWasSent)
{
    const StoreCopy copy {{12}, {{"a", "v", {3}, false}}};
    const Result<StoreCopy> decoded = decodeCopy(encodeCopy(copy));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->at.value, 12U);
    EXPECT_EQ(decoded->items[0].key, "a");
    EXPECT_FALSE(decodeCopy("nonsense"));
}

} // namespace
