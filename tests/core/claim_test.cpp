#include "fakes.h"
#include "fescue/core/claim.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

template <typename T>
bool holds(const claim::Actions &actions)
{
    return !actions.empty() && std::holds_alternative<T>(actions.front());
}

// Returns the first or last action, which must be of type T.
template <typename T>
T first(const claim::Actions &actions)
{
    const T *found = actions.empty() ? nullptr : std::get_if<T>(&actions.front());
    EXPECT_NE(found, nullptr);
    return found != nullptr ? *found : T {};
}
template <typename T>
T last(const claim::Actions &actions)
{
    const T *found = actions.empty() ? nullptr : std::get_if<T>(&actions.back());
    EXPECT_NE(found, nullptr);
    return found != nullptr ? *found : T {};
}

class ClaimTest : public testing::Test
{
protected:
    void writeAndDispatch()
    {
        const claim::Actions begun = machine.start(0_ms);
        ASSERT_TRUE(holds<claim::CreateClaim>(begun));
        own = first<claim::CreateClaim>(begun).record;
        const claim::Actions next = machine.onEvent(1_ms, claim::Written {{7}});
        ASSERT_TRUE(holds<claim::Dispatch>(next));
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
    EXPECT_TRUE(first<claim::AnswerCaller>(actions).replayed);
    EXPECT_EQ(first<claim::AnswerCaller>(actions).answer.body, "kept");
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
    EXPECT_EQ(first<claim::ReplaceClaim>(actions).revision, StoreRevision {9});
    EXPECT_EQ(first<claim::ReplaceClaim>(actions).record.nonce, "own");
}

TEST_F(ClaimTest, StoreDownIsNotRunWithATimeToComeBack)
{
    static_cast<void>(machine.start(0_ms));
    const claim::Actions actions = machine.onEvent(1_ms, claim::StoreUnreachable {});
    expectRefusal(actions, ResultCode::StoreUnavailable, RunState::NotRun);
    EXPECT_GT(last<claim::RefuseCaller>(actions).retryAfter, 0_ms);
    EXPECT_TRUE(machine.ended());
}

TEST_F(ClaimTest, PauseBeforeTheSendIsNoticed)
{
    writeAndDispatch();
    EXPECT_TRUE(machine.mayDispatch(999_ms));
    EXPECT_FALSE(machine.mayDispatch(1_s));
    const claim::Actions actions = machine.onEvent(1_s, claim::NothingSent {});
    EXPECT_EQ(first<claim::KeepOutcome>(actions).record.state, ClaimState::NotRun);
    expectRefusal(actions, ResultCode::ClaimExpired, RunState::NotRun);
}

TEST_F(ClaimTest, LateAnswerIsKeptAfterTheCallerWasTold)
{
    writeAndDispatch();
    expectRefusal(machine.onTick(1_s), ResultCode::BackEndTimeout, RunState::Unknown);
    const claim::Actions actions = machine.onEvent(2_s, claim::Answered {{200, "t", "late"}});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(first<claim::KeepOutcome>(actions).record.state, ClaimState::Done);
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
        const claim::KeepOutcome keep = first<claim::KeepOutcome>(actions);
        EXPECT_GT(keep.delay, previous);
        EXPECT_EQ(keep.record.state, ClaimState::Unknown);
        EXPECT_EQ(keep.revision, StoreRevision {7});
        previous = keep.delay;
    }
}

// The answer to the write of NotRun is lost, another call takes over and dispatches, and only then
// the write is repeated.
TEST_F(ClaimTest, RepeatedOutcomeDoesNotOverwriteALaterClaim)
{
    fakes::FakeStore store;
    static_cast<void>(machine.start(0_ms));
    const StoreRevision created = *store.write({"key", "own", {}});
    static_cast<void>(machine.onEvent(1_ms, claim::Written {created}));
    const claim::Actions ended = machine.onEvent(1_s, claim::NothingSent {});
    const StoreRevision kept =
        *store.write({"key", "not run", first<claim::KeepOutcome>(ended).revision});
    ASSERT_TRUE(store.write({"key", "other", kept}).has_value());
    const claim::Actions repeated = machine.onEvent(1_s, claim::OutcomeWriteFailed {});
    const claim::KeepOutcome keep = first<claim::KeepOutcome>(repeated);
    EXPECT_FALSE(store.write({"key", "not run", keep.revision}).has_value());
    EXPECT_EQ(store.read("key")->value, "other");
}

TEST_F(ClaimTest, WriteThatLandsAfterTheRefusalIsCleared)
{
    static_cast<void>(machine.start(0_ms));
    static_cast<void>(machine.onEvent(1_ms, claim::WriteAnswerLost {}));
    expectRefusal(machine.onEvent(2_ms, claim::StoreUnreachable {}), ResultCode::StoreUnavailable,
                  RunState::NotRun);
    EXPECT_FALSE(machine.ended());
    const claim::Actions search = machine.onTick(2_s);
    ASSERT_TRUE(holds<claim::ReadClaim>(search));
    ClaimRecord landed;
    landed.nonce = "own";
    const claim::Actions actions = machine.onEvent(2_s, claim::Read {landed, {8}, true});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(first<claim::KeepOutcome>(actions).record.state, ClaimState::NotRun);
}

} // namespace
