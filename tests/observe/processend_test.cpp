#include "fescue/observe/log.h"
#include "fescue/observe/processmemory.h"
#include "fescue/observe/uncaughtexceptions.h"

#include <csignal>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace {

using namespace fescue;
using namespace fescue::observe;

// A thread whose exception nothing catches, as in a process that has no other log.
void failInThread()
{
    initLog("entry-1", LogLevel::Info);
    logUncaughtExceptions();
    std::thread([] { throw std::runtime_error("scripted failure"); }).join();
}

// Guards against a process that ends without telling why.
TEST(ProcessEndDeathTest, TextOfAnUncaughtExceptionIsWritten)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(failInThread(), testing::KilledBySignal(SIGABRT),
                "uncaught exception: scripted failure");
}

// Guards against an end whose line is missing in the log.
TEST(ProcessEndDeathTest, TextOfAnUncaughtExceptionIsLogged)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(
        {
            dup2(STDERR_FILENO, STDOUT_FILENO);
            failInThread();
        },
        testing::KilledBySignal(SIGABRT),
        "level=error process=entry-1 event=uncaught-exception reason=\"scripted failure\"");
}

TEST(ProcessMemory, ReadsTheSystemsFile)
{
    const ProcessMemory memory = parseProcessMemory("Name:\tfescue-edge\nVmPeak:\t  900000 kB\n"
                                                    "VmHWM:\t   52344 kB\nVmRSS:\t   48120 kB\n");
    EXPECT_EQ(memory.residentKilobytes, 48120U);
    EXPECT_EQ(memory.peakKilobytes, 52344U);
    EXPECT_EQ(parseProcessMemory("").residentKilobytes, 0U);
    EXPECT_EQ(parseProcessMemory("A:\nVmRSS:").residentKilobytes, 0U);
    EXPECT_GT(processMemory().residentKilobytes, 0U);
}

} // namespace
