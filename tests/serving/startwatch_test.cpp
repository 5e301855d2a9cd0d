#include "fescue/serving/startwatch.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

constexpr Millis sentAt = 10_s;
constexpr Millis expected = 300_ms;
constexpr Millis deadline = 30_s;
constexpr Millis step = 20_ms;

EngineReport report(std::uint64_t memory, std::uint32_t waiting = 0, std::uint32_t running = 0)
{
    EngineReport made;
    made.memoryUsedTokens = memory;
    made.waiting = waiting;
    made.running = running;
    return made;
}

// A request at an engine that answers questions about its state with `answer(now)`.
class StartWatches : public testing::Test
{
protected:
    // Returns when the request is withdrawn, or nullopt if it is not until `until`.
    template <typename Answer>
    std::optional<Millis> withdrawnAt(Answer answer, Millis until,
                                      std::optional<Millis> otherStart = 300_ms)
    {
        for (Millis now = sentAt; now < until; now += step) {
            switch (watch.next(now, otherStart, deadline)) {
            case StartStep::Withdraw:
                return now;
            case StartStep::AskEngine:
                ++asked;
                watch.recordReport(now, answer(now));
                break;
            case StartStep::Wait:
                break;
            }
        }
        return std::nullopt;
    }

    StartWatch watch {sentAt, expected};
    int asked = 0;
};

// The engine's process hangs, and its kernel holds the connection.
TEST_F(StartWatches, EngineThatIsSilentButConnectedIsLeft)
{
    const std::optional<Millis> at =
        withdrawnAt([](Millis) { return std::optional<EngineReport>(); }, deadline);
    ASSERT_TRUE(at);
    EXPECT_EQ(watch.reason(), StuckReason::Silent);
    EXPECT_GE(*at - sentAt, expected * 2);
    EXPECT_LE(*at - sentAt, expected * 2 + 100_ms);
    EXPECT_EQ(asked, 1);
}

// The engine answers for itself, and neither starts anything nor goes on.
TEST_F(StartWatches, EngineWhoseReportsShowNoProgressIsLeft)
{
    const std::optional<Millis> at = withdrawnAt(
        [](Millis) { return std::optional<EngineReport>(report(20'000, 4, 24)); }, deadline);
    ASSERT_TRUE(at);
    EXPECT_EQ(watch.reason(), StuckReason::Stalled);
    EXPECT_LE(*at - sentAt, expected * 4);
    EXPECT_EQ(asked, 2);
}

// The engine has accepted the request and lost it: it is idle.
TEST_F(StartWatches, IdleEngineThatDoesNotStartTheRequestIsLeft)
{
    EXPECT_TRUE(
        withdrawnAt([](Millis) { return std::optional<EngineReport>(report(0)); }, deadline));
    EXPECT_EQ(watch.reason(), StuckReason::Stalled);
}

// The engine generates for others, and never starts this request.
TEST_F(StartWatches, EngineThatWorksAndNeverStartsTheRequestIsLeft)
{
    const std::optional<Millis> at = withdrawnAt(
        [](Millis now) {
            return std::optional<EngineReport>(
                report(static_cast<std::uint64_t>(now.count), 3, 24));
        },
        deadline);
    ASSERT_TRUE(at);
    EXPECT_EQ(watch.reason(), StuckReason::PassedOver);
    EXPECT_GE(*at - sentAt, 3_s);
    EXPECT_LE(*at - sentAt, 3_s + 100_ms);
    EXPECT_LE(asked, 10);
}

// A wave of prompts: the engine works through them, and starts the request late.
TEST_F(StartWatches, LateStartOfABusyEngineIsWaitedFor)
{
    EXPECT_FALSE(withdrawnAt(
        [](Millis now) {
            return std::optional<EngineReport>(
                report(static_cast<std::uint64_t>(now.count), 3, 24));
        },
        sentAt + 2_s));
    watch.recordStart();
    EXPECT_EQ(watch.next(sentAt + 10_s, 300_ms, deadline), StartStep::Wait);
}

// The engine's figures change only between two prompts.
TEST_F(StartWatches, EngineThatReadsOnePromptForLongIsNotStalled)
{
    EXPECT_FALSE(withdrawnAt(
        [](Millis now) {
            const Millis read {now.count / expected.count};
            return std::optional<EngineReport>(
                report(static_cast<std::uint64_t>(read.count), 3, 24));
        },
        sentAt + 2_s));
}

TEST_F(StartWatches, NobodyIsAskedBeforeAStartIsOverdue)
{
    EXPECT_FALSE(
        withdrawnAt([](Millis) { return std::optional<EngineReport>(); }, sentAt + expected * 2));
    EXPECT_EQ(asked, 0);
}

// Every other engine is full, or would start the request too late as well.
TEST_F(StartWatches, RequestStaysWhereNoOtherEngineWouldStartItInTime)
{
    const auto silent = [](Millis) { return std::optional<EngineReport>(); };
    EXPECT_FALSE(withdrawnAt(silent, deadline, std::nullopt));
    EXPECT_FALSE(withdrawnAt(silent, deadline, deadline));
    EXPECT_EQ(asked, 0);
}

TEST_F(StartWatches, ReportThatArrivesAfterTheStartChangesNothing)
{
    EXPECT_EQ(watch.next(sentAt + 1_s, 300_ms, deadline), StartStep::AskEngine);
    EXPECT_EQ(watch.next(sentAt + 2_s, 300_ms, deadline), StartStep::Wait);
    watch.recordStart();
    watch.recordReport(sentAt + 2_s, std::nullopt);
    EXPECT_EQ(watch.next(sentAt + 3_s, 300_ms, deadline), StartStep::Wait);
}

} // namespace
