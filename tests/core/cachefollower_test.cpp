#include "fescue/core/cachefollower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace {

using namespace fescue;

using Events = std::vector<CacheEvent>;

TEST(CacheFollower, FollowsEventsOnce)
{
    CacheFollower cache;
    cache.apply({1}, Events {{1, true, "a"}, {2, true, "b"}}, 2);
    cache.apply({1}, Events {{1, true, "a"}, {2, true, "b"}, {3, false, "a"}}, 3);
    cache.apply({1}, Events {{2, true, "a"}}, 3);
    EXPECT_EQ(cache.holds("a"), CacheHold::NotHeld);
    EXPECT_EQ(cache.holds("b"), CacheHold::Held);
    EXPECT_EQ(cache.askAfter(), 3U);
    EXPECT_FALSE(cache.unsure());
}

TEST(CacheFollower, GapMakesEarlierPrefixesUnsureUntilTheyAreSeenAgain)
{
    CacheFollower cache;
    cache.apply({1}, Events {{1, true, "a"}, {2, true, "b"}}, 2);
    cache.apply({1}, Events {{5, true, "c"}}, 5);
    EXPECT_EQ(cache.holds("a"), CacheHold::Unsure);
    EXPECT_EQ(cache.holds("c"), CacheHold::Held);
    cache.apply({1}, Events {{6, true, "a"}, {7, false, "b"}}, 7);
    EXPECT_EQ(cache.holds("a"), CacheHold::Held);
    EXPECT_FALSE(cache.unsure());
}

TEST(CacheFollower, EventsThatTheEngineNoLongerHasAreAGap)
{
    CacheFollower cache;
    cache.apply({1}, Events {{1, true, "a"}}, 1);
    cache.apply({1}, {}, 9);
    EXPECT_TRUE(cache.unsure());
    EXPECT_EQ(cache.askAfter(), 9U);
}

TEST(CacheFollower, NewLifeOrLostCacheStartsOver)
{
    CacheFollower cache;
    cache.apply({1}, Events {{1, true, "a"}, {2, true, "b"}}, 2);
    cache.apply({1}, Events {{1, true, "c"}}, 1);
    EXPECT_EQ(cache.holds("a"), CacheHold::NotHeld);
    EXPECT_EQ(cache.holds("c"), CacheHold::Held);
    cache.apply({2}, {}, 0);
    EXPECT_EQ(cache.size(), 0U);
    cache.apply({1}, Events {{1, true, "a"}}, 1);
    EXPECT_EQ(cache.size(), 0U) << "late news of an earlier life";
}

RC_GTEST_PROP(CacheFollowerRandom, MemoryIsBoundedAndCountsAgree,
              (const std::vector<std::uint8_t> &draws))
{
    CacheFollower cache(4);
    std::uint64_t sequence = 0;
    for (const std::uint8_t draw : draws) {
        sequence += draw % 16 == 0 ? 2 : 1;
        const std::string prefix(1, static_cast<char>('a' + draw % 7));
        cache.apply({1}, Events {{sequence, draw % 3 != 0, prefix}}, sequence);
        RC_ASSERT(cache.size() <= 4U);
        bool anyUnsure = false;
        for (char c = 'a'; c < 'a' + 7; ++c)
            anyUnsure = anyUnsure || cache.holds(std::string(1, c)) == CacheHold::Unsure;
        RC_ASSERT(anyUnsure == cache.unsure());
    }
}

} // namespace
