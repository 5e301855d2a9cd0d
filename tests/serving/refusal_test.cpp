#include "fescue/serving/refusal.h"

#include <gtest/gtest.h>
#include <set>

namespace {

using namespace fescue;
using namespace fescue::serving;

TEST(Refusal, CallersAreAskedBackWithinTheTimeThatTheyHonour)
{
    for (int n = 0; n < 100; ++n)
        EXPECT_LE(returnDelay(1'200_ms, n / 100.0), 400_ms);
}

// Pattern: a burst is refused at one moment; if all came back together it would be refused again.
TEST(Refusal, CallersThatAreRefusedTogetherComeBackApart)
{
    std::set<std::int64_t> delays;
    for (int n = 0; n < 50; ++n)
        delays.insert(returnDelay(6_s, n / 50.0).count);
    EXPECT_EQ(delays.size(), 50U);
    EXPECT_GE(*delays.rbegin() - *delays.begin(), 1'000);
}

} // namespace
