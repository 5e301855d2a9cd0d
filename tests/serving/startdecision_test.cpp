#include "fescue/serving/startdecision.h"

#include <cerrno>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

Error errorOf(ResultCode code, int systemError = 0)
{
    Error error;
    error.code = code;
    error.systemError = systemError;
    return error;
}

// Guards against a process that ends for something that comes by itself.
TEST(StartDecision, WaitsForWhatMayCome)
{
    EXPECT_EQ(stepAfter(errorOf(ResultCode::AddressInUse, EADDRINUSE)), StartStep::Wait);
    for (const int number : {EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR})
        EXPECT_EQ(stepAfter(errorOf(ResultCode::AddressUnavailable, number)), StartStep::Wait);
    EXPECT_EQ(stepAfter(errorOf(ResultCode::FileUnreadable)), StartStep::Wait);
    EXPECT_EQ(stepAfter(errorOf(ResultCode::SettingsIncomplete)), StartStep::Wait);
}

// Guards against a process that waits for ever for what only a person can correct.
TEST(StartDecision, EndsForWhatOnlyAPersonCorrects)
{
    EXPECT_EQ(stepAfter(errorOf(ResultCode::SettingsInvalid)), StartStep::End);
    EXPECT_EQ(stepAfter(errorOf(ResultCode::AddressUnavailable, EACCES)), StartStep::End);
    EXPECT_EQ(stepAfter(errorOf(ResultCode::AddressUnavailable, EAFNOSUPPORT)), StartStep::End);
    EXPECT_EQ(stepAfter(errorOf(ResultCode::Internal)), StartStep::End);
}

TEST(StartDecision, NamesWhatIsMissing)
{
    EXPECT_EQ(waitReason(errorOf(ResultCode::AddressInUse)), "address");
    EXPECT_EQ(waitReason(errorOf(ResultCode::AddressUnavailable)), "address");
    EXPECT_EQ(waitReason(errorOf(ResultCode::FileUnreadable)), "settings");
    EXPECT_EQ(waitReason(errorOf(ResultCode::SettingsIncomplete)), "settings");
}

TEST(RetryPace, PausesGrowUpToTheLongest)
{
    RetryPace pace;
    Millis last {0};
    for (int n = 0; n < 100; ++n) {
        static_cast<void>(pace.recordFailure(Millis {n}, "held"));
        EXPECT_GE(pace.pause(), last);
        EXPECT_GE(pace.pause(), RetryPace::firstPause);
        EXPECT_LE(pace.pause(), RetryPace::longestPause);
        last = pace.pause();
    }
    EXPECT_EQ(last, RetryPace::longestPause);
    pace.reset();
    EXPECT_EQ(pace.failures(), 0U);
    EXPECT_EQ(pace.pause(), RetryPace::firstPause);
}

// Guards against a log that one missing address fills.
TEST(RetryPace, LogsTheFirstTryChangesAndGrowingIntervals)
{
    RetryPace pace;
    EXPECT_TRUE(pace.recordFailure(Millis {0}, "held"));
    EXPECT_FALSE(pace.recordFailure(1_s, "held"));
    EXPECT_TRUE(pace.recordFailure(1100_ms, "away"));
    EXPECT_FALSE(pace.recordFailure(1200_ms, "away"));
    EXPECT_EQ(pace.failingFor(1200_ms), 1200_ms);
    int logged = 0;
    for (Millis now = 2_s; now < 3600_s; now += 1_s)
        logged += pace.recordFailure(now, "away") ? 1 : 0;
    // 2, 4, 8, 16, 32 s, then once a minute.
    EXPECT_GE(logged, 55);
    EXPECT_LE(logged, 65);
}

} // namespace
