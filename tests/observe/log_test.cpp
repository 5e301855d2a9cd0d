#include "fescue/observe/log.h"

#include <array>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <unistd.h>

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
    ::testing::internal::CaptureStdout();
    logChange("too-low");
    logChange(LogLevel::Error, "store-lost", {{"address", "127.0.0.1:1"}});
    flushLog();
    const std::string text = ::testing::internal::GetCapturedStdout();
    EXPECT_EQ(text.find("too-low"), std::string::npos);
    EXPECT_EQ(text.rfind("ts=", 0), 0U) << text;
    EXPECT_NE(text.find(" level=error process=entry-1 event=store-lost address=127.0.0.1:1\n"),
              std::string::npos)
        << text;
}

// Reads a pipe until its writers have closed it.
void drain(int fd)
{
    std::array<char, 4096> buf {};
    while (::read(fd, buf.data(), buf.size()) > 0) { }
    ::close(fd);
}

// Pattern: nobody reads the output of a process that goes on deciding.
TEST(Log, CallersNeverWaitForTheOutput)
{
    constexpr int lines = 20000;
    std::array<int, 2> ends {};
    ASSERT_EQ(::pipe(ends.data()), 0);
    const int stdoutCopy = ::dup(STDOUT_FILENO);
    ASSERT_EQ(::dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
    ::close(ends[1]);
    initLog("entry-1", LogLevel::Info);
    const std::uint64_t before = droppedLogLines();
    for (int n = 0; n < lines; ++n)
        logChange("request", {{"id", n}, {"detail", std::string(100, 'x')}});
    EXPECT_GT(droppedLogLines(), before);
    std::thread reader(drain, ends[0]);
    flushLog();
    ASSERT_EQ(::dup2(stdoutCopy, STDOUT_FILENO), STDOUT_FILENO);
    ::close(stdoutCopy);
    reader.join();
}

} // namespace
