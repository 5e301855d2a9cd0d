#include "tests/lifecycle/edgesystem.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace fescue::test {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;
constexpr std::size_t largeBytes = 4 * megabyte;
constexpr std::size_t memoryMegabytes = 110;
// Part of the limit that a process may reach.
constexpr double mostOfLimit = 0.8;
constexpr std::size_t smallCallers = 8;
// Each of the loads must be served in part, not refused altogether.
constexpr std::size_t leastServed = 4;

struct CallTally
{
    std::size_t served = 0;
    std::size_t refused = 0;
    // Refusals that state no time for another try.
    std::size_t withoutRetryTime = 0;
    // Refusals of requests that have run.
    std::size_t falseRefusals = 0;
    // Every other end.
    std::size_t failed = 0;
    // Of these, the ones without an answer.
    std::size_t cut = 0;
    Millis longest {0};
};

CallTally tallyOf(const EdgeSystem &system, const std::vector<CallRecord> &calls)
{
    CallTally tally;
    for (const CallRecord &call : calls) {
        const bool isServed = call.end == CallEnd::Answered && call.status == 200;
        tally.served += isServed;
        tally.refused += call.isRefusal();
        tally.withoutRetryTime += call.isRefusal() && call.retryAfter.empty();
        tally.falseRefusals += call.isRefusal() && system.runOf(call.id).has_value();
        tally.failed += !isServed && !call.isRefusal();
        tally.cut += call.end != CallEnd::Answered;
        tally.longest = std::max(tally.longest, call.endedAt - call.sentAt);
    }
    return tally;
}

std::string textOf(const CallTally &tally)
{
    return "served " + std::to_string(tally.served) + ", refused " + std::to_string(tally.refused)
        + ", failed " + std::to_string(tally.failed) + ", cut " + std::to_string(tally.cut)
        + ", longest " + std::to_string(tally.longest.count) + " ms";
}

// Sends one call of each of many callers at the same time.
std::vector<CallRecord> callTogether(const net::Address &address, std::size_t callers,
                                     const CallOptions &options)
{
    std::vector<CallRecord> records(callers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            RawCaller caller(address);
            records[i] = caller.call("large-" + std::to_string(i), options);
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return records;
}

// Whether every large call must be served or refused, or only answered.
enum class LargeCalls : std::uint8_t
{
    ServedOrRefused,
    Answered,
};

// Many large calls at once beside small ones: the process must stay under its limit and serve all
// of the small ones; a large one is served or told that it has not run.
void expectBoundedMemory(std::string_view name, const CallOptions &options, std::size_t answerBytes,
                         LargeCalls expected = LargeCalls::ServedOrRefused)
{
    for (const std::size_t callers : {16U, 64U, 256U}) {
        SCOPED_TRACE(std::to_string(callers) + " callers");
        EdgeSystem system(name, 1, {.memoryMegabytes = memoryMegabytes});
        system.setReadAnswerBytes(answerBytes);
        system.startAll();
        CallerCrowd smallCrowd(system.entry(0).front(), smallCallers, {});
        sleepThread(300_ms);
        const std::vector<CallRecord> large =
            callTogether(system.entry(0).front(), callers, options);
        sleepThread(300_ms);
        const CallTally smallTally = tallyOf(system, smallCrowd.stop());
        const CallTally largeTally = tallyOf(system, large);
        const std::uint64_t peak = system.entry(0).peakResidentBytes();
        std::cout << callers << " callers: peak " << peak / megabyte
                  << " MB; large: " << textOf(largeTally) << "; small: " << textOf(smallTally)
                  << '\n';
        EXPECT_GT(peak, 0U) << "the process has ended";
        EXPECT_LT(static_cast<double>(peak), mostOfLimit * memoryMegabytes * megabyte);
        EXPECT_GE(largeTally.served, leastServed);
        EXPECT_EQ(largeTally.cut, 0U);
        if (expected == LargeCalls::ServedOrRefused)
            EXPECT_EQ(largeTally.failed, 0U);
        EXPECT_EQ(largeTally.falseRefusals, 0U);
        EXPECT_EQ(largeTally.withoutRetryTime, 0U);
        EXPECT_GT(smallTally.served, 0U);
        EXPECT_EQ(smallTally.refused, 0U);
        EXPECT_EQ(smallTally.failed, 0U);
    }
}

} // namespace

// Guards against a process that grows over its VM's limit, and is ended, because many callers send
// large bodies at the same time.
TEST(Memory, LargeBodiesStayWithinTheLimit)
{
    CallOptions options;
    options.bodyBytes = largeBytes;
    expectBoundedMemory("memory-bodies", options, 0);
}

// Guards against the same for callers that send slowly, so that all bodies are held for long.
TEST(Memory, LargeSlowBodiesStayWithinTheLimit)
{
    CallOptions options;
    options.bodyBytes = largeBytes;
    options.pauseInBody = 600_ms;
    expectBoundedMemory("memory-slow-bodies", options, 0);
}

// Guards against the same for large answers that their callers take late.
TEST(Memory, LargeAnswersToSlowReadersStayWithinTheLimit)
{
    CallOptions options;
    options.isIdempotent = true;
    options.pauseBeforeReading = 600_ms;
    expectBoundedMemory("memory-answers", options, largeBytes);
}

// Guards against a process over its limit, and against small calls that fail, where there are more
// large answers than can be held until the deadlines of their callers.
TEST(Memory, LargeAnswersBeyondTheirMemoryHarmNoSmallCalls)
{
    CallOptions options;
    options.isIdempotent = true;
    options.pauseBeforeReading = 600_ms;
    expectBoundedMemory("memory-answers", options, largeBytes, LargeCalls::Answered);
}

} // namespace fescue::test
