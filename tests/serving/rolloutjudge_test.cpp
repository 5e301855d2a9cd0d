#include "fescue/serving/rolloutevidence.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const MemberName first("entry-1");
const MemberName second("entry-2");

// Adds answers of both versions that take the given times.
void addAnswers(RolloutEvidence &evidence, std::uint32_t oldAnswers, Millis oldTime,
                std::uint32_t newAnswers, Millis newTime)
{
    evidence["draft"].oldVersion.successes[timeClassOf(oldTime)] += oldAnswers;
    evidence["draft"].newVersion.successes[timeClassOf(newTime)] += newAnswers;
}

// Most answers of the new version came in a burst, those of the old one at other times.
TEST(RolloutJudge, CollectorThatJoinsDoesNotCompareAnswersOfUnknownTimes)
{
    RolloutEvidence past;
    addAnswers(past, 2000, 300_ms, 100, 2_s);
    RolloutJudge judge;
    judge.report(first, {1}, past);
    judge.step(60_s);
    judge.report(second, {1}, past);
    for (Millis now = 60250_ms; now < 65_s; now += 250_ms) {
        judge.report(first, {1}, past);
        judge.step(now);
    }
    EXPECT_EQ(judge.verdict().worstSum, 0);
    EXPECT_TRUE(judge.verdict().hasEnoughEvidence);
}

// Plays a time in which both versions answer, and one in which only the new one does. Returns the
// verdict.
RolloutVerdict judgeClosing(Millis newTimeAlone)
{
    RolloutJudge judge;
    RolloutEvidence evidence;
    Millis now {250};
    for (; now < 10_s; now += 250_ms) {
        addAnswers(evidence, 12, 300_ms, 8, 300_ms);
        judge.report(first, {1}, evidence);
        judge.step(now);
    }
    for (; now < 13_s; now += 250_ms) {
        addAnswers(evidence, 0, 300_ms, 10, 300_ms);
        addAnswers(evidence, 0, 300_ms, 10, newTimeAlone);
        judge.report(first, {1}, evidence);
        judge.step(now);
    }
    return judge.verdict();
}

TEST(RolloutJudge, VersionThatTurnsSlowOnceItIsAloneIsBad)
{
    EXPECT_TRUE(judgeClosing(4_s).isBad);
}

// Load slows sound versions too.
TEST(RolloutJudge, VersionThatIsAloneInABurstIsSound)
{
    EXPECT_EQ(judgeClosing(1200_ms).worstSum, 0);
}

// What was normal under load is not normal without it.
TEST(RolloutJudge, VersionThatTurnsSlowOnceItIsAloneAfterABurstIsBad)
{
    RolloutJudge judge;
    RolloutEvidence evidence;
    for (Millis now {250}; now < 13_s; now += 250_ms) {
        if (now < 10_s) {
            const Millis time = now < 5_s ? 300_ms : 1200_ms;
            addAnswers(evidence, 12, time, 8, time);
        } else {
            addAnswers(evidence, 0, 300_ms, 10, 300_ms);
            addAnswers(evidence, 0, 300_ms, 10, 6_s);
        }
        judge.report(first, {1}, evidence);
        judge.step(now);
    }
    EXPECT_TRUE(judge.verdict().isBad);
}

TEST(RolloutJudge, OpenRequestsAreEvidenceOfASlowVersion)
{
    RolloutJudge judge;
    RolloutEvidence evidence;
    for (Millis now {250}; now < 5_s; now += 250_ms) {
        addAnswers(evidence, 40, 300_ms, 2, 300_ms);
        // Two more requests stay open each time, and each wait grows.
        RolloutEvidence report = evidence;
        for (Millis sent {0}; sent < now; sent += 250_ms)
            report["draft"].newVersion.open[timeClassOf(now - sent)] += 2;
        judge.report(first, {1}, report);
        judge.step(now);
    }
    EXPECT_TRUE(judge.verdict().isBad);
    EXPECT_EQ(judge.verdict().kind, "slow");
}

} // namespace
