#include "fescue/serving/resumptionplan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

Route makeRoute(bool isResumable, std::uint32_t maxAttempts = 2)
{
    Route route;
    route.kind = RouteKind::Streaming;
    route.targetLatency = 1500_ms;
    route.targetEventGap = 180_ms;
    route.maxAttempts = maxAttempts;
    route.isResumable = isResumable;
    return route;
}

CallerRequest makeCaller(std::string lastEventId)
{
    CallerRequest caller;
    caller.lastEventId = std::move(lastEventId);
    caller.generation = GenerationSize {100, 8, {}};
    return caller;
}

std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

EventSplitter splitterAfter(std::optional<std::uint64_t> position, const std::string &text)
{
    EventSplitter events;
    events.beginAfter(position);
    EXPECT_TRUE(events.feed(text));
    return events;
}

TEST(ResumptionPlan, CallersPositionIsTakenOnlyWhereTheStreamCanBeginThere)
{
    const Route resumable = makeRoute(true);
    EXPECT_EQ(requestedPosition(resumable, makeCaller("")).value(), std::nullopt);
    EXPECT_EQ(requestedPosition(resumable, makeCaller("0")).value(), 0U);
    EXPECT_EQ(requestedPosition(resumable, makeCaller("8")).value(), 8U);
    for (const char *bad : {"9", "x", "-1", "3x", " 3", "1.5", "18446744073709551616"}) {
        const Result<std::optional<std::uint64_t>> position =
            requestedPosition(resumable, makeCaller(bad));
        ASSERT_FALSE(position) << bad;
        EXPECT_EQ(position.error().code, ResultCode::BadEventId) << bad;
    }
}

// Guards against a stream from the beginning for a caller that has pieces of another run.
TEST(ResumptionPlan, PositionOnARouteWithoutResumptionIsAnError)
{
    EXPECT_FALSE(requestedPosition(makeRoute(false), makeCaller("3")));
    Route plain = makeRoute(false);
    plain.kind = RouteKind::Idempotent;
    EXPECT_EQ(requestedPosition(plain, makeCaller("x")).value(), std::nullopt);
}

TEST(ResumptionPlan, PartIsWholeOnlyIfNothingSpeaksAgainstIt)
{
    const ResumptionPlan fresh(makeRoute(true), std::nullopt);
    const ResumptionPlan later(makeRoute(true), 2);
    const EventSplitter whole = splitterAfter(std::nullopt, event(1));
    const EventSplitter cut = splitterAfter(std::nullopt, event(1) + "id: 2\nda");
    const EventSplitter nothing = splitterAfter(2, "");
    for (const bool endsWithConnection : {true, false}) {
        EXPECT_EQ(fresh.endOfPart(whole, endsWithConnection), StreamEnd::Complete);
        EXPECT_EQ(fresh.endOfPart(cut, endsWithConnection), StreamEnd::EngineLost);
        EXPECT_EQ(fresh.endOfPart(EventSplitter(), endsWithConnection), StreamEnd::EngineLost);
    }
    // The caller had the last event already.
    EXPECT_EQ(later.endOfPart(nothing, false), StreamEnd::Complete);
    EXPECT_EQ(later.endOfPart(nothing, true), StreamEnd::EngineLost);
}

// Guards against a stream that looks complete because an engine ended before the first event of its
// part.
TEST(ResumptionPlan, PartWithoutEventsThatEndsWithItsConnectionIsNotWhole)
{
    const ResumptionPlan resumption(makeRoute(true), std::nullopt);
    EventSplitter events = splitterAfter(std::nullopt, event(1) + event(2));
    events.resume();
    EXPECT_EQ(resumption.endOfPart(events, true), StreamEnd::EngineLost);
    EXPECT_EQ(resumption.endOfPart(events, false), StreamEnd::Complete);
}

TEST(ResumptionPlan, OnlyResumableStreamsGoOnAfterSilenceAndDisorder)
{
    const ResumptionPlan resumable(makeRoute(true), std::nullopt);
    const ResumptionPlan other(makeRoute(false), std::nullopt);
    for (const StreamEnd end : {StreamEnd::EngineSilent, StreamEnd::Malformed}) {
        EXPECT_TRUE(resumable.isBreak(end));
        EXPECT_FALSE(other.isBreak(end));
    }
    // A copy of the memory may go on.
    EXPECT_TRUE(other.isBreak(StreamEnd::EngineLost));
    for (const StreamEnd end :
         {StreamEnd::Complete, StreamEnd::CallerGone, StreamEnd::DeadlinePassed})
        EXPECT_FALSE(resumable.isBreak(end));
    EXPECT_EQ(other.silenceLimit(), std::nullopt);
}

TEST(ResumptionPlan, SilenceLimitLeavesTimeBeforeCallersAbandonTheStream)
{
    Route route = makeRoute(true);
    EXPECT_EQ(ResumptionPlan(route, {}).silenceLimit(), 3_s);
    route.targetLatency = 100_ms;
    EXPECT_EQ(ResumptionPlan(route, {}).silenceLimit(), 1_s);
    route.targetEventGap = 1_s;
    EXPECT_EQ(ResumptionPlan(route, {}).silenceLimit(), 4_s);
}

TEST(ResumptionPlan, EnginesThatEndedDoNotCountAgainstTheLimit)
{
    const auto alive = [](const EndpointIncarnation &) { return false; };
    const auto firstEnded = [](const EndpointIncarnation &engine) {
        return engine.endpoint == EndpointName("e1");
    };
    ResumptionPlan resumption(makeRoute(true, 2), std::nullopt);
    const auto run = [&resumption](const char *engine) {
        static_cast<void>(resumption.policy().verdictAfter(SendOutcome::Succeeded, 1_s,
                                                           [](RetryPurpose) { return true; }));
        resumption.recordEngine({EndpointName(engine), {}});
    };
    run("e1");
    EXPECT_TRUE(resumption.mayRunAgain(1_s, alive));
    EXPECT_FALSE(resumption.mayRunAgain(5_ms, alive));
    run("e2");
    EXPECT_FALSE(resumption.mayRunAgain(1_s, alive));
    EXPECT_TRUE(resumption.mayRunAgain(1_s, firstEnded));
    run("e3");
    EXPECT_FALSE(resumption.mayRunAgain(1_s, firstEnded));
    ResumptionPlan other(makeRoute(false, 5), std::nullopt);
    EXPECT_FALSE(other.mayRunAgain(1_s, firstEnded));
}

// Guards against engines that are lost one after the other to a prompt that crashes them in
// mid-stream.
TEST(ResumptionPlan, RequestThatManyEnginesDoNotSurviveIsNotRunAgain)
{
    const auto ended = [](const EndpointIncarnation &) { return true; };
    ResumptionPlan resumption(makeRoute(true, 1), std::nullopt);
    std::uint32_t runs = 0;
    do {
        ++runs;
        static_cast<void>(resumption.policy().verdictAfter(SendOutcome::Succeeded, 1_s,
                                                           [](RetryPurpose) { return true; }));
        resumption.recordEngine({EndpointName("e"), {}});
    } while (runs < 10 && resumption.mayRunAgain(1_s, ended));
    EXPECT_EQ(runs, 1 + ResumptionPlan::maxEndedEngines);
}

// What an engine does with a request: what it begins with, how much it sends, and how it ends.
struct EngineScript
{
    bool startsAnew = false;
    bool leavesGap = false;
    bool hasFraming = true;
    bool endsOrderly = true;
    bool isSilent = false;
    SendOutcome outcome = SendOutcome::Succeeded;
    std::uint64_t pieces = 0;
    std::size_t bytesOfNext = 0;
    bool hasEnded = false;
};

EngineScript drawEngine(std::uint64_t length)
{
    EngineScript script;
    script.startsAnew = *rc::gen::arbitrary<bool>();
    script.leavesGap = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
    script.hasFraming = *rc::gen::arbitrary<bool>();
    script.isSilent = *rc::gen::arbitrary<bool>();
    script.outcome = *rc::gen::weightedElement<SendOutcome>({{8, SendOutcome::Succeeded},
                                                             {1, SendOutcome::Failed},
                                                             {1, SendOutcome::NotRun},
                                                             {1, SendOutcome::NotSent},
                                                             {1, SendOutcome::Lost},
                                                             {1, SendOutcome::TimedOut}});
    script.pieces = *rc::gen::inRange<std::uint64_t>(0, length + 1);
    script.bytesOfNext = *rc::gen::inRange<std::size_t>(0, event(1).size());
    script.hasEnded = *rc::gen::arbitrary<bool>();
    // An end in order between two events is one of the whole stream, by the protocol.
    script.endsOrderly = script.bytesOfNext > 0 || script.pieces == 0;
    return script;
}

// A caller and the engines that serve it, with nothing between them but the decisions.
struct Conversation
{
    std::uint64_t length = 0;
    Route route;
    int retriesLeft = 0;
    std::vector<std::uint64_t> received;
    bool isComplete = false;

    // Serves one request of the caller, which names its last event if it has any.
    void serve()
    {
        const std::uint64_t has = received.empty() ? 0 : received.back();
        const CallerRequest caller = makeCaller(has == 0 ? "" : std::to_string(has));
        const std::optional<std::uint64_t> position = requestedPosition(route, caller).value();
        ResumptionPlan resumption(route, position);
        EventSplitter events;
        events.beginAfter(position);
        bool isEnded = false;
        const auto hasEnded = [&isEnded](const EndpointIncarnation &) { return isEnded; };
        bool goesOn = begin(resumption, events, isEnded);
        while (goesOn) {
            const StreamEnd end = m_end;
            isComplete = end == StreamEnd::Complete;
            goesOn =
                resumption.isBreak(end) && resumption.mayRunAgain(1_s, hasEnded) && takeRetry();
            if (!goesOn)
                break;
            events.resume();
            goesOn = begin(resumption, events, isEnded);
        }
    }

private:
    bool takeRetry() { return retriesLeft-- > 0; }

    // Sends the request to engines until one serves a part of the stream. Returns false if none
    // does.
    bool begin(ResumptionPlan &resumption, EventSplitter &events, bool &isEnded)
    {
        while (true) {
            const EngineScript script = drawEngine(length);
            const AttemptVerdict verdict = resumption.policy().verdictAfter(
                script.outcome, 1_s, [this](RetryPurpose) { return takeRetry(); });
            resumption.recordEngine({EndpointName("e"), {}});
            isEnded = script.hasEnded;
            if (script.outcome == SendOutcome::Succeeded) {
                m_end = forwardPart(script, resumption, events);
                return true;
            }
            if (verdict != AttemptVerdict::TryAnother)
                return false;
        }
    }

    StreamEnd forwardPart(const EngineScript &script, const ResumptionPlan &resumption,
                          EventSplitter &events)
    {
        const std::uint64_t last = events.lastId().value_or(0);
        // An engine that leaves out the last piece cannot be told from one that has none left.
        const bool leavesGap = script.leavesGap && last + 1 < length;
        const std::uint64_t from = script.startsAnew ? 0 : last + (leavesGap ? 1 : 0);
        std::string text;
        std::uint64_t id = from;
        while (id < length && id - from < script.pieces)
            text += event(++id);
        const bool isWhole = id >= length;
        if (!isWhole)
            text += event(id + 1).substr(0, script.bytesOfNext);
        const bool isSound = events.feed(text);
        take(events);
        if (!isSound)
            return StreamEnd::Malformed;
        if (!isWhole && script.isSilent)
            return StreamEnd::EngineSilent;
        // A stream with a framing is cut without its end; one without may end in order.
        const bool isCut = !isWhole && (script.hasFraming || !script.endsOrderly);
        return isCut ? StreamEnd::EngineLost : resumption.endOfPart(events, !script.hasFraming);
    }

    // Passes the whole events on to the caller.
    void take(EventSplitter &events)
    {
        std::string expected;
        while (expected.size() < events.ready().size()) {
            received.push_back(received.size() + 1);
            expected += event(received.back());
        }
        RC_ASSERT(events.ready() == expected);
        events.clearReady();
    }

    StreamEnd m_end = StreamEnd::EngineLost;
};

// The caller gets the pieces 1 to n, each once and in order, or a stream that visibly broke off,
// whatever its engines do and however often it comes back.
RC_GTEST_PROP(ResumptionPlanProperty, CallerGetsEachPieceOnceOrSeesTheBreak, ())
{
    Conversation conversation;
    conversation.length = *rc::gen::inRange<std::uint64_t>(1, 8);
    conversation.route = makeRoute(true, *rc::gen::inRange<std::uint32_t>(1, 5));
    conversation.retriesLeft = *rc::gen::inRange(0, 6);
    for (int n = 0; n < 4 && !conversation.isComplete; ++n)
        conversation.serve();
    RC_ASSERT(conversation.received.size() <= conversation.length);
    RC_ASSERT(!conversation.isComplete || conversation.received.size() == conversation.length);
    RC_CLASSIFY(conversation.isComplete, "complete");
}

} // namespace
