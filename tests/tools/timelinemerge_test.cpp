#include "fescue/tools/timelinemerge.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace fescue;
using namespace fescue::tools;
using observe::Event;
using observe::Timeline;

std::vector<Event> sampleEvents()
{
    Timeline first("entry-1", 8);
    first.add({1'000, {}, "config", "version", "7"});
    first.add({3'005, {}, "zone", "north", "out"});
    Timeline second("admission-1", 8);
    second.add({2'000, {}, "credit", "ash-1", ""});
    second.add({3'005, {}, "zone", "north", "out"});
    return mergeTimelines(
        {parseTimeline(first.toJson()).value(), parseTimeline(second.toJson()).value()});
}

TEST(TimelineMerge, OrdersEventsOfAllProcessesByTime)
{
    EXPECT_EQ(formatText(sampleEvents()),
              "1970-01-01T00:00:01.000Z entry-1 config version 7\n"
              "1970-01-01T00:00:02.000Z admission-1 credit ash-1\n"
              "1970-01-01T00:00:03.005Z entry-1 zone north out\n"
              "1970-01-01T00:00:03.005Z admission-1 zone north out\n");
}

TEST(TimelineMerge, WritesATraceWithARowForEachProcess)
{
    const nlohmann::json trace = nlohmann::json::parse(formatTrace(sampleEvents()));
    const nlohmann::json &events = trace["traceEvents"];
    ASSERT_EQ(events.size(), 6U);
    EXPECT_EQ(events[0]["ph"], "M");
    EXPECT_EQ(events[0]["args"]["name"], "admission-1");
    EXPECT_EQ(events[5]["ph"], "i");
    EXPECT_EQ(events[5]["ts"], 3'005'000);
    EXPECT_EQ(events[5]["pid"], events[0]["pid"]);
}

TEST(TimelineMerge, RefusesOtherTexts)
{
    for (const char *text :
         {"", "[]", "{}", R"({"process":"a"})", R"({"process":"a","events":[1]})",
          R"({"process":"a","events":[{"wall_ms":1,"kind":"k","subject":"s"}]})",
          R"({"process":"a","events":[{"wall_ms":-1,"kind":"","subject":"","detail":""}]})",
          R"({"process":"a","events":[{"wall_ms":1e30,"kind":"","subject":"","detail":""}]})"}) {
        const Result<std::vector<Event>> events = parseTimeline(text);
        ASSERT_FALSE(events) << text;
        EXPECT_EQ(events.error().code, ResultCode::MessageMalformed);
    }
}

} // namespace
