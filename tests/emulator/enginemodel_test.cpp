#include "fescue/emulator.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::emulator;

EngineSettings warmSettings()
{
    EngineSettings settings;
    settings.coldLimit = settings.maxBatch;
    return settings;
}

std::size_t count(const std::vector<EngineEvent> &events, EngineEventKind kind)
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [kind](const EngineEvent &event) { return event.kind == kind; }));
}

TEST(EngineModel, ProducesEachTokenOnceInOrder)
{
    EngineModel engine(warmSettings(), Incarnation {1}, 0_ms);
    ASSERT_EQ(engine.submit({StreamId {1}, {}, 100, 20, 0}, 0_ms), SubmitResult::Accepted);
    std::uint32_t next = 0;
    for (const EngineEvent &event : engine.advance(10_s)) {
        if (event.kind == EngineEventKind::TokenProduced)
            EXPECT_EQ(event.index, next++);
    }
    EXPECT_EQ(next, 20U);
    EXPECT_EQ(engine.streamStatus(StreamId {1}).state, StreamState::Finished);
    EXPECT_EQ(engine.memoryUsed(), 0U);
}

TEST(EngineModel, PreemptsLowestPriorityWhenMemoryFillsDuringDecode)
{
    EngineSettings settings = warmSettings();
    settings.memoryTokens = 300;
    EngineModel engine(settings, Incarnation {1}, 0_ms);
    ASSERT_EQ(engine.submit({StreamId {1}, {}, 100, 150, 0}, 0_ms), SubmitResult::Accepted);
    ASSERT_EQ(engine.submit({StreamId {2}, {}, 100, 150, 5}, 0_ms), SubmitResult::Accepted);
    const std::vector<EngineEvent> events = engine.advance(60_s);
    EXPECT_GE(count(events, EngineEventKind::Preempted), 1U);
    for (const EngineEvent &event : events) {
        if (event.kind == EngineEventKind::Preempted)
            EXPECT_EQ(event.stream, StreamId {1});
    }
    EXPECT_EQ(count(events, EngineEventKind::TokenProduced), 300U);
    EXPECT_EQ(count(events, EngineEventKind::Finished), 2U);
}

TEST(EngineModel, ColdEngineCrashesAboveItsLimitAndRestartsAsNewIncarnation)
{
    EngineModel engine(EngineSettings {}, Incarnation {7}, 0_ms);
    ASSERT_TRUE(engine.isCold());
    EXPECT_EQ(engine.submit({StreamId {1}, {}, 10, 50, 0}, 0_ms), SubmitResult::Accepted);
    EXPECT_EQ(engine.submit({StreamId {2}, {}, 10, 50, 0}, 0_ms), SubmitResult::Accepted);
    EXPECT_EQ(engine.submit({StreamId {3}, {}, 10, 50, 0}, 0_ms), SubmitResult::Crashed);
    EXPECT_EQ(engine.submit({StreamId {4}, {}, 10, 50, 0}, 1_ms), SubmitResult::Down);
    const std::vector<EngineEvent> events = engine.advance(10_s);
    EXPECT_EQ(count(events, EngineEventKind::Crashed), 1U);
    EXPECT_EQ(count(events, EngineEventKind::Restarted), 1U);
    EXPECT_EQ(engine.incarnation(), Incarnation {8});
    EXPECT_EQ(engine.streamStatus(StreamId {1}).state, StreamState::Unknown);
}

TEST(EngineModel, CachedPrefixShortensFirstToken)
{
    EngineModel engine(warmSettings(), Incarnation {1}, 0_ms);
    const std::vector<std::uint64_t> prefix = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
    ASSERT_EQ(engine.submit({StreamId {1}, prefix, 640, 1, 0}, 0_ms), SubmitResult::Accepted);
    const Millis first = engine.advance(5_s).front().at;
    ASSERT_EQ(engine.submit({StreamId {2}, prefix, 640, 1, 0}, 5_s), SubmitResult::Accepted);
    const Millis second = engine.advance(10_s).front().at - 5_s;
    EXPECT_LT(second * 3, first);
}

TEST(EngineModel, LoadReportLags)
{
    EngineModel engine(warmSettings(), Incarnation {1}, 0_ms);
    ASSERT_EQ(engine.submit({StreamId {1}, {}, 10, 1000, 0}, 1_s), SubmitResult::Accepted);
    EXPECT_EQ(engine.loadReport(1_s).running, 0U);
    static_cast<void>(engine.advance(2_s));
    EXPECT_EQ(engine.loadReport(2_s).running, 1U);
}

TEST(EngineModel, FinishedStreamIsReadableForAWhileOnly)
{
    EngineModel engine(warmSettings(), Incarnation {1}, 0_ms);
    ASSERT_EQ(engine.submit({StreamId {1}, {}, 10, 3, 0}, 0_ms), SubmitResult::Accepted);
    static_cast<void>(engine.advance(1_s));
    EXPECT_EQ(engine.streamStatus(StreamId {1}).produced, 3U);
    static_cast<void>(engine.advance(60_s));
    EXPECT_EQ(engine.streamStatus(StreamId {1}).state, StreamState::Unknown);
}

TEST(EngineModel, CancelFreesMemory)
{
    EngineModel engine(warmSettings(), Incarnation {1}, 0_ms);
    ASSERT_EQ(engine.submit({StreamId {1}, {}, 10, 3000, 0}, 0_ms), SubmitResult::Accepted);
    static_cast<void>(engine.advance(1_s));
    EXPECT_GT(engine.memoryUsed(), 0U);
    EXPECT_TRUE(engine.cancel(StreamId {1}, 1_s));
    EXPECT_EQ(engine.memoryUsed(), 0U);
    EXPECT_FALSE(engine.cancel(StreamId {1}, 1_s));
}

TEST(PrefixCache, EvictsLeastRecentlyUsedAndNumbersItsEvents)
{
    PrefixCache cache(2);
    const std::vector<std::uint64_t> one = {1};
    const std::vector<std::uint64_t> two = {2};
    const std::vector<std::uint64_t> three = {3};
    cache.store(one);
    cache.store(two);
    EXPECT_EQ(cache.lookup(one), 1U);
    cache.store(three);
    EXPECT_EQ(cache.lookup(two), 0U);
    EXPECT_EQ(cache.lookup(one), 1U);
    EXPECT_EQ(cache.lastSequence(), 4U);
    EXPECT_EQ(cache.eventsAfter(2).front().change, CacheChange::Evicted);
}

} // namespace
