#include "fescue/core/claim.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

class ClaimTest : public testing::Test
{
protected:
    void writeAndDispatch()
    {
        const claim::Actions first = machine.start(0_ms);
        ASSERT_TRUE(std::holds_alternative<claim::CreateClaim>(first.front()));
        own = std::get<claim::CreateClaim>(first.front()).record;
        const claim::Actions next = machine.onEvent(1_ms, claim::Written {{7}});
        ASSERT_TRUE(std::holds_alternative<claim::Dispatch>(next.front()));
    }

    // Makes the machine read a record of another call in this state.
    claim::Actions readOther(ClaimState state, bool holderLives = true, bool bodyDropped = false)
    {
        static_cast<void>(machine.start(0_ms));
        static_cast<void>(machine.onEvent(1_ms, claim::WriteConflict {}));
        ClaimRecord other;
        other.nonce = "other";
        other.requestDigest = "digest";
        other.state = state;
        other.answer = {200, "text/plain", "kept"};
        other.bodyDropped = bodyDropped;
        return machine.onEvent(2_ms, claim::Read {other, {9}, holderLives});
    }

    static void expectRefusal(const claim::Actions &actions, ResultCode code, RunState runState)
    {
        ASSERT_FALSE(actions.empty());
        const claim::RefuseCaller *refusal = std::get_if<claim::RefuseCaller>(&actions.back());
        ASSERT_NE(refusal, nullptr);
        EXPECT_EQ(refusal->code, code);
        EXPECT_EQ(refusal->runState, runState);
    }

    ClaimMachine machine {"own", {MemberName {"entry"}, {1}}, "digest", Deadline::after(0_ms, 1_s)};
    ClaimRecord own;
};

TEST_F(ClaimTest, KeptAnswerIsReplayed)
{
    const claim::Actions actions = readOther(ClaimState::Done);
    const claim::AnswerCaller *answer = std::get_if<claim::AnswerCaller>(&actions.front());
    ASSERT_NE(answer, nullptr);
    EXPECT_TRUE(answer->replayed);
    EXPECT_EQ(answer->answer.body, "kept");
    EXPECT_TRUE(machine.ended());
}

TEST_F(ClaimTest, AnswerTooLongToKeepIsNotReplayedInPart)
{
    expectRefusal(readOther(ClaimState::Done, true, true), ResultCode::ClaimOutcomeUnknown,
                  RunState::Ran);
}

TEST_F(ClaimTest, ClaimOfALivingHolderIsInProgress)
{
    expectRefusal(readOther(ClaimState::Claimed), ResultCode::ClaimInProgress, RunState::Unknown);
}

TEST_F(ClaimTest, ClaimOfADeadHolderIsUnknownAndNotTakenOver)
{
    expectRefusal(readOther(ClaimState::Claimed, false), ResultCode::ClaimOutcomeUnknown,
                  RunState::Unknown);
}

TEST_F(ClaimTest, ProvenNotRunIsTakenOverAtItsRevision)
{
    const claim::Actions actions = readOther(ClaimState::NotRun);
    const claim::ReplaceClaim *replace = std::get_if<claim::ReplaceClaim>(&actions.front());
    ASSERT_NE(replace, nullptr);
    EXPECT_EQ(replace->revision, StoreRevision {9});
    EXPECT_EQ(replace->record.nonce, "own");
}

TEST_F(ClaimTest, StoreDownIsNotRunWithATimeToComeBack)
{
    static_cast<void>(machine.start(0_ms));
    const claim::Actions actions = machine.onEvent(1_ms, claim::StoreUnreachable {});
    expectRefusal(actions, ResultCode::StoreUnavailable, RunState::NotRun);
    EXPECT_GT(std::get<claim::RefuseCaller>(actions.back()).retryAfter, 0_ms);
    EXPECT_TRUE(machine.ended());
}

TEST_F(ClaimTest, PauseBeforeTheSendIsNoticed)
{
    writeAndDispatch();
    EXPECT_TRUE(machine.mayDispatch(999_ms));
    EXPECT_FALSE(machine.mayDispatch(1_s));
    const claim::Actions actions = machine.onEvent(1_s, claim::NothingSent {});
    EXPECT_EQ(std::get<claim::KeepOutcome>(actions.front()).record.state, ClaimState::NotRun);
    expectRefusal(actions, ResultCode::ClaimExpired, RunState::NotRun);
}

TEST_F(ClaimTest, LateAnswerIsKeptAfterTheCallerWasTold)
{
    writeAndDispatch();
    expectRefusal(machine.onTick(1_s), ResultCode::BackEndTimeout, RunState::Unknown);
    const claim::Actions actions = machine.onEvent(2_s, claim::Answered {{200, "t", "late"}});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<claim::KeepOutcome>(actions.front()).record.state, ClaimState::Done);
    EXPECT_FALSE(machine.ended());
    EXPECT_TRUE(machine.onEvent(2_s, claim::OutcomeKept {}).empty());
    EXPECT_TRUE(machine.ended());
}

TEST_F(ClaimTest, OutcomeIsWrittenAgainWithGrowingDelays)
{
    writeAndDispatch();
    static_cast<void>(machine.onEvent(2_ms, claim::AnswerLost {}));
    Millis previous {0};
    for (int n = 0; n < 4; ++n) {
        const claim::Actions actions = machine.onEvent(3_ms, claim::OutcomeWriteFailed {});
        const claim::KeepOutcome &keep = std::get<claim::KeepOutcome>(actions.front());
        EXPECT_GT(keep.delay, previous);
        EXPECT_EQ(keep.record.state, ClaimState::Unknown);
        EXPECT_EQ(keep.revision, StoreRevision {7});
        previous = keep.delay;
    }
}

TEST_F(ClaimTest, WriteThatLandsAfterTheRefusalIsCleared)
{
    static_cast<void>(machine.start(0_ms));
    static_cast<void>(machine.onEvent(1_ms, claim::WriteAnswerLost {}));
    expectRefusal(machine.onEvent(2_ms, claim::StoreUnreachable {}), ResultCode::StoreUnavailable,
                  RunState::NotRun);
    EXPECT_FALSE(machine.ended());
    const claim::Actions search = machine.onTick(2_s);
    ASSERT_TRUE(std::holds_alternative<claim::ReadClaim>(search.front()));
    ClaimRecord landed;
    landed.nonce = "own";
    const claim::Actions actions = machine.onEvent(2_s, claim::Read {landed, {8}, true});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<claim::KeepOutcome>(actions.front()).record.state, ClaimState::NotRun);
}

} // namespace
