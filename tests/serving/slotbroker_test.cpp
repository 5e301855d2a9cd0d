#include "fescue/serving/slotbroker.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName desk("desk");
const EndpointName other("other");

SlotEndpoint endpoint(const EndpointName &name, std::uint32_t slots)
{
    return {name, ZoneName("north"), slots, false};
}

// The broker of a service, with the asks of many processes.
class SlotBrokers : public testing::Test
{
protected:
    void useEndpoints(std::initializer_list<SlotEndpoint> endpoints)
    {
        const std::vector<SlotEndpoint> list(endpoints);
        broker.setEndpoints(list);
    }

    SlotAsk makeAsk(std::uint64_t number, const char *account = "a", int priority = 2,
                    Millis patience = 800_ms) const
    {
        return {{MemberName("entry-" + std::to_string(number % 67)), {1}, number},
                ZoneName("north"),
                AccountName(account),
                priority,
                patience,
                1_s,
                {},
                {}};
    }

    // Returns the last answer to a request among these.
    static std::optional<SlotAnswer> find(const std::vector<SlotAnswer> &answers,
                                          std::uint64_t number)
    {
        std::optional<SlotAnswer> found;
        for (const SlotAnswer &answer : answers) {
            if (answer.key.number == number)
                found = answer;
        }
        return found;
    }

    SlotVerdict verdict(std::uint64_t number, const char *account = "a", int priority = 2,
                        Millis patience = 800_ms)
    {
        return find(broker.ask(now, makeAsk(number, account, priority, patience)), number)->verdict;
    }

    std::vector<SlotAnswer> giveBack(std::uint64_t number, SlotUse use = SlotUse::Served,
                                     Millis took = 30_ms)
    {
        return broker.giveBack(now, {makeAsk(number).key, use, took});
    }

    // Asks until `n` requests wait; returns the number of the first that does.
    std::uint64_t fill(std::size_t n, const char *account = "a")
    {
        std::uint64_t first = 0;
        while (broker.waiting() < n) {
            if (verdict(next, account) == SlotVerdict::Waiting && first == 0)
                first = next;
            ++next;
        }
        return first;
    }

    // Makes `other` an endpoint that has failed its last requests.
    void makeOtherFail()
    {
        for (int n = 0; n < 30; ++n) {
            SlotAsk ask = makeAsk(next);
            ask.excluded = {desk};
            static_cast<void>(broker.ask(now, ask));
            static_cast<void>(giveBack(next++, SlotUse::Failed));
        }
    }

    // Returns true if an endpoint has a free slot.
    bool freeAt(const EndpointName &name)
    {
        SlotAsk ask = makeAsk(next);
        ask.excluded = {name == desk ? other : desk};
        const bool isFree = find(broker.ask(now, ask), next)->verdict == SlotVerdict::Granted;
        static_cast<void>(giveBack(next++, SlotUse::Unused));
        return isFree;
    }

    SlotBroker broker;
    Millis now {1000};
    std::uint64_t next = 1;
};

// The callers of 67 processes press on one endpoint of 6 slots with a queue of 24.
TEST_F(SlotBrokers, ProcessesTogetherUseNoMoreThanTheLimit)
{
    useEndpoints({endpoint(desk, 6)});
    fill(5);
    EXPECT_GE(broker.granted(), 6U);
    EXPECT_LE(broker.granted(), 9U);
    EXPECT_LE(static_cast<double>(broker.granted()), broker.limitOf(desk));
}

TEST_F(SlotBrokers, FreedSlotGoesToTheMostUrgentRequest)
{
    useEndpoints({endpoint(desk, 6)});
    fill(5);
    EXPECT_EQ(verdict(1000, "b", 0), SlotVerdict::Waiting);
    const std::vector<SlotAnswer> answers = giveBack(1);
    ASSERT_FALSE(answers.empty());
    EXPECT_EQ(answers.front().key.number, 1000U);
    EXPECT_EQ(answers.front().verdict, SlotVerdict::Granted);
}

// One account sends many times its usual.
TEST_F(SlotBrokers, SmallAccountDoesNotWaitBehindALargeOne)
{
    useEndpoints({endpoint(desk, 6)});
    fill(20, "large");
    EXPECT_EQ(verdict(1000, "small"), SlotVerdict::Waiting);
    std::size_t before = 0;
    for (std::uint64_t held = 1; held <= 3 && !find(giveBack(held), 1000); ++held)
        ++before;
    EXPECT_LE(before, 1U);
}

TEST_F(SlotBrokers, RequestWhoseTurnComesTooLateIsRefusedAtOnce)
{
    useEndpoints({endpoint(desk, 6)});
    fill(40);
    EXPECT_EQ(verdict(1000, "a", 2, 100_ms), SlotVerdict::Refused);
    EXPECT_EQ(verdict(1001, "a", 2, 2_s), SlotVerdict::Waiting);
}

// A queue that is never empty makes every request late, and serves no more of them.
TEST_F(SlotBrokers, RequestIsRefusedIfItWouldWaitLongerThanItsTargetLatency)
{
    useEndpoints({endpoint(desk, 6)});
    fill(60);
    SlotAsk ask = makeAsk(1000, "a", 2, 5_s);
    ask.target = 150_ms;
    EXPECT_EQ(find(broker.ask(now, ask), 1000)->verdict, SlotVerdict::Refused);
}

// An endpoint becomes two and a half times slower for a moment.
TEST_F(SlotBrokers, RequestThatWouldBeLateGivesWayToOthers)
{
    useEndpoints({endpoint(desk, 6)});
    const std::uint64_t first = fill(1);
    SlotAsk late = makeAsk(1000, "a", 2, 5_s);
    late.target = 150_ms;
    static_cast<void>(giveBack(first, SlotUse::Unused));
    EXPECT_EQ(find(broker.ask(now, late), 1000)->verdict, SlotVerdict::Waiting);
    now += 300_ms;
    const std::vector<SlotAnswer> answers = broker.ask(now, makeAsk(1001, "a", 2, 2_s));
    EXPECT_EQ(find(answers, 1000)->verdict, SlotVerdict::Refused);
    EXPECT_EQ(find(answers, 1001)->verdict, SlotVerdict::Waiting);
}

TEST_F(SlotBrokers, RequestThatHasWaitedTooLongIsRefused)
{
    useEndpoints({endpoint(desk, 6)});
    const std::uint64_t waits = fill(1);
    now += 790_ms;
    const std::optional<SlotAnswer> answer = find(broker.expire(now), waits);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->verdict, SlotVerdict::Refused);
    EXPECT_EQ(broker.waiting(), 0U);
}

TEST_F(SlotBrokers, RejectionsLowerTheLimitAndAnswersRaiseItWithinBounds)
{
    useEndpoints({endpoint(desk, 6)});
    for (int n = 0; n < 20; ++n) {
        fill(1);
        const double before = broker.limitOf(desk);
        now += 200_ms;
        static_cast<void>(broker.ask(now, makeAsk(next)));
        static_cast<void>(giveBack(next++, SlotUse::Rejected));
        EXPECT_LE(broker.limitOf(desk), before);
        EXPECT_GE(broker.limitOf(desk), 3);
        now += 2_s;
        static_cast<void>(broker.expire(now));
    }
    for (std::uint64_t n = 0; n < 500; ++n) {
        fill(8);
        const std::uint64_t number = next++;
        static_cast<void>(broker.ask(now, makeAsk(number)));
        now += 1_s;
        static_cast<void>(broker.expire(now));
    }
    EXPECT_LE(broker.limitOf(desk), 9);
}

// A datagram with a returned slot is lost, or its process is killed.
TEST_F(SlotBrokers, SlotsThatAreNotGivenBackAreFreeAfterTheDeadline)
{
    useEndpoints({endpoint(desk, 6)});
    const std::uint64_t waits = fill(1);
    const std::size_t held = broker.granted();
    now += 1100_ms;
    static_cast<void>(broker.expire(now));
    EXPECT_EQ(broker.granted(), 0U);
    EXPECT_EQ(verdict(waits + 1000), SlotVerdict::Granted);
    EXPECT_GT(held, 0U);
}

TEST_F(SlotBrokers, RepeatedRequestIsAnsweredAsBefore)
{
    useEndpoints({endpoint(desk, 6)});
    EXPECT_EQ(verdict(1), SlotVerdict::Granted);
    EXPECT_EQ(verdict(1), SlotVerdict::Granted);
    EXPECT_EQ(broker.granted(), 1U);
    const std::uint64_t waits = fill(1);
    EXPECT_EQ(verdict(waits), SlotVerdict::Waiting);
    EXPECT_EQ(broker.waiting(), 1U);
}

TEST_F(SlotBrokers, RequestThatIsTakenBackNoLongerWaits)
{
    useEndpoints({endpoint(desk, 6)});
    const std::uint64_t waits = fill(1);
    EXPECT_TRUE(giveBack(waits, SlotUse::Unused).empty());
    EXPECT_EQ(broker.waiting(), 0U);
}

// An endpoint fails a third of its requests while its health checks pass.
TEST_F(SlotBrokers, EndpointThatFailsRequestsGetsFew)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    int toGrey = 0;
    int failed = 0;
    for (std::uint64_t n = 1; n <= 300; ++n) {
        now += 8_ms;
        const std::optional<SlotAnswer> answer = find(broker.ask(now, makeAsk(n)), n);
        ASSERT_EQ(answer->verdict, SlotVerdict::Granted);
        const bool isGrey = answer->endpoint == other;
        toGrey += isGrey ? 1 : 0;
        const bool fails = isGrey && toGrey % 3 == 0;
        failed += fails ? 1 : 0;
        static_cast<void>(giveBack(n, fails ? SlotUse::Failed : SlotUse::Served));
    }
    EXPECT_LT(toGrey, 60);
    EXPECT_LT(failed, 20);
}

TEST_F(SlotBrokers, SlowEndpointGetsLess)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    std::deque<std::pair<Millis, std::uint64_t>> toDesk;
    std::deque<std::pair<Millis, std::uint64_t>> toOther;
    std::size_t slow = 0;
    for (std::uint64_t n = 1; n <= 1000; ++n) {
        now += 8_ms;
        for (std::deque<std::pair<Millis, std::uint64_t>> *used : {&toDesk, &toOther}) {
            while (!used->empty() && used->front().first <= now) {
                const Millis took = used == &toOther ? 90_ms : 30_ms;
                static_cast<void>(giveBack(used->front().second, SlotUse::Served, took));
                used->pop_front();
            }
        }
        const std::optional<SlotAnswer> answer = find(broker.ask(now, makeAsk(n)), n);
        if (answer->verdict != SlotVerdict::Granted)
            continue;
        const bool isSlow = answer->endpoint == other;
        slow += isSlow ? 1 : 0;
        (isSlow ? toOther : toDesk).emplace_back(now + (isSlow ? 90_ms : 30_ms), n);
    }
    EXPECT_LT(slow, 300U);
}

// One endpoint fails most requests, and a crowd fills the other one.
TEST_F(SlotBrokers, RequestThatWouldWaitTooLongTakesALessSuitableSlot)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    makeOtherFail();
    SlotAsk ask = makeAsk(next, "a", 2, 5_s);
    ask.target = 40_ms;
    while (broker.waiting() < 12) {
        SlotAsk before = makeAsk(next++, "a", 2, 5_s);
        before.excluded = {other};
        static_cast<void>(broker.ask(now, before));
    }
    ask.key = makeAsk(next).key;
    const std::optional<SlotAnswer> answer = find(broker.ask(now, ask), next);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->verdict, SlotVerdict::Granted);
    EXPECT_EQ(answer->endpoint, other);
}

// A request waits for the better endpoint for longer than it may, beside another one that does.
TEST_F(SlotBrokers, RequestThatHasWaitedTooLongTakesTheSlotThatWasFreeAllAlong)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    makeOtherFail();
    while (broker.waiting() < 2) {
        SlotAsk before = makeAsk(next++, "a", 2, 5_s);
        before.excluded = {other};
        static_cast<void>(broker.ask(now, before));
    }
    SlotAsk ask = makeAsk(next, "a", 2, 5_s);
    ask.target = 200_ms;
    ASSERT_EQ(find(broker.ask(now, ask), next)->verdict, SlotVerdict::Waiting);
    now += 300_ms;
    const std::optional<SlotAnswer> answer = find(broker.expire(now), next);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->verdict, SlotVerdict::Granted);
    EXPECT_EQ(answer->endpoint, other);
}

// The same crowd; the first of those that wait must not use the endpoint with free slots.
TEST_F(SlotBrokers, RequestThatWaitsForOneEndpointDoesNotBlockTheSlotsOfOthers)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    for (; freeAt(desk); ++next) {
        SlotAsk ask = makeAsk(next);
        ask.excluded = {other};
        static_cast<void>(broker.ask(now, ask));
    }
    SlotAsk first = makeAsk(next++, "a", 0);
    first.excluded = {other};
    EXPECT_EQ(find(broker.ask(now, first), first.key.number)->verdict, SlotVerdict::Waiting);
    const SlotAsk second = makeAsk(next++, "a", 0);
    const std::optional<SlotAnswer> answer = find(broker.ask(now, second), second.key.number);
    EXPECT_EQ(answer->verdict, SlotVerdict::Granted);
    EXPECT_EQ(answer->endpoint, other);
}

// A request that may have run must not go to the same endpoint again, and a cold endpoint gets no
// more than each process' share.
TEST_F(SlotBrokers, ExcludedEndpointIsNeverGranted)
{
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    SlotAsk ask = makeAsk(1);
    ask.excluded = {desk};
    EXPECT_EQ(find(broker.ask(now, ask), 1)->endpoint, other);
    ask = makeAsk(2);
    ask.excluded = {desk, other};
    EXPECT_EQ(find(broker.ask(now, ask), 2)->verdict, SlotVerdict::Refused);
}

// All datagrams with which a process returns its slots are lost.
TEST_F(SlotBrokers, SlotsThatTheirProcessNoLongerHoldsAreFreeWithItsReport)
{
    useEndpoints({endpoint(desk, 6)});
    const MemberName holder("entry");
    for (std::uint64_t n = 1; n <= 6; ++n) {
        SlotAsk ask = makeAsk(n);
        ask.key = {holder, {n <= 2 ? 1U : 2U}, n};
        static_cast<void>(broker.ask(now, ask));
    }
    const std::uint64_t waits = fill(1);
    const std::size_t before = broker.granted();
    // Life 1 is over; 3 was returned, 4 is held, 5 and 6 were asked for after the report.
    const std::vector<SlotAnswer> answers = broker.reconcile(now, {{holder, {2}, 5}, {4}});
    EXPECT_EQ(find(answers, waits)->verdict, SlotVerdict::Granted);
    EXPECT_EQ(broker.granted(), before - 3 + 1);
    EXPECT_TRUE(broker.reconcile(now, {{holder, {2}, 5}, {4}}).empty());
    EXPECT_EQ(broker.granted(), before - 3 + 1);
}

TEST_F(SlotBrokers, RequestsThatTheirProcessHasGivenUpNoLongerWait)
{
    useEndpoints({endpoint(desk, 6)});
    fill(1);
    SlotAsk ask = makeAsk(1000);
    EXPECT_EQ(find(broker.ask(now, ask), 1000)->verdict, SlotVerdict::Waiting);
    SlotKey after = ask.key;
    after.number = 1001;
    static_cast<void>(broker.reconcile(now, {after, {}}));
    EXPECT_EQ(broker.waiting(), 1U);
}

// A process sends without end, with deadlines far away.
TEST_F(SlotBrokers, NumberOfWaitingRequestsIsBounded)
{
    useEndpoints({endpoint(desk, 6)});
    for (std::uint64_t n = 1; n <= 6000; ++n) {
        SlotAsk ask = makeAsk(n, "a", 2, 86'400_s);
        ask.target = 86'400_s;
        static_cast<void>(broker.ask(now, ask));
    }
    EXPECT_LE(broker.waiting(), 4096U);
}

// Endpoints that go and come back keep nothing of what was lost with them.
TEST_F(SlotBrokers, WaitingRequestsGoToAnEndpointThatIsAdded)
{
    useEndpoints({endpoint(desk, 6)});
    const std::uint64_t waits = fill(1);
    useEndpoints({endpoint(desk, 6), endpoint(other, 6)});
    const std::optional<SlotAnswer> answer = find(broker.expire(now), waits);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->endpoint, other);
}

} // namespace
