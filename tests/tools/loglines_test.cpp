#include "fescue/observe/log.h"
#include "fescue/tools/loglines.h"
#include "fescue/tools/timelinemerge.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::tools;

constexpr const char *start = "ts=2026-12-04T04:17:41.633Z level=info process=entry-0 ";

TEST(LogLines, ReadsTimeProcessEventAndFields)
{
    const std::optional<LogLine> line =
        parseLogLine(std::string(start) + R"(event=request id=c1 code=ok detail="")");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->wallMillis, 1'796'357'861'633);
    EXPECT_EQ(line->level, "info");
    EXPECT_EQ(line->process, "entry-0");
    EXPECT_EQ(line->event, "request");
    EXPECT_EQ(line->field("id"), "c1");
    EXPECT_EQ(line->field("detail"), "");
    EXPECT_EQ(line->field("ID"), std::nullopt);
}

TEST(LogLines, ReadsWhatTheLogWrites)
{
    for (const std::string value : {"", "a b", "quote \" and \\", "k=v", "plain"}) {
        const std::string fields = observe::formatFields("event", {{"n", 7}, {"value", value}});
        const std::optional<LogLine> line = parseLogLine(start + fields);
        ASSERT_TRUE(line) << fields;
        EXPECT_EQ(line->field("n"), "7");
        EXPECT_EQ(line->field("value"), value);
    }
}

TEST(LogLines, SkipsWhatACollectorPutsBefore)
{
    EXPECT_TRUE(parseLogLine("  12.345 entry-0 | " + std::string(start) + "event=started"));
    EXPECT_FALSE(parseLogLine("facts=2026-12-04T04:17:41.633Z process=a event=b"));
}

TEST(LogLines, RefusesOtherTexts)
{
    for (const char *text :
         {"", "hello", "ts=", "ts=2026-12-04 process=a event=b",
          "ts=2026-13-04T04:17:41.633Z process=a event=b", "ts=2026-12-04T04:17:41.633Z event=b",
          "ts=2026-12-04T04:17:41.633Z process=a",
          "ts=2026-12-04T04:17:41.633Z process=a event=\"b",
          "ts=2026-12-04T04:17:41.633Z process=a event=\"b\"c=d"})
        EXPECT_FALSE(parseLogLine(text)) << text;
}

TEST(LogLines, FollowsOneRequestOverProcesses)
{
    const std::string first = std::string(start) + "event=request id=c1 code=ok\n" + start
        + "event=request id=c10 code=ok\nnot a line\n";
    const std::string second = "ts=2026-12-04T04:17:40.000Z level=info process=entry-1 "
                               "event=attempt id=c1 outcome=lost detail=\"broke off\"\n";
    const LogEvents one = parseLog(first, "c1");
    const LogEvents two = parseLog(second, "c1");
    EXPECT_EQ(one.otherLines, 1U);
    EXPECT_EQ(formatText(mergeTimelines({one.events, two.events})),
              "2026-12-04T04:17:40.000Z entry-1 attempt id=c1 outcome=lost detail=\"broke off\"\n"
              "2026-12-04T04:17:41.633Z entry-0 request id=c1 code=ok\n");
    EXPECT_EQ(parseLog(first, std::nullopt).events.size(), 2U);
}

} // namespace
