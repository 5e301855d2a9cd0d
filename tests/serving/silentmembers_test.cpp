#include "fescue/serving/silentmembers.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const MemberName broker("a");
constexpr double largest = 0.999;

// A broker that this process cannot reach, though it hears it.
TEST(SilentMembers, PauseGrowsWithEverySilenceInARow)
{
    SilentMembers members({1_s, 16_s});
    Millis now = 1_s;
    Millis last {0};
    for (int n = 0; n < 4; ++n) {
        const Millis pause = members.recordSilence(now, broker, largest);
        EXPECT_GT(pause, last);
        EXPECT_TRUE(members.isPaused(now + pause - 1_ms, broker));
        EXPECT_FALSE(members.isPaused(now + pause, broker));
        now += pause + 1_s;
        members.purge(now);
        last = pause;
    }
    EXPECT_GE(last, 4_s);
    for (int n = 0; n < 10; ++n) {
        last = members.recordSilence(now, broker, largest);
        now += last;
    }
    EXPECT_LE(last, 16_s);
}

TEST(SilentMembers, RequestsThatWereOpenTogetherCountAsOne)
{
    SilentMembers members({1_s, 16_s});
    for (int n = 0; n < 10; ++n)
        EXPECT_LE(members.recordSilence(1_s, broker, largest), 1_s);
}

TEST(SilentMembers, AnswerBeginsAnew)
{
    SilentMembers members({1_s, 16_s});
    for (Millis now = 1_s; now < 60_s; now += 20_s)
        static_cast<void>(members.recordSilence(now, broker, largest));
    members.recordAnswer(broker);
    EXPECT_FALSE(members.isPaused(41_s, broker));
    EXPECT_LE(members.recordSilence(42_s, broker, largest), 1_s);
}

} // namespace
