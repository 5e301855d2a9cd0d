#include "fescue/observe/timeline.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace fescue::observe;
using nlohmann::json;

Event at(std::int64_t wallMillis)
{
    return {wallMillis, {}, "zone", "north", "out"};
}

TEST(Timeline, KeepsTheLatestEventsInOrder)
{
    Timeline timeline("entry-1", 3);
    for (std::int64_t n = 1; n <= 5; ++n)
        timeline.add(at(n));
    const std::vector<Event> events = timeline.events();
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].wallMillis, 3);
    EXPECT_EQ(events[2].wallMillis, 5);
    EXPECT_EQ(events[2].process, "entry-1");
}

TEST(Timeline, LeavesOutOlderEvents)
{
    Timeline timeline("entry-1", 8);
    for (std::int64_t n = 1; n <= 5; ++n)
        timeline.add(at(n));
    EXPECT_EQ(timeline.events(4).size(), 2U);
}

TEST(Timeline, WritesJson)
{
    Timeline timeline("entry-1", 1);
    timeline.add(at(6));
    timeline.add({7, {}, "config", "version", "bad \xff byte"});
    const json value = json::parse(timeline.toJson());
    EXPECT_EQ(value["process"], "entry-1");
    EXPECT_EQ(value["dropped"], 1);
    ASSERT_EQ(value["events"].size(), 1U);
    EXPECT_EQ(value["events"][0]["wall_ms"], 7);
    EXPECT_EQ(value["events"][0]["kind"], "config");
    EXPECT_EQ(value["events"][0]["subject"], "version");
    EXPECT_EQ(json::parse(timeline.toJson(8))["events"].size(), 0U);
}

TEST(Timeline, CountsEveryEventOfSeveralThreads)
{
    constexpr int threadCount = 4;
    constexpr int perThread = 500;
    Timeline timeline("entry-1", 100);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int n = 0; n < threadCount; ++n) {
        threads.emplace_back([&timeline] {
            for (int i = 0; i < perThread; ++i)
                timeline.record("kind", "subject");
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_EQ(timeline.events().size(), 100U);
    EXPECT_EQ(json::parse(timeline.toJson())["dropped"], threadCount * perThread - 100);
}

} // namespace
