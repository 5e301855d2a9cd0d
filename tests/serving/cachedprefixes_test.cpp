#include "fescue/serving/cachedprefixes.h"
#include "fescue/serving/placement.h"
#include "tests/serving/settledshares.h"

#include <array>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

constexpr Millis retention {4'600};
const EndpointIncarnation engineA {EndpointName("a"), {1}};
const EndpointIncarnation engineB {EndpointName("b"), {1}};

TEST(CachedPrefixes, PartCountsOnlyBehindTheSameBeginning)
{
    CachedPrefixes prefixes(retention);
    const std::array<PromptPart, 3> prompt {{{1, 210}, {2, 140}, {3, 2'000}}};
    prefixes.recordRead(1_s, engineA, prompt);
    EXPECT_EQ(prefixes.heldTokens(2_s, engineA, prompt), 2'350U);
    EXPECT_EQ(prefixes.heldTokens(2_s, engineB, prompt), 0U);
    const std::array<PromptPart, 3> otherEnd {{{1, 210}, {2, 140}, {9, 1'000}}};
    EXPECT_EQ(prefixes.heldTokens(2_s, engineA, otherEnd), 350U);
    const std::array<PromptPart, 2> otherOrder {{{2, 140}, {1, 210}}};
    EXPECT_EQ(prefixes.heldTokens(2_s, engineA, otherOrder), 0U);
}

TEST(CachedPrefixes, EntriesExpireAndDoNotOutliveTheIncarnation)
{
    CachedPrefixes prefixes(retention);
    const std::array<PromptPart, 1> prompt {{{1, 210}}};
    prefixes.recordRead(1_s, engineA, prompt);
    EXPECT_EQ(prefixes.heldTokens(1_s + retention, engineA, prompt), 210U);
    EXPECT_EQ(prefixes.heldTokens(1_s + retention + 1_ms, engineA, prompt), 0U);
    EXPECT_EQ(prefixes.heldTokens(1_s, {engineA.endpoint, {2}}, prompt), 0U);
    prefixes.recordRead(4_s, engineA, prompt);
    prefixes.recordRead(7_s, engineB, prompt);
    EXPECT_EQ(prefixes.heldTokens(7_s, engineA, prompt), 210U);
    EXPECT_EQ(prefixes.size(), 2U);
}

// Guards against memory that callers fill with parts of their own making.
TEST(CachedPrefixes, MemoryAndReportsAreBounded)
{
    CachedPrefixes prefixes(retention);
    std::vector<PromptPart> prompt(5'000);
    for (std::uint64_t i = 0; i < 5'000; ++i) {
        for (std::size_t k = 0; k < prompt.size(); ++k)
            prompt[k] = {i * prompt.size() + k, 1};
        prefixes.recordRead(1_s, engineA, std::span(prompt).first(i < 10 ? prompt.size() : 3));
    }
    EXPECT_LE(prefixes.size(), CachedPrefixes::maxEntries);
    EXPECT_EQ(prefixes.takeReport().size(), CachedPrefixes::maxReported);
    EXPECT_TRUE(prefixes.takeReport().empty());
    // The latest ones are kept.
    EXPECT_EQ(prefixes.heldTokens(1_s, engineA, std::span(prompt).first(3)), 3U);
}

TEST(CachedPrefixes, PeersLearnWhatWasRead)
{
    CachedPrefixes sender(retention);
    CachedPrefixes receiver(retention);
    const std::array<PromptPart, 2> prompt {{{1, 210}, {2, 140}}};
    sender.recordRead(1_s, engineA, prompt);
    receiver.peerReported(1_s, sender.takeReport());
    EXPECT_EQ(receiver.heldTokens(2_s, engineA, prompt), 350U);
    CachedPrefixes off(0_ms);
    off.recordRead(1_s, engineA, prompt);
    off.peerReported(1_s, std::vector<PrefixRead> {{engineA, 1, 1}});
    EXPECT_EQ(off.size(), 0U);
    EXPECT_TRUE(off.takeReport().empty());
}

// The load that the term answers: many requests with few beginnings, on engines of one zone.
class PlacementByPrefix : public testing::Test
{
protected:
    PlacementByPrefix()
    {
        for (const EndpointIncarnation &engine : {engineA, engineB}) {
            EndpointRecord record;
            record.name = engine.endpoint;
            record.incarnation = engine.incarnation;
            record.service = service;
            record.zone = ZoneName("north");
            record.slots = 24;
            table.listed(now, record);
        }
        model.slots = 24;
        model.memoryTokens = 26'895;
        prefixes.recordRead(now, engineA, prompt);
    }

    [[nodiscard]] std::string chosen() const
    {
        PlacementView view {ledger, health, limiter, shares, 50, ZoneName("north"), now};
        view.prefixes = &prefixes;
        PlacementDemand demand;
        demand.memoryTokens = 2'560;
        demand.prefillTokens = 2'550;
        demand.promptParts = prompt;
        const EndpointView *engine = chooseEngine(table.usable(service), model, view, demand, 0.3);
        return engine == nullptr ? "none" : engine->record.name.text();
    }

    const ServiceName service {"engines"};
    Millis now = 10_s;
    const std::array<PromptPart, 2> prompt {{{1, 210}, {2, 140}}};
    EngineModel model;
    EndpointTable table;
    LoadLedger ledger;
    EndpointHealth health;
    ColdRateLimiter limiter;
    ColdShares shares = test::settledShares(9);
    CachedPrefixes prefixes {retention};
};

TEST_F(PlacementByPrefix, EngineThatHoldsTheBeginningIsPreferred)
{
    EXPECT_EQ(chosen(), "a");
}

TEST_F(PlacementByPrefix, LongerWaitIsWeighedAgainstTheReadingThatIsSaved)
{
    // 350 tokens take 50 ms to read; 140 tokens that wait there take 20 ms, 700 take 100 ms.
    ledger.add(engineA.endpoint, {0, 0, 140});
    EXPECT_EQ(chosen(), "a");
    ledger.add(engineA.endpoint, {0, 0, 560});
    EXPECT_EQ(chosen(), "b");
}

TEST_F(PlacementByPrefix, FullEngineMayHaveDroppedTheBeginning)
{
    ledger.add(engineA.endpoint, {0, 20'500, 0});
    ledger.add(engineB.endpoint, {0, 20'400, 0});
    EXPECT_EQ(chosen(), "b");
}

} // namespace
