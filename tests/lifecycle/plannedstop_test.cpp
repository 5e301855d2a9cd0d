#include "tests/lifecycle/edgesystem.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

namespace fescue::test {

namespace {

constexpr std::size_t crowdSize = 16;
// The users' GraceS, after which a process is killed.
constexpr Millis grace = 8_s;

// What the callers of a process saw from its SIGTERM on.
struct StopTally
{
    std::size_t served = 0;
    std::size_t refused = 0;
    // Answers that leave open whether the request has run.
    std::size_t unclear = 0;
    // Connections that ended without an answer, after the request had reached a back end.
    std::size_t lost = 0;
    // The same before the request reached one; the whole request had been sent.
    std::size_t closed = 0;
    // Refusals of requests that have run.
    std::size_t falseRefusals = 0;
    Millis lastServedAfter {0};
    std::optional<Millis> took;
    std::string text;
};

StopTally stopUnderCalls(EdgeSystem &system, const CallOptions &options)
{
    CallerCrowd crowd(system.entry(0).front(), crowdSize, options);
    sleepThread(1500_ms);
    const Millis signalledAt = SteadyClock {}.now();
    system.entry(0).signal(SIGTERM);
    StopTally tally;
    tally.took = system.waitUntilEnded(0);
    sleepThread(200_ms);
    for (const CallRecord &call : crowd.stop()) {
        if (call.sentAt < signalledAt)
            continue;
        const bool hasRun = system.runOf(call.id).has_value();
        const bool isAnswered = call.end == CallEnd::Answered;
        tally.served += isAnswered && call.status == 200;
        if (isAnswered && call.status == 200)
            tally.lastServedAfter = std::max(tally.lastServedAfter, call.sentAt - signalledAt);
        tally.refused += call.isRefusal();
        tally.falseRefusals += call.isRefusal() && hasRun;
        tally.unclear += isAnswered && call.status != 200 && !call.isRefusal();
        tally.lost += call.end == CallEnd::Closed && hasRun;
        tally.closed += call.end == CallEnd::Closed && !hasRun && call.writtenAt < call.endedAt;
    }
    tally.text = "served " + std::to_string(tally.served) + " (last sent after "
        + std::to_string(tally.lastServedAfter.count) + " ms), refused "
        + std::to_string(tally.refused) + ", unclear " + std::to_string(tally.unclear) + ", lost "
        + std::to_string(tally.lost) + ", closed unread " + std::to_string(tally.closed)
        + ", ended after " + std::to_string(tally.took.value_or(Millis {-1}).count) + " ms";
    std::cout << tally.text << '\n';
    return tally;
}

} // namespace

// Guards against calls that are taken late in the grace of a planned stop and cut at its end, so
// that their callers cannot know whether they have run.
TEST(PlannedStop, CallsTakenAfterTheSignalGetTheirAnswers)
{
    EdgeSystem system("stop-calls", 2);
    system.setWork(240_ms, 600_ms);
    system.startAll();
    const StopTally tally = stopUnderCalls(system, {});
    EXPECT_GT(tally.served, 0U);
    EXPECT_EQ(tally.unclear, 0U) << tally.text;
    EXPECT_EQ(tally.lost, 0U) << tally.text;
    EXPECT_EQ(tally.falseRefusals, 0U) << tally.text;
    ASSERT_TRUE(tally.took) << tally.text;
    EXPECT_LT(*tally.took, grace);
}

// Guards against the same for requests whose bodies are still arriving when the process ends.
TEST(PlannedStop, CallsWithSlowBodiesGetTheirAnswers)
{
    EdgeSystem system("stop-slow-bodies", 2);
    system.setWork(240_ms, 600_ms);
    system.startAll();
    CallOptions options;
    options.pauseInBody = 400_ms;
    const StopTally tally = stopUnderCalls(system, options);
    EXPECT_GT(tally.served, 0U);
    EXPECT_EQ(tally.unclear, 0U) << tally.text;
    EXPECT_EQ(tally.lost, 0U) << tally.text;
    EXPECT_EQ(tally.closed, 0U) << tally.text;
    EXPECT_EQ(tally.falseRefusals, 0U) << tally.text;
    ASSERT_TRUE(tally.took) << tally.text;
    EXPECT_LT(*tally.took, grace);
}

} // namespace fescue::test
