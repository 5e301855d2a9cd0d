#include "fescue/core/generation.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

const GenerationId generationOne {EndpointName {"engine-1"}, {1}, "5"};

template <typename T>
const T *onlyAction(const generation::Actions &actions)
{
    return actions.size() == 1 ? std::get_if<T>(&actions.front()) : nullptr;
}

class GenerationTest : public testing::Test
{
protected:
    generation::Actions report(const engine::Event &event)
    {
        return machine.onEngine(now, exchange, event, budget, 0.5);
    }

    void startStream(std::uint64_t tokens)
    {
        exchange = *machine.dispatch(now, EndpointName {"engine-1"});
        EXPECT_TRUE(report(engine::HeadReceived {generationOne}).empty());
        for (std::uint64_t n = 0; n < tokens; ++n)
            EXPECT_TRUE(onlyAction<generation::ForwardToken>(machine.onToken(now, exchange, n)));
    }

    Millis now = 0_ms;
    RetryBudget budget;
    GenerationMachine machine {Deadline::after(0_ms, 10_s)};
    ExchangeNumber exchange;
};

TEST_F(GenerationTest, RefusalOfTheOnlyEngineIsNotRun)
{
    machine = GenerationMachine {Deadline::after(0_ms, 10_s), {5, 0, {}, 1_s}};
    exchange = *machine.dispatch(now, EndpointName {"engine-1"});
    EXPECT_EQ(machine.runState(), RunState::Unknown) << "in flight";
    const generation::Actions actions = report(engine::Refused {3_s});
    const generation::FailFinal *failure = onlyAction<generation::FailFinal>(actions);
    ASSERT_NE(failure, nullptr);
    EXPECT_EQ(failure->code, ResultCode::BackEndRefused);
    EXPECT_EQ(failure->runState, RunState::NotRun);
    EXPECT_EQ(failure->retryAfter, 3_s);
}

TEST_F(GenerationTest, DoubtAboutAnEarlierEngineStaysInTheFinalAnswer)
{
    exchange = *machine.dispatch(now, EndpointName {"engine-1"});
    EXPECT_TRUE(onlyAction<generation::StartAfresh>(report(engine::Lost {EngineLoss::BeforeHead})));
    const generation::Actions actions = machine.onNoEndpoint(ResultCode::NoCapacity, 1_s);
    ASSERT_TRUE(onlyAction<generation::FailFinal>(actions));
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->runState, RunState::Unknown);
}

TEST_F(GenerationTest, FreshStartsAreChargedToTheRetryBudget)
{
    budget = RetryBudget({0.1, 20.0, 0.0, 10_s});
    exchange = *machine.dispatch(now, EndpointName {"engine-1"});
    const generation::Actions actions = report(engine::Lost {EngineLoss::ConnectFailed});
    ASSERT_TRUE(onlyAction<generation::FailFinal>(actions));
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->code, ResultCode::RetryBudgetSpent);
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->runState, RunState::NotRun);
}

TEST_F(GenerationTest, ResumesAreBoundedAndNotCharged)
{
    budget = RetryBudget({0.1, 20.0, 0.0, 10_s});
    startStream(2);
    generation::Actions actions = report(engine::Lost {});
    std::size_t resumes = 0;
    while (const generation::Resume *resume = onlyAction<generation::Resume>(actions)) {
        EXPECT_EQ(resume->from, 2U);
        exchange = resume->exchange;
        ++resumes;
        actions = report(engine::Lost {EngineLoss::ConnectFailed});
    }
    EXPECT_EQ(resumes, 5U);
    ASSERT_TRUE(onlyAction<generation::FailFinal>(actions));
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->code, ResultCode::GenerationLost);
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->deliveredTokens, 2U);
    EXPECT_EQ(onlyAction<generation::FailFinal>(actions)->runState, RunState::Ran);
}

TEST_F(GenerationTest, ProgressAllowsFurtherResumes)
{
    startStream(1);
    for (std::uint64_t n = 1; n < 50; ++n) {
        const generation::Actions lost = report(engine::Lost {});
        const generation::Resume *resume = onlyAction<generation::Resume>(lost);
        ASSERT_NE(resume, nullptr) << "after " << n << " tokens";
        exchange = resume->exchange;
        EXPECT_TRUE(report(engine::HeadReceived {generationOne}).empty());
        EXPECT_TRUE(onlyAction<generation::ForwardToken>(machine.onToken(now, exchange, n)));
    }
}

TEST_F(GenerationTest, LateTokensOfAGivenUpGenerationAreDropped)
{
    startStream(0);
    const ExchangeNumber givenUp = exchange;
    const generation::Actions lost = report(engine::Lost {EngineLoss::Silent});
    ASSERT_TRUE(onlyAction<generation::Resume>(lost));
    exchange = onlyAction<generation::Resume>(lost)->exchange;
    EXPECT_TRUE(onlyAction<generation::StartAfresh>(report(engine::StreamNotFound {})));
    exchange = *machine.dispatch(now, EndpointName {"engine-2"});
    EXPECT_TRUE(report(engine::HeadReceived {{EndpointName {"engine-2"}, {1}, "9"}}).empty());
    EXPECT_TRUE(onlyAction<generation::DropToken>(machine.onToken(now, givenUp, 0)));
    EXPECT_TRUE(onlyAction<generation::ForwardToken>(machine.onToken(now, exchange, 0)));
}

TEST_F(GenerationTest, EndMarkWithoutAHeadEndsNothing)
{
    startStream(2);
    const generation::Actions lost = report(engine::Lost {});
    ASSERT_TRUE(onlyAction<generation::Resume>(lost));
    exchange = onlyAction<generation::Resume>(lost)->exchange;
    EXPECT_TRUE(onlyAction<generation::Resume>(report(engine::Done {})));
}

TEST_F(GenerationTest, NoRetryIsPlannedBeyondTheDeadline)
{
    now = 9990_ms;
    exchange = *machine.dispatch(now, EndpointName {"engine-1"});
    EXPECT_TRUE(onlyAction<generation::FailFinal>(report(engine::Lost {EngineLoss::BeforeHead})));
    EXPECT_FALSE(machine.dispatch(now, EndpointName {"engine-1"}).has_value());
}

TEST_F(GenerationTest, DeadlineCancelsAtTheEngine)
{
    startStream(1);
    EXPECT_TRUE(machine.onTick(9999_ms).empty());
    const generation::Actions actions = machine.onTick(10_s);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<generation::CancelAtEngine>(actions[0]).generation, generationOne);
    EXPECT_EQ(std::get<generation::FailFinal>(actions[1]).code, ResultCode::BackEndTimeout);
    EXPECT_TRUE(machine.onTick(11_s).empty());
}

TEST_F(GenerationTest, DisconnectedCallerMayResumeElsewhere)
{
    startStream(1);
    EXPECT_TRUE(onlyAction<generation::Detach>(machine.onCallerEnd(CallerEnd::Disconnected)));
}

TEST_F(GenerationTest, CallerWithoutATokenCannotResume)
{
    startStream(0);
    EXPECT_TRUE(
        onlyAction<generation::CancelAtEngine>(machine.onCallerEnd(CallerEnd::Disconnected)));
}

TEST_F(GenerationTest, CancelledGenerationIsCancelledAtTheEngine)
{
    startStream(3);
    EXPECT_TRUE(onlyAction<generation::CancelAtEngine>(machine.onCallerEnd(CallerEnd::Cancelled)));
    EXPECT_TRUE(onlyAction<generation::DropToken>(machine.onToken(now, exchange, 3)));
}

TEST_F(GenerationTest, AnotherLifeOfTheEngineIsNotCancelled)
{
    startStream(1);
    const generation::Actions lost = report(engine::Lost {});
    ASSERT_TRUE(onlyAction<generation::Resume>(lost));
    exchange = onlyAction<generation::Resume>(lost)->exchange;
    EXPECT_TRUE(onlyAction<generation::Detach>(machine.onCallerEnd(CallerEnd::Cancelled)));
}

} // namespace
