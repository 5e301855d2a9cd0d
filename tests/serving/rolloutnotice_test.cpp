#include "fescue/serving/rolloutnotice.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

TEST(RolloutNotice, ReportAndPermitSurviveTheirEncoding)
{
    RolloutReport report {MemberName("entry-1"),
                          {4},
                          ServiceName("llm"),
                          {7, 1},
                          3,
                          12,
                          true,
                          {},
                          "v2",
                          30_s,
                          {90, 4}};
    report.evidence["draft"].oldVersion.successes[5] = 90;
    report.evidence["draft"].newVersion.failures = 2;
    report.evidence["draft"].newVersion.abandoned[7] = 3;
    report.evidence["draft"].oldVersion.open[9] = 5;
    const Result<RolloutNotice> decoded = decodeRolloutNotice(encodeRolloutNotice(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<RolloutReport>(*decoded), report);

    const RolloutPermit permit {
        MemberName("entry-1"), ServiceName("llm"), {7, 1}, 1200_ms, true, false};
    const Result<RolloutNotice> other = decodeRolloutNotice(encodeRolloutNotice(permit));
    ASSERT_TRUE(other);
    EXPECT_EQ(std::get<RolloutPermit>(*other), permit);
}

TEST(RolloutNotice, CutAndOddBytesAreAnError)
{
    const std::string bytes = encodeRolloutNotice(RolloutPermit {});
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(decodeRolloutNotice(std::string_view(bytes).substr(0, n)));
    EXPECT_FALSE(decodeRolloutNotice("text"));
}

TEST(RolloutNotice, ReportOfManyRoutesFitsIntoADatagram)
{
    RolloutReport report;
    for (std::size_t i = 0; i < 100; ++i) {
        RouteEvidence &route = report.evidence[std::string(20, 'x') + std::to_string(i)];
        route.oldVersion.successes.fill(1'000'000);
        route.newVersion.successes.fill(1'000'000);
        route.oldVersion.abandoned.fill(200);
        route.newVersion.abandoned.fill(200);
        route.oldVersion.open.fill(200);
        route.newVersion.open.fill(200);
    }
    EXPECT_LE(encodeRolloutNotice(report).size(), 8192U);
}

} // namespace
