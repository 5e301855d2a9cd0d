#include "fescue/serving/promptquarantine.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

// A prompt with these parts and a last part of its own.
std::vector<PromptPart> prompt(const std::vector<PartId> &parts)
{
    static PartId last = 1'000'000;
    std::vector<PromptPart> list;
    list.reserve(parts.size() + 1);
    for (const PartId part : parts)
        list.push_back({part, 100});
    list.push_back({++last, 100});
    return list;
}

class PromptQuarantineTest : public testing::Test
{
protected:
    // Records crashes of different engines, one second apart, and evaluates them.
    std::vector<QuarantineEntry> crash(int n, const std::vector<PartId> &parts)
    {
        for (int i = 0; i < n; ++i) {
            now += 1_s;
            static_cast<void>(quarantine.recordCrash(
                now, {{EndpointName("e" + std::to_string(++engines)), {1}}, 0_ms, parts}));
        }
        now += CrashEvidence::settleTime;
        return quarantine.evaluate(now);
    }

    [[nodiscard]] PromptVerdict verdict(const std::vector<PartId> &parts) const
    {
        return quarantine.decide(now, prompt(parts)).verdict;
    }

    PromptQuarantine quarantine;
    Millis now {1'000};
    int engines = 0;
};

TEST_F(PromptQuarantineTest, PartIsRefusedWhereverItStands)
{
    EXPECT_EQ(crash(3, {7}).size(), 1U);
    EXPECT_EQ(verdict({7, 1, 2}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({1, 7, 2}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({1, 2, 7}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({1, 2}), PromptVerdict::Admit);
    const PromptDecision decision = quarantine.decide(now, prompt({7}));
    EXPECT_EQ(decision.entry.crashes, 3U);
    EXPECT_GT(decision.retryAfter, 50_s);
}

// Guards against refusing a request for the part that belongs to it alone.
TEST_F(PromptQuarantineTest, LastPartDoesNotDecide)
{
    static_cast<void>(crash(3, {7}));
    const std::vector<PromptPart> only {{1, 100}, {7, 100}};
    EXPECT_EQ(quarantine.decide(now, only).verdict, PromptVerdict::Admit);
    EXPECT_EQ(quarantine.decide(now, {}).verdict, PromptVerdict::Admit);
}

// Guards against condemning the sound parts that all requests with the bad one have (the prompts of
// issue 31): a request without the bad part is a trial of the sound one at once.
TEST_F(PromptQuarantineTest, RivalIsTriedWithoutTheOthersAndReleased)
{
    EXPECT_EQ(crash(3, {1, 2, 7}).size(), 3U);
    EXPECT_EQ(verdict({1, 2, 7}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({1, 2}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({2, 50}), PromptVerdict::Trial);
    const QuarantineNotice notice = quarantine.recordStart(now, prompt({1, 2}));
    ASSERT_EQ(notice.entries.size(), 2U);
    EXPECT_FALSE(notice.entries.front().active);
    EXPECT_EQ(verdict({1, 2}), PromptVerdict::Admit);
    EXPECT_EQ(verdict({1, 2, 7}), PromptVerdict::Refuse);
    // A request with the released parts would tell nothing new, so it is no early trial.
    EXPECT_EQ(quarantine.activeCount(), 1U);
}

// Guards against further crashes by repeated trials: there are two at most, however long requests
// with the part come.
TEST_F(PromptQuarantineTest, TrialsAreBounded)
{
    static_cast<void>(crash(3, {7}));
    int trials = 0;
    for (int n = 0; n < 100'000; ++n) {
        now += 1_s;
        const PromptDecision decision = quarantine.decide(now, prompt({7}));
        ASSERT_NE(decision.verdict, PromptVerdict::Admit);
        if (decision.verdict != PromptVerdict::Trial)
            continue;
        ++trials;
        EXPECT_TRUE(quarantine.mergeEntry(PromptQuarantine::withTrial(now, decision.entry)));
        static_cast<void>(crash(1, {7}));
    }
    EXPECT_EQ(trials, 2);
    EXPECT_EQ(quarantine.decide(now, prompt({7})).retryAfter, PromptQuarantine::longestRetryDelay);
    EXPECT_EQ(quarantine.decide(now, prompt({7})).entry.crashes, 5U);
}

TEST_F(PromptQuarantineTest, PartWithTwoQuarantinedPartsIsNoTrial)
{
    static_cast<void>(crash(3, {7}));
    static_cast<void>(crash(3, {8}));
    now += PromptQuarantine::firstTrialDelay;
    EXPECT_EQ(verdict({7, 8}), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({7}), PromptVerdict::Trial);
}

TEST_F(PromptQuarantineTest, OperatorReleasesAPart)
{
    static_cast<void>(crash(3, {7}));
    const std::vector<PartId> parts {7};
    const std::optional<QuarantineEntry> released = quarantine.release(now, parts);
    ASSERT_TRUE(released);
    EXPECT_EQ(released->version, 2U);
    EXPECT_EQ(verdict({7}), PromptVerdict::Admit);
    EXPECT_FALSE(quarantine.release(now, parts));
    // The crashes before the release count no longer.
    EXPECT_TRUE(quarantine.evaluate(now + 1_s).empty());
    EXPECT_EQ(crash(3, {7}).front().version, 3U);
    EXPECT_EQ(verdict({7}), PromptVerdict::Refuse);
}

TEST_F(PromptQuarantineTest, OutdatedCopyDoesNotEndOrRenewAQuarantine)
{
    const QuarantineEntry first = crash(3, {7}).front();
    const std::vector<PartId> parts {7};
    const QuarantineEntry released = *quarantine.release(now, parts);
    EXPECT_FALSE(quarantine.mergeEntry(first));
    EXPECT_EQ(verdict({7}), PromptVerdict::Admit);
    static_cast<void>(crash(3, {7}));
    EXPECT_FALSE(quarantine.mergeEntry(released));
    EXPECT_EQ(verdict({7}), PromptVerdict::Refuse);
}

// Guards against condemning a part by processes that missed the report of its start.
TEST_F(PromptQuarantineTest, ProcessThatKnowsAStartReleasesTheEntryOfAnother)
{
    const QuarantineEntry entry = crash(3, {7}).front();
    PromptQuarantine other;
    static_cast<void>(other.recordStart(now + 1_s, prompt({7})));
    const PromptQuarantine::Merged merged = other.merge(now + 2_s, {{}, {}, {}, {entry}});
    ASSERT_EQ(merged.released.size(), 1U);
    EXPECT_EQ(other.decide(now + 2_s, prompt({7})).verdict, PromptVerdict::Admit);
    EXPECT_TRUE(quarantine.mergeEntry(merged.released.front()));
    EXPECT_EQ(verdict({7}), PromptVerdict::Admit);
}

// Guards against a caller who pads prompts with made-up parts to get others' parts condemned or to
// fill the table.
TEST_F(PromptQuarantineTest, LongListsOfPartsGetOneEntryThatMatchesThemTogether)
{
    std::vector<PartId> parts;
    for (PartId part = 1; part <= 300; ++part)
        parts.push_back(part);
    EXPECT_EQ(crash(3, parts).size(), 1U);
    EXPECT_EQ(verdict(parts), PromptVerdict::Refuse);
    EXPECT_EQ(verdict({1, 2, 3}), PromptVerdict::Admit);
}

TEST_F(PromptQuarantineTest, TableIsBounded)
{
    for (PartId part = 1; part <= PromptQuarantine::maxEntries + 50; ++part)
        static_cast<void>(crash(3, {part}));
    EXPECT_EQ(quarantine.entries().size(), PromptQuarantine::maxEntries);
    EXPECT_EQ(verdict({PromptQuarantine::maxEntries + 50}), PromptVerdict::Refuse);
}

TEST_F(PromptQuarantineTest, ReleasedEntriesAreForgottenLater)
{
    static_cast<void>(crash(3, {7}));
    static_cast<void>(quarantine.recordStart(now, prompt({7})));
    quarantine.purge(now + PromptQuarantine::releaseRetention);
    EXPECT_EQ(quarantine.entries().size(), 1U);
    quarantine.purge(now + PromptQuarantine::releaseRetention + 1_ms);
    EXPECT_TRUE(quarantine.entries().empty());
}

} // namespace
