#include "fescue/serving/crashevidence.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

bool neverExplained(std::span<const PartId>)
{
    return false;
}

CrashReport crash(int engine, std::vector<PartId> parts)
{
    return {{EndpointName("e" + std::to_string(engine)), {1}}, Millis {0}, std::move(parts)};
}

// Adds crashes of different engines that all lost these parts, one second apart.
Millis addCrashes(CrashEvidence &evidence, Millis now, int n, const std::vector<PartId> &parts)
{
    for (int i = 0; i < n; ++i) {
        now += 1_s;
        static_cast<void>(evidence.add(now, crash(static_cast<int>(now.count), parts)));
    }
    return now;
}

// Guards against issue 31 going unnoticed: a part that no request survives is found after three
// crashes, before the fifth.
TEST(CrashEvidence, PartOfEachCrashIsTheCause)
{
    CrashEvidence evidence;
    Millis now = addCrashes(evidence, 0_s, 2, {7});
    EXPECT_FALSE(evidence.findCause(now + 1_s, neverExplained));
    now = addCrashes(evidence, now, 1, {7, 8});
    const std::optional<CrashEvidence::Cause> cause =
        evidence.findCause(now + CrashEvidence::settleTime, neverExplained);
    ASSERT_TRUE(cause);
    EXPECT_EQ(cause->parts, std::vector<PartId>({7}));
    EXPECT_EQ(cause->crashes, 3U);
    EXPECT_EQ(cause->lastCrashAt, now);
}

// Guards against condemning a sound part of the same requests: a start anywhere clears it.
TEST(CrashEvidence, StartedPartsAreCleared)
{
    CrashEvidence evidence;
    Millis now = addCrashes(evidence, 0_s, 2, {1, 2, 7});
    const std::vector<PartId> started {1, 3};
    EXPECT_EQ(evidence.recordStart(now, started), std::vector<PartId>({1}));
    EXPECT_TRUE(evidence.startedSince(0_s, 3));
    now = addCrashes(evidence, now, 1, {1, 2, 7});
    const std::optional<CrashEvidence::Cause> cause = evidence.findCause(now + 1_s, neverExplained);
    ASSERT_TRUE(cause);
    EXPECT_EQ(cause->parts, std::vector<PartId>({2, 7}));
}

// Guards against condemning popular parts when many engines fail at once for another reason.
TEST(CrashEvidence, CrashesAtTheSameTimeCountAsOne)
{
    CrashEvidence evidence;
    for (int n = 0; n < 20; ++n)
        static_cast<void>(evidence.add(1_s, crash(n, {1})));
    EXPECT_FALSE(evidence.findCause(5_s, neverExplained));
}

// Guards against condemning a sound part before all processes have reported a crash.
TEST(CrashEvidence, CrashCountsOnceReportsHaveSettled)
{
    CrashEvidence evidence;
    const Millis now = addCrashes(evidence, 0_s, 3, {7});
    EXPECT_FALSE(evidence.findCause(now + CrashEvidence::settleTime - 1_ms, neverExplained));
    EXPECT_TRUE(evidence.findCause(now + CrashEvidence::settleTime, neverExplained));
}

TEST(CrashEvidence, ReportsOfSeveralProcessesOnOneCrashAreOneCrash)
{
    CrashEvidence evidence;
    for (int n = 0; n < 5; ++n)
        static_cast<void>(evidence.add(1_s * n, crash(1, {7})));
    EXPECT_FALSE(evidence.findCause(20_s, neverExplained));
    EXPECT_EQ(evidence.add(9_s, crash(1, {7, 8})), std::vector<PartId>({8}));
}

// Guards against condemning sound parts together with a bad one whose crashes go on.
TEST(CrashEvidence, ExplainedCrashesAreNoEvidenceAgainstOtherParts)
{
    CrashEvidence evidence;
    const Millis now = addCrashes(evidence, 0_s, 6, {7, 9});
    const auto explained = [](std::span<const PartId> suspects) {
        return std::binary_search(suspects.begin(), suspects.end(), PartId {7});
    };
    EXPECT_FALSE(evidence.findCause(now + 1_s, explained));
}

TEST(CrashEvidence, TwoCausesAreFoundOneAfterTheOther)
{
    CrashEvidence evidence;
    Millis now {0};
    for (int n = 0; n < 3; ++n) {
        now = addCrashes(evidence, now, 1, {7, static_cast<PartId>(100 + n)});
        now = addCrashes(evidence, now, 1, {8, static_cast<PartId>(200 + n)});
    }
    const std::optional<CrashEvidence::Cause> first = evidence.findCause(now + 1_s, neverExplained);
    ASSERT_TRUE(first);
    ASSERT_EQ(first->parts.size(), 1U);
    const PartId found = first->parts.front();
    const auto explained = [found](std::span<const PartId> suspects) {
        return std::binary_search(suspects.begin(), suspects.end(), found);
    };
    const std::optional<CrashEvidence::Cause> second = evidence.findCause(now + 1_s, explained);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->parts, std::vector<PartId>({found == 7 ? PartId {8} : PartId {7}}));
}

TEST(CrashEvidence, RareRequestsAreEvidenceForTheWholeLifetime)
{
    CrashEvidence evidence;
    for (int n = 0; n < 3; ++n)
        static_cast<void>(evidence.add(400_s * n, crash(n, {7})));
    EXPECT_TRUE(evidence.findCause(801_s, neverExplained));
    EXPECT_FALSE(evidence.findCause(801_s + CrashEvidence::lifetime, neverExplained));
}

// Guards against callers who fill the memory for evidence with parts that they make up.
TEST(CrashEvidence, MemoryIsBounded)
{
    CrashEvidence evidence;
    PartId part = 0;
    for (int n = 0; n < 300; ++n) {
        std::vector<PartId> madeUp;
        madeUp.reserve(2000);
        for (int i = 0; i < 2000; ++i)
            madeUp.push_back(++part);
        const std::vector<PartId> added = evidence.add(1_s * n, crash(n, madeUp));
        EXPECT_EQ(added.size(), CrashEvidence::maxPartsPerCrash);
        static_cast<void>(evidence.recordStart(1_s * n, madeUp));
    }
    EXPECT_FALSE(evidence.startedSince(0_s, 1));
    EXPECT_TRUE(evidence.startedSince(0_s, part));
}

} // namespace
