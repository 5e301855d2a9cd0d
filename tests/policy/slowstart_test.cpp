#include "fescue/policy.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace fescue;

SlowStartSettings settingsOf()
{
    SlowStartSettings settings;
    settings.coldSlots = 2;
    settings.fullSlots = 10;
    settings.tokensPerSlot = 100;
    settings.callsPerSlot = 4;
    return settings;
}

LoadReport reportOf(std::uint64_t incarnation, std::uint64_t tokens, bool cold)
{
    LoadReport report;
    report.incarnation = Incarnation {incarnation};
    report.tokensTotal = tokens;
    report.cold = cold;
    report.firstToken = 200_ms;
    return report;
}

TEST(SlowStart, GrowsWithCompletedWorkOnly)
{
    SlowStart slowStart(settingsOf());
    slowStart.observeReport(reportOf(1, 5000, true));
    EXPECT_EQ(slowStart.limit(), 2U);
    slowStart.observeReport(reportOf(1, 5000, true));
    EXPECT_EQ(slowStart.limit(), 2U);
    slowStart.observeReport(reportOf(1, 5350, true));
    EXPECT_EQ(slowStart.limit(), 5U);
    slowStart.observeReport(reportOf(1, 50000, false));
    EXPECT_TRUE(slowStart.isWarm());
}

TEST(SlowStart, PlainServiceGrowsWithFinishedCalls)
{
    SlowStart slowStart(settingsOf());
    slowStart.callsFinished(7);
    EXPECT_EQ(slowStart.limit(), 3U);
    slowStart.callsFinished(1);
    EXPECT_EQ(slowStart.limit(), 4U);
}

TEST(SlowStart, UnannouncedColdReportResets)
{
    SlowStart slowStart(settingsOf());
    slowStart.observeReport(reportOf(1, 0, false));
    slowStart.observeReport(reportOf(1, 5000, false));
    ASSERT_TRUE(slowStart.isWarm());
    EXPECT_TRUE(slowStart.observeReport(reportOf(1, 5100, true)));
    EXPECT_EQ(slowStart.limit(), 2U);
}

TEST(SlowStart, FarSlowerFirstTokensReset)
{
    SlowStart slowStart(settingsOf());
    LoadReport report = reportOf(1, 0, false);
    slowStart.observeReport(report);
    for (int i = 1; i < 100; ++i) {
        report.tokensTotal += 1000;
        slowStart.observeReport(report);
    }
    ASSERT_TRUE(slowStart.isWarm());
    report.firstToken = 3_s;
    EXPECT_TRUE(slowStart.observeReport(report));
    EXPECT_EQ(slowStart.limit(), 2U);
}

RC_GTEST_PROP(SlowStartProperty, FreshEndpointNeverExceedsColdLimitPlusCompletedWork, ())
{
    SlowStart slowStart(settingsOf());
    std::uint64_t incarnation = 1;
    std::uint64_t tokens = 0;
    std::uint64_t base = 0;
    slowStart.observeReport(reportOf(incarnation, tokens, true));
    const std::vector<int> events =
        *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 400));
    for (const int event : events) {
        if (event < 12) {
            ++incarnation;
            tokens = 0;
            base = 0;
            slowStart.observeIncarnation(Incarnation {incarnation});
        } else if (event < 20) {
            slowStart.reset();
            base = tokens;
        } else if (event < 30) {
            // A delayed report of an earlier incarnation arrives.
            slowStart.observeReport(reportOf(incarnation - 1, 1000000, false));
        } else {
            tokens += static_cast<std::uint64_t>(event);
            slowStart.observeReport(reportOf(incarnation, tokens, true));
        }
        const std::uint64_t most = 2 + (tokens - base) / 100;
        RC_ASSERT(slowStart.limit() <= std::min<std::uint64_t>(10, most));
    }
}

} // namespace
