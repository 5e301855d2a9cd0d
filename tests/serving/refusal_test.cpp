#include "fescue/serving/refusal.h"

#include <gtest/gtest.h>
#include <set>

namespace {

using namespace fescue;
using namespace fescue::serving;

TEST(Refusal, DelayStaysWithinTheTimeThatCallersAccept)
{
    for (int n = 0; n < 100; ++n) {
        for (const RefusalCause cause : {RefusalCause::Transient, RefusalCause::Full})
            EXPECT_LE(retryDelay(cause, 1'200_ms, n / 100.0), 400_ms);
    }
}

// Guards against a retry burst: requests that are refused at the same moment would be refused again
// if all were retried together.
TEST(Refusal, RetriesOfSimultaneousRefusalsAreSpread)
{
    std::set<std::int64_t> delays;
    for (int n = 0; n < 50; ++n)
        delays.insert(retryDelay(RefusalCause::Transient, 6_s, n / 50.0).count);
    EXPECT_EQ(delays.size(), 50U);
    EXPECT_GE(*delays.rbegin() - *delays.begin(), 1'000);
}

// Guards against retries that come too early: requests arrive at four times their usual rate for
// some seconds, and callers that retry within a second find the same engines full and have no
// attempt left.
TEST(Refusal, RetriesAfterFullEnginesAreDelayedLonger)
{
    Millis sum {0};
    for (int n = 0; n < 100; ++n) {
        const Millis delay = retryDelay(RefusalCause::Full, 38_s, n / 100.0);
        EXPECT_GE(delay, 1'500_ms);
        EXPECT_LE(delay, 6_s);
        sum += delay;
    }
    EXPECT_GT(sum / 100, 3_s);
}

} // namespace
