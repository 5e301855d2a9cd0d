#include "fescue/serving/stopplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace fescue;
using fescue::serving::StopPlan;

constexpr Millis signalledAt = 100_s;
constexpr Millis grace = 8_s;

TEST(StopPlan, TakesEverythingBeforeTheSignal)
{
    const StopPlan plan;
    EXPECT_FALSE(plan.hasBegun());
    EXPECT_TRUE(plan.mayTake(Millis {1'000'000'000}));
    EXPECT_FALSE(plan.mayClose(signalledAt, 0));
}

// Guards against calls that are taken late in the grace and cut at its end.
TEST(StopPlan, TakesOnlyCallsWhoseDeadlineIsBeforeTheEnd)
{
    StopPlan plan;
    plan.begin(signalledAt, grace);
    EXPECT_TRUE(plan.mayTake(signalledAt + 5_s));
    EXPECT_FALSE(plan.mayTake(plan.endAt()));
    EXPECT_FALSE(plan.mayTake(signalledAt + 30_s));
    EXPECT_LT(plan.endAt(), signalledAt + grace);
}

TEST(StopPlan, TakesNothingOnceClosed)
{
    StopPlan plan;
    plan.begin(signalledAt, grace);
    plan.close();
    EXPECT_FALSE(plan.mayTake(signalledAt + 1_s));
}

TEST(StopPlan, ServesCallersWithCachedAddressesBeforeItCloses)
{
    StopPlan plan;
    plan.begin(signalledAt, grace);
    EXPECT_FALSE(plan.mayClose(signalledAt + 2_s, 0));
    EXPECT_TRUE(plan.mayClose(signalledAt + 4_s, 0));
    EXPECT_FALSE(plan.mayClose(signalledAt + 4_s, 1));
    EXPECT_TRUE(plan.mayClose(plan.endAt(), 1));
}

// Guards against a second signal that begins the grace anew.
TEST(StopPlan, KeepsItsTimesAtASecondSignal)
{
    StopPlan plan;
    plan.begin(signalledAt, grace);
    const Millis end = plan.endAt();
    plan.begin(signalledAt + 3_s, grace + 60_s);
    EXPECT_EQ(plan.endAt(), end);
}

// Guards against a process that notices the signal late and is killed before its own end.
TEST(StopPlan, CountsFromTheSignalAndNotFromWhenItWasNoticed)
{
    StopPlan plan;
    plan.begin(signalledAt, grace);
    const Millis noticedAt = signalledAt + 5_s;
    EXPECT_FALSE(plan.mayTake(noticedAt + 2500_ms));
    EXPECT_TRUE(plan.mayClose(noticedAt, 0));
}

// Whatever arrives and whenever the process looks, a call that was taken and is answered by its
// deadline is answered before the process closes, and the process ends before it is killed.
RC_GTEST_PROP(StopPlan, AnswersWhatItTakesBeforeItEnds, ())
{
    constexpr std::int64_t longestSpan = 20'000;
    const Millis span {*rc::gen::inRange<std::int64_t>(500, longestSpan)};
    StopPlan plan;
    plan.begin(signalledAt, span);
    RC_ASSERT(plan.endAt() < signalledAt + span);
    const std::vector<std::int64_t> steps =
        *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 400));
    std::vector<Millis> deadlines;
    Millis now = signalledAt;
    for (const std::int64_t step : steps) {
        now = now + Millis {step};
        std::erase_if(deadlines, [now](Millis deadline) { return deadline <= now; });
        const Millis deadline = now + Millis {*rc::gen::inRange<std::int64_t>(1, longestSpan)};
        if (plan.mayTake(deadline))
            deadlines.push_back(deadline);
        if (plan.mayClose(now, deadlines.size())) {
            RC_ASSERT(deadlines.empty());
            plan.close();
            RC_ASSERT(!plan.mayTake(now + 1_ms));
            return;
        }
        RC_ASSERT(now < plan.endAt());
    }
}

} // namespace
