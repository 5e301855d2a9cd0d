#include "fescue/serving/eventsplitter.h"

#include <gtest/gtest.h>
#include <string>

namespace {

using namespace fescue::serving;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

TEST(EventSplitter, PassesWholeEventsUnchangedHoweverTheInputIsCut)
{
    const std::string stream = event(1) + "id: 2\r\ndata: y\r\n\r\n" + event(3);
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        EventSplitter splitter;
        ASSERT_TRUE(splitter.feed(stream.substr(0, cut)));
        std::string out(splitter.ready());
        splitter.clearReady();
        ASSERT_TRUE(splitter.feed(stream.substr(cut)));
        out += splitter.ready();
        EXPECT_EQ(out, stream);
        EXPECT_FALSE(splitter.midEvent());
        EXPECT_EQ(splitter.lastId(), 3U);
        EXPECT_EQ(splitter.events(), 3U);
    }
}

TEST(EventSplitter, HoldsBackAnIncompleteEvent)
{
    EventSplitter splitter;
    ASSERT_TRUE(splitter.feed(event(1) + "id: 2\nda"));
    EXPECT_EQ(splitter.ready(), event(1));
    EXPECT_TRUE(splitter.midEvent());
    EXPECT_EQ(splitter.lastId(), 1U);
}

TEST(EventSplitter, ResumedStreamContinuesAfterTheLastWholeEvent)
{
    EventSplitter splitter;
    ASSERT_TRUE(splitter.feed(event(1) + event(2) + "id: 3\nda"));
    splitter.clearReady();
    splitter.resume();
    ASSERT_TRUE(splitter.feed(event(2) + event(3) + event(4)));
    EXPECT_EQ(splitter.ready(), event(3) + event(4));
}

TEST(EventSplitter, GapAfterAResumeIsAnError)
{
    EventSplitter splitter;
    ASSERT_TRUE(splitter.feed(event(1)));
    splitter.resume();
    EXPECT_FALSE(splitter.feed(event(3)));
}

TEST(EventSplitter, StreamOfACallerThatCameBackBeginsAfterItsLastEvent)
{
    EventSplitter splitter;
    splitter.beginAfter(2);
    ASSERT_TRUE(splitter.feed(event(1) + event(2) + event(3) + event(4)));
    EXPECT_EQ(splitter.ready(), event(3) + event(4));
    EXPECT_EQ(splitter.events(), 2U);
    splitter.resume();
    EXPECT_EQ(splitter.eventsOfPart(), 0U);
    ASSERT_TRUE(splitter.feed(event(5)));
    EXPECT_EQ(splitter.eventsOfPart(), 1U);
}

// Guards against gaps and duplicates in a stream whose pieces a caller counts.
TEST(EventSplitter, IdsOfAResumableStreamFollowEachOther)
{
    for (const int next : {1, 2, 4}) {
        EventSplitter splitter;
        splitter.beginAfter(std::nullopt);
        ASSERT_TRUE(splitter.feed(event(1) + event(2)));
        EXPECT_FALSE(splitter.feed(event(next)));
        EXPECT_EQ(splitter.ready(), event(1) + event(2));
    }
}

// Guards against a stream that is joined from runs although its events cannot be told apart.
TEST(EventSplitter, DataWithoutAnIdIsAnErrorInAResumableStream)
{
    for (const std::string text : {"data: x\n\n", "event: e\r\ndata: x\r\n\r\n",
                                   // A field without a colon is an empty one.
                                   "data\n\n", "event: e\r\ndata\r\n\r\n"}) {
        EventSplitter splitter;
        splitter.beginAfter(std::nullopt);
        EXPECT_FALSE(splitter.feed(event(1) + text + event(2)));
        EXPECT_EQ(splitter.ready(), event(1));
    }
}

TEST(EventSplitter, CommentsOfAResumableStreamAreNoEvents)
{
    const std::string stream = ": first\n\n" + event(1) + "retry: 10\n\n" + event(2);
    EventSplitter splitter;
    splitter.beginAfter(std::nullopt);
    ASSERT_TRUE(splitter.feed(stream));
    EXPECT_EQ(splitter.ready(), stream);
    EXPECT_EQ(splitter.events(), 2U);
    EXPECT_EQ(splitter.lastId(), 2U);
}

// Guards against a stream that passes as whole although its first events are missing.
TEST(EventSplitter, ResumableStreamBeginsWithItsFirstEvent)
{
    EventSplitter splitter;
    splitter.beginAfter(std::nullopt);
    EXPECT_FALSE(splitter.feed(event(2) + event(3)));
    EXPECT_EQ(splitter.ready(), "");
    EXPECT_EQ(splitter.events(), 0U);
}

TEST(EventSplitter, OversizedEventIsAnError)
{
    EventSplitter splitter;
    EXPECT_FALSE(splitter.feed(std::string(EventSplitter::maxEventBytes + 1, 'x')));
}

} // namespace
