#include "fescue/serving/rolloutplan.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

RolloutRecord recordIn(RolloutStage stage)
{
    RolloutRecord record;
    record.service = ServiceName("llm");
    record.version = "v2";
    record.duration = 30_s;
    record.stage = stage;
    record.change = 1;
    record.order = {7, 1};
    return record;
}

RolloutFacts soundFacts(Millis elapsed)
{
    RolloutFacts facts;
    facts.elapsed = elapsed;
    facts.inStage = elapsed;
    facts.hasEnoughEvidence = true;
    return facts;
}

std::optional<RolloutStage> next(RolloutStage stage, const RolloutFacts &facts)
{
    const std::optional<RolloutStep> step = nextStep(recordIn(stage), facts);
    return step ? std::optional<RolloutStage>(step->stage) : std::nullopt;
}

TEST(RolloutPlan, SoundVersionPassesAllStagesBeforeItsDeadline)
{
    RolloutRecord record = recordIn(RolloutStage::Canary);
    Millis changedAt {0};
    std::vector<RolloutStage> stages;
    for (Millis now {0}; now < 30_s; now += 250_ms) {
        RolloutFacts facts = soundFacts(now);
        facts.inStage = now - changedAt;
        facts.isOldIdle = record.stage == RolloutStage::Closing && facts.inStage > 2_s;
        const std::optional<RolloutStep> step = nextStep(record, facts);
        if (!step)
            continue;
        record.stage = step->stage;
        changedAt = now;
        stages.push_back(step->stage);
    }
    EXPECT_EQ(stages,
              (std::vector<RolloutStage> {RolloutStage::Fifth, RolloutStage::TwoFifths,
                                          RolloutStage::ThreeFifths, RolloutStage::Closing,
                                          RolloutStage::Completed}));
    EXPECT_LT(changedAt, 29_s);
}

TEST(RolloutPlan, ShareStaysSmallWhileTimeIsLeft)
{
    EXPECT_EQ(next(RolloutStage::Canary, soundFacts(10_s)), std::nullopt);
    EXPECT_LT(newVersionShare(RolloutStage::Canary, 0.1), 0.1);
}

// A version may turn bad once it gets all requests; until it is found it gets those of some time.
TEST(RolloutPlan, StagesLeaveEnoughOfTheExposureForAVersionThatTurnsBadLast)
{
    constexpr double foundAfterSeconds = 1;
    for (const Millis duration : {8_s, 15_s, 20_s, 30_s, 60_s}) {
        for (const double rate : {10.0, 90.0, 900.0}) {
            RolloutRecord record = recordIn(RolloutStage::Canary);
            record.duration = duration;
            Millis changedAt {0};
            double toNew = 0;
            bool hasGrown = false;
            for (Millis now = 250_ms; record.stage != RolloutStage::Closing; now += 250_ms) {
                ASSERT_LT(now, duration);
                toNew += newVersionShare(record.stage, 0.1) * rate / 4;
                RolloutFacts facts = soundFacts(now);
                facts.inStage = now - changedAt;
                const double requests = rate * static_cast<double>(now.count) / 1000;
                facts.counts = {static_cast<std::uint64_t>(requests),
                                static_cast<std::uint64_t>(toNew)};
                facts.exposureShare = 0.1;
                facts.exposureAllowance = 50;
                const std::optional<RolloutStep> step = nextStep(record, facts);
                if (!step)
                    continue;
                hasGrown = hasGrown || step->stage != RolloutStage::Closing;
                record.stage = step->stage;
                changedAt = now;
            }
            const double limit = 0.1 * rate * static_cast<double>(duration.count) / 1000 + 50;
            if (hasGrown) {
                EXPECT_LE(toNew + rate * foundAfterSeconds, limit)
                    << duration.count << " ms, " << rate << " requests a second";
            }
        }
    }
}

TEST(RolloutPlan, BadVersionIsRevertedInEveryStage)
{
    for (const RolloutStage stage : {RolloutStage::Canary, RolloutStage::Fifth,
                                     RolloutStage::ThreeFifths, RolloutStage::Closing}) {
        RolloutFacts facts = soundFacts(20_s);
        facts.isBad = true;
        facts.isOldIdle = true;
        EXPECT_EQ(next(stage, facts), RolloutStage::Reverted);
    }
}

TEST(RolloutPlan, DecisionIsFinal)
{
    RolloutFacts facts = soundFacts(40_s);
    facts.isBad = true;
    facts.isCancelled = true;
    EXPECT_EQ(next(RolloutStage::Completed, facts), std::nullopt);
    EXPECT_EQ(next(RolloutStage::Reverted, soundFacts(20_s)), std::nullopt);
}

TEST(RolloutPlan, SuspicionHoldsTheShareAndDoubtRevertsAtTheEnd)
{
    RolloutFacts facts = soundFacts(20_s);
    facts.isSuspicious = true;
    EXPECT_EQ(next(RolloutStage::Canary, facts), std::nullopt);
    facts.isDoubtful = true;
    EXPECT_EQ(next(RolloutStage::Canary, facts), std::nullopt);
    facts.elapsed = 29_s;
    EXPECT_EQ(next(RolloutStage::Canary, facts), RolloutStage::Reverted);
    EXPECT_EQ(next(RolloutStage::Closing, facts), RolloutStage::Reverted);
}

TEST(RolloutPlan, SuspicionAloneEndsBeforeTheDeadline)
{
    RolloutFacts facts = soundFacts(26_s);
    facts.isSuspicious = true;
    EXPECT_EQ(next(RolloutStage::Canary, facts), RolloutStage::Closing);
    facts.isDoubtful = true;
    EXPECT_EQ(next(RolloutStage::Canary, facts), std::nullopt);
}

// No endpoint of the version ever came, or no request reached it.
TEST(RolloutPlan, VersionWithoutEvidenceIsReverted)
{
    RolloutFacts facts = soundFacts(20_s);
    facts.hasEnoughEvidence = false;
    EXPECT_EQ(next(RolloutStage::Canary, facts), std::nullopt);
    facts.elapsed = 29_s;
    EXPECT_EQ(next(RolloutStage::Canary, facts), RolloutStage::Reverted);
}

TEST(RolloutPlan, RemovedOrderIsReverted)
{
    RolloutFacts facts = soundFacts(3_s);
    facts.isCancelled = true;
    EXPECT_EQ(next(RolloutStage::Canary, facts), RolloutStage::Reverted);
}

TEST(RolloutPlan, CompletionWaitsForRequestsOfTheOldVersionsUntilShortlyBeforeTheDeadline)
{
    EXPECT_EQ(next(RolloutStage::Closing, soundFacts(26_s)), std::nullopt);
    EXPECT_EQ(next(RolloutStage::Closing, soundFacts(29_s)), RolloutStage::Completed);
    RolloutFacts facts = soundFacts(26_s);
    facts.isOldIdle = true;
    EXPECT_EQ(next(RolloutStage::Closing, facts), RolloutStage::Completed);
}

// The time that is left shows more.
TEST(RolloutPlan, SuspicionPutsTheCompletionOff)
{
    RolloutFacts facts = soundFacts(26_s);
    facts.isOldIdle = true;
    facts.isSuspicious = true;
    EXPECT_EQ(next(RolloutStage::Closing, facts), std::nullopt);
    facts.elapsed = 29_s;
    EXPECT_EQ(next(RolloutStage::Closing, facts), RolloutStage::Completed);
}

// A takeover after a long gap of the store.
TEST(RolloutPlan, LateCanaryClosesDirectly)
{
    EXPECT_EQ(next(RolloutStage::Canary, soundFacts(25_s)), RolloutStage::Closing);
}

TEST(RolloutPlan, RecordBelongsToItsOrderAlsoInALaterEra)
{
    RolloutOrder order {ServiceName("llm"), "v2", 30_s, {7, 1}};
    EXPECT_TRUE(recordIn(RolloutStage::TwoFifths).belongsTo(order));
    order.revision = {5, 2};
    EXPECT_TRUE(recordIn(RolloutStage::TwoFifths).belongsTo(order));
    order.revision = {9, 1};
    EXPECT_TRUE(recordIn(RolloutStage::TwoFifths).belongsTo(order));
    EXPECT_TRUE(recordIn(RolloutStage::Completed).belongsTo(order));
    EXPECT_FALSE(recordIn(RolloutStage::Reverted).belongsTo(order));
    order = {ServiceName("llm"), "v3", 30_s, {7, 1}};
    EXPECT_FALSE(recordIn(RolloutStage::TwoFifths).belongsTo(order));
}

TEST(RolloutPlan, DecisionIsLaterThanEachUndecidedState)
{
    RolloutRecord decided = recordIn(RolloutStage::Reverted);
    RolloutRecord later = recordIn(RolloutStage::Closing);
    later.change = 9;
    EXPECT_TRUE(isLaterState(decided, later));
    EXPECT_FALSE(isLaterState(later, decided));
}

// Two processes that know different states never overwrite each other's in turn.
TEST(RolloutPlan, OneOfTwoDifferentStatesIsLater)
{
    std::vector<RolloutRecord> records;
    for (int stage = 0; stage <= static_cast<int>(RolloutStage::Reverted); ++stage) {
        for (std::uint64_t change = 1; change <= 3; ++change) {
            RolloutRecord record = recordIn(static_cast<RolloutStage>(stage));
            record.change = change;
            records.push_back(record);
        }
    }
    for (const RolloutRecord &a : records) {
        for (const RolloutRecord &b : records) {
            EXPECT_EQ(isLaterState(a, b) + isLaterState(b, a), a == b ? 0 : 1)
                << toString(a.stage) << a.change << " " << toString(b.stage) << b.change;
        }
    }
}

TEST(RolloutPlan, StateIsLostIfTheStoreHasAnEarlierOneOfTheSameOrder)
{
    const RolloutOrder order {ServiceName("llm"), "v2", 30_s, {7, 1}};
    RolloutRecord known = recordIn(RolloutStage::TwoFifths);
    known.change = 3;
    EXPECT_TRUE(isLostByStore(order, known, nullptr));
    EXPECT_FALSE(isLostByStore(order, known, &known));
    RolloutRecord stored = recordIn(RolloutStage::Canary);
    EXPECT_TRUE(isLostByStore(order, known, &stored));
    stored = recordIn(RolloutStage::Closing);
    stored.change = 5;
    EXPECT_FALSE(isLostByStore(order, known, &stored));
    // Another order's record: of the order before, in a restored store, or of a later one.
    stored.version = "v1";
    stored.order = {3, 1};
    EXPECT_TRUE(isLostByStore(order, known, &stored));
    stored.version = "v3";
    stored.order = {9, 1};
    EXPECT_FALSE(isLostByStore(order, known, &stored));
}

TEST(RolloutPlan, StagesAreReadFromTheirNames)
{
    for (int i = 0; i <= static_cast<int>(RolloutStage::Reverted); ++i) {
        const RolloutStage stage = static_cast<RolloutStage>(i);
        EXPECT_EQ(parseRolloutStage(toString(stage)), stage);
    }
    EXPECT_EQ(parseRolloutStage("unknown"), std::nullopt);
}

} // namespace
