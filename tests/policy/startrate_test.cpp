#include "fescue/policy.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

TEST(StartRate, UnknownWithoutBacklog)
{
    StartRate rate;
    rate.started(10_s);
    EXPECT_FALSE(rate.waitFor(5, 20_s).has_value());
}

TEST(StartRate, PredictsFromStartsWhileBacklogged)
{
    StartRate rate;
    rate.setBacklogged(true, 0_ms);
    for (int i = 1; i <= 100; ++i)
        rate.started(200_ms * i);
    const Millis wait = rate.waitFor(9, 20_s).value();
    EXPECT_NEAR(static_cast<double>(wait.count), 2000, 200);
}

TEST(StartRate, IdleTimeDoesNotCount)
{
    StartRate rate;
    rate.setBacklogged(true, 0_ms);
    for (int i = 1; i <= 100; ++i)
        rate.started(200_ms * i);
    rate.setBacklogged(false, 20_s);
    const Millis before = rate.waitFor(9, 20_s).value();
    EXPECT_EQ(rate.waitFor(9, 500_s).value(), before);
}

} // namespace
