#include "fescue/observe/log.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::observe;

TEST(Log, FormatsFieldsOnOneLine)
{
    EXPECT_EQ(formatFields("zone-out", {{"zone", "north"}, {"version", 8}, {"note", "a \"b\"\n"}}),
              "event=zone-out zone=north version=8 note=\"a \\\"b\\\"?\"");
    EXPECT_EQ(formatFields("x", {{"empty", ""}}), "event=x empty=\"\"");
}

TEST(Log, ReadsLevels)
{
    EXPECT_EQ(parseLogLevel("warning").value(), LogLevel::Warning);
    EXPECT_EQ(parseLogLevel("loud").error().code, ResultCode::SettingsInvalid);
}

TEST(Log, WritesLinesFromItsLevelOn)
{
    initLog("entry-1", LogLevel::Warning);
    ::testing::internal::CaptureStderr();
    logChange("too-low");
    logChange(LogLevel::Error, "store-lost", {{"address", "127.0.0.1:1"}});
    const std::string text = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(text.find("too-low"), std::string::npos);
    EXPECT_EQ(text.rfind("ts=", 0), 0U) << text;
    EXPECT_NE(text.find(" level=error process=entry-1 event=store-lost address=127.0.0.1:1\n"),
              std::string::npos)
        << text;
}

} // namespace
