#include "fescue/serving/coldratelimiter.h"
#include "fescue/serving/coldshares.h"

#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");

std::vector<MemberView> makeMembers(std::size_t n, std::size_t first = 0)
{
    std::vector<MemberView> members;
    for (std::size_t i = first; i < first + n; ++i) {
        MemberView member;
        member.info.name = MemberName("entry-" + std::to_string(i));
        members.push_back(member);
    }
    return members;
}

ColdShares settled(const MemberName &self, std::span<const MemberView> members)
{
    ColdShares shares(self);
    shares.recordMembers(1_s, members);
    return shares;
}

constexpr Millis later = 5_s;

// Guards against new engines that stay idle: in a fleet with more entry processes than a cold
// engine accepts requests a second, an equal share for each process rounds to 0.
TEST(ColdShares, LargeFleetUsesExactlyHalfOfTheLimit)
{
    for (const std::size_t n : {20U, 100U, 195U, 373U}) {
        const std::vector<MemberView> members = makeMembers(n);
        std::size_t sum = 0;
        for (const MemberView &member : members)
            sum += settled(member.info.name, members).share(later, endpoint, 33.5);
        EXPECT_EQ(sum, 16U) << n;
    }
}

TEST(ColdShares, RanksMembersDifferentlyForEachEndpoint)
{
    const std::vector<MemberView> members = makeMembers(195);
    std::size_t withShare = 0;
    for (const MemberView &member : members) {
        const ColdShares shares = settled(member.info.name, members);
        std::size_t n = 0;
        for (int e = 0; e < 68; ++e)
            n += shares.share(later, EndpointName("e" + std::to_string(e)), 33.5);
        withShare += n > 0 ? 1 : 0;
    }
    EXPECT_GT(withShare, 185U);
}

TEST(ColdShares, SmallFleetHasEqualShares)
{
    const std::vector<MemberView> members = makeMembers(9);
    EXPECT_EQ(settled(MemberName("entry-3"), members).share(later, endpoint, 50), 2U);
    EXPECT_EQ(settled(MemberName("entry-3"), members).share(later, endpoint, -1), 0U);
}

TEST(ColdShares, ProcessThatHasJustStartedHasNoShare)
{
    ColdShares shares(MemberName("entry-0"));
    EXPECT_EQ(shares.share(later, endpoint, 50), 0U);
    shares.recordMembers(10_s, makeMembers(1));
    EXPECT_EQ(shares.share(20_s, endpoint, 50), 0U);
    shares.recordMembers(20_s, makeMembers(9));
    EXPECT_EQ(shares.share(Millis {22'999}, endpoint, 50), 0U);
    EXPECT_EQ(shares.share(23_s, endpoint, 50), 2U);
}

TEST(ColdShares, DepartedMembersCountForAWhile)
{
    ColdShares shares = settled(MemberName("entry-0"), makeMembers(20));
    shares.recordMembers(2_s, makeMembers(8));
    EXPECT_EQ(shares.share(later, endpoint, 50), 1U);
    shares.recordMembers(62_s, makeMembers(8));
    EXPECT_EQ(shares.share(62_s, endpoint, 50), 3U);
}

// Guards against overload of an endpoint that returns: many processes want to use it at the same
// moment, and each still counts some departed members and misses some that have just joined.
TEST(ColdShares, SumStaysBelowTheLimitWhileMembersJoinAndLeave)
{
    constexpr double limit = 33.5;
    constexpr std::size_t live = 195;
    constexpr std::size_t joining = 16;
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 40; ++round) {
        const EndpointName cold("e" + std::to_string(round));
        std::size_t sum = 0;
        for (std::size_t self = 0; self < live; ++self) {
            std::vector<MemberView> view = makeMembers(live - joining);
            for (std::size_t i = live - joining; i < live; ++i) {
                if (random() % 2 == 0)
                    view.push_back(makeMembers(1, i).front());
            }
            // Some departed members are still visible.
            for (const MemberView &departed : makeMembers(random() % 40, 1000))
                view.push_back(departed);
            const MemberName name("entry-" + std::to_string(self));
            sum += settled(name, view).share(later, cold, limit);
        }
        EXPECT_LE(sum, static_cast<std::size_t>(limit)) << round;
    }
}

// The same in a small fleet, in which a process may miss up to half of the others.
TEST(ColdShares, SumStaysBelowTheLimitWithIncompleteViews)
{
    constexpr double limit = 50;
    constexpr std::size_t processes = 14;
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20; ++round) {
        std::vector<ColdRateLimiter> limiters(processes);
        std::vector<std::size_t> processShares;
        for (std::size_t self = 0; self < processes; ++self) {
            // A process may miss up to half of the others.
            std::vector<MemberView> view = makeMembers(processes);
            std::shuffle(view.begin(), view.end(), random);
            view.resize(processes / 2 + random() % (processes / 2 + 1));
            const MemberName name("entry-" + std::to_string(self));
            processShares.push_back(settled(name, view).share(later, endpoint, limit));
        }
        std::vector<Millis> sent;
        for (Millis now {0}; now < 5_s; now += 5_ms) {
            for (std::size_t i = 0; i < processes; ++i) {
                if (random() % 3 == 0 && limiters[i].tryTake(now, endpoint, processShares[i]))
                    sent.push_back(now);
            }
        }
        for (std::size_t i = 0, j = 0; i < sent.size(); ++i) {
            while (sent[i] - sent[j] >= 1_s)
                ++j;
            ASSERT_LE(i - j + 1, static_cast<std::size_t>(limit));
        }
    }
}

} // namespace
