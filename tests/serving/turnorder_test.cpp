#include "fescue/serving/turnorder.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

TurnRequest requestWith(Millis queueDelay, Millis waited, Millis target = 4_s)
{
    TurnRequest request;
    request.waited = waited;
    request.held = waited;
    request.targetLatency = target;
    request.offer = {queueDelay, 400_ms};
    return request;
}

TEST(TurnOrder, MostUrgentRequestsNeverWaitForOthers)
{
    TurnRequest urgent = requestWith(2_s, 0_ms);
    urgent.mostUrgent = true;
    EXPECT_EQ(decideTurn(urgent), TurnStep::Start);
}

TEST(TurnOrder, OthersLeaveQueuedEnginesToTheUrgentOnes)
{
    EXPECT_EQ(decideTurn(requestWith(0_ms, 0_ms)), TurnStep::Start);
    EXPECT_EQ(decideTurn(requestWith(600_ms, 0_ms)), TurnStep::Wait);
}

// Answers one account that sends many times its usual: while prompts wait, it goes after the others
// of its priority, and no later than its own target allows.
TEST(TurnOrder, AccountsOverTheirShareGoAfterOthers)
{
    EXPECT_FALSE(isOverShare(1));
    EXPECT_TRUE(isOverShare(6));
    TurnRequest request = requestWith(300_ms, 400_ms);
    EXPECT_EQ(decideTurn(request), TurnStep::Start);
    request.overShare = true;
    EXPECT_EQ(decideTurn(request), TurnStep::Wait);
    // Nobody else waits: the unused share is theirs.
    EXPECT_EQ(decideTurn(requestWith(0_ms, 0_ms)), TurnStep::Start);
    request.waited = 3'500_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Start);
}

TEST(TurnOrder, WhoHasWaitedLongerGoesFirst)
{
    EXPECT_EQ(decideTurn(requestWith(400_ms, 100_ms)), TurnStep::Wait);
    EXPECT_EQ(decideTurn(requestWith(400_ms, 600_ms)), TurnStep::Start);
}

// A request is not held past the time at which its caller's target could still be met.
TEST(TurnOrder, NobodyWaitsBeyondTheTargetLatency)
{
    for (const Millis target : {300_ms, 1'500_ms, 4_s}) {
        for (Millis waited = 0_ms; waited <= target; waited += 50_ms) {
            const TurnRequest request = requestWith(5_s, waited, target);
            EXPECT_EQ(decideTurn(request), TurnStep::Start);
        }
    }
    EXPECT_EQ(decideTurn(requestWith(800_ms, 2'300_ms)), TurnStep::Start);
    EXPECT_EQ(decideTurn(requestWith(1'600_ms, 900_ms)), TurnStep::Wait);
}

// No room: a short wait, since generations end all the time, and then a refusal.
TEST(TurnOrder, RequestsWithoutRoomAreRefusedSoon)
{
    TurnRequest request;
    request.mostUrgent = true;
    request.targetLatency = 1'600_ms;
    request.held = 150_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Wait);
    request.held = 200_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Refuse);
    request.targetLatency = 0_ms;
    request.held = 0_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Refuse);
}

// Answers full engines at which callers come back beside new ones: room that becomes free goes to
// those who were refused before.
TEST(TurnOrder, WhoHasReturnedWaitsForRoomLongerThanNewRequests)
{
    TurnRequest request;
    request.targetLatency = 1'600_ms;
    request.held = 300_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Refuse);
    request.hasReturned = true;
    EXPECT_EQ(decideTurn(request), TurnStep::Wait);
    request.held = 800_ms;
    EXPECT_EQ(decideTurn(request), TurnStep::Refuse);
    request.offer = {0_ms, 400_ms};
    EXPECT_EQ(decideTurn(request), TurnStep::Start);
}

// Answers a burst of long prompts with a relaxed target beside short, urgent ones: one engine, more
// work than it can do for some seconds.
TEST(TurnOrder, UrgentRequestsStayOnTimeInABurstOfOthers)
{
    struct Waiting
    {
        Millis arrivedAt {0};
        bool mostUrgent = false;
    };
    constexpr Millis readTime = 200_ms;
    constexpr Millis tick = 20_ms;
    std::vector<Waiting> waiting;
    Millis engineFreeAt {0};
    int urgentOnTime = 0;
    int othersOnTime = 0;
    constexpr int perKind = 20;
    int urgentSent = 0;
    int othersSent = 0;
    for (Millis now {0}; now < 20_s; now += tick) {
        // The others arrive within one second; an urgent one comes every 400 ms.
        if (othersSent < perKind && now.count % 40 == 0) {
            waiting.push_back({now, false});
            ++othersSent;
        }
        if (urgentSent < perKind && now.count % 400 == 0) {
            waiting.push_back({now, true});
            ++urgentSent;
        }
        std::erase_if(waiting, [&](const Waiting &item) {
            const Millis target = item.mostUrgent ? 1'500_ms : 8_s;
            TurnRequest request;
            request.mostUrgent = item.mostUrgent;
            request.waited = now - item.arrivedAt;
            request.held = request.waited;
            request.targetLatency = target;
            request.offer = {std::max(engineFreeAt - now, 0_ms), readTime};
            if (decideTurn(request) != TurnStep::Start)
                return false;
            engineFreeAt = std::max(engineFreeAt, now) + readTime;
            const bool onTime = engineFreeAt - item.arrivedAt <= target;
            (item.mostUrgent ? urgentOnTime : othersOnTime) += onTime ? 1 : 0;
            return true;
        });
    }
    EXPECT_TRUE(waiting.empty());
    EXPECT_EQ(urgentOnTime, perKind);
    EXPECT_EQ(othersOnTime, perKind);
}

} // namespace
