#include "tests/soak/faultplan.h"
#include "tests/soak/ledger.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace fescue::soak {

namespace {

constexpr Millis start = 100_s;

// A ledger with one configuration, two engines and two plain endpoints, and nothing disturbed.
class LedgerTest : public ::testing::Test
{
protected:
    LedgerTest() : m_disturbances(2), m_ledger(m_disturbances)
    {
        m_ledger.configs.add(firstConfig(), 0_ms);
        for (const std::string_view service :
             {engineService, engineService, firstPlainService, secondPlainService}) {
            EndpointFacts facts;
            facts.id = "e-" + std::to_string(m_disturbances.endpoints.size());
            facts.service = service;
            facts.zone = "north";
            static_cast<void>(m_ledger.addEndpoint(facts));
            m_disturbances.endpoints.emplace_back();
        }
    }

    Call &send(CallKind kind, Millis at = start)
    {
        Call call;
        call.id = "c" + std::to_string(++m_calls);
        call.kind = kind;
        call.prefix = '/' + std::string(toString(kind)) + '/';
        call.key = "key-diner";
        call.sentAt = at;
        call.patience = 10_s;
        return m_ledger.callerSends(call);
    }

    void arrive(const Call &call, std::size_t endpoint, Millis at,
                std::string_view account = "diner")
    {
        static_cast<void>(m_ledger.arrives(call.id, endpoint, call.prefix, account, at));
    }

    // A stream that its engine has ended for a move is rejected by the other engine.
    void breakByRejection()
    {
        Call &call = send(CallKind::Draft);
        arrive(call, engine, start + 5_ms);
        m_ledger.ends(call, m_ledger.begins(call, engine, false, start + 5_ms), start + 300_ms);
        arrive(call, otherEngine, start + 310_ms);
        m_ledger.callerEnds(call, CallEnd::Broken, 0, start + 320_ms);
    }

    // The endpoint of reads says in a whole answer that it leaves; its caller gets `status`.
    void answerWithWord(int status)
    {
        Call &told = send(CallKind::Read);
        told.saidLeavingBy = readEndpoint;
        told.endpointStatus = 200;
        m_ledger.callerEnds(told, CallEnd::Answered, status, start);
    }

    // Names of the promises that were broken, each once.
    std::vector<std::string> broken()
    {
        m_ledger.judge();
        std::vector<std::string> names;
        for (const std::string &violation : m_ledger.violations())
            names.push_back(violation.substr(0, violation.find(':')));
        names.erase(std::unique(names.begin(), names.end()), names.end());
        return names;
    }

    using Names = std::vector<std::string>;

    static constexpr std::size_t engine = 0;
    static constexpr std::size_t otherEngine = 1;
    static constexpr std::size_t postEndpoint = 2;
    static constexpr std::size_t readEndpoint = 3;

    Disturbances m_disturbances;
    Ledger m_ledger;
    unsigned m_calls = 0;
};

} // namespace

TEST_F(LedgerTest, EntryThatGoesBackToAnEarlierConfiguration)
{
    arrive(send(CallKind::Read), readEndpoint, start + 10_ms, "diner@7");
    arrive(send(CallKind::Read, start + 200_ms), readEndpoint, start + 210_ms, "diner@6");
    EXPECT_TRUE(m_ledger.violations().empty());
    arrive(send(CallKind::Read, start + 500_ms), readEndpoint, start + 510_ms, "diner@6");
    EXPECT_EQ(broken(), Names {"CONFIG"});
}

TEST_F(LedgerTest, EntryThatStartsAgainMayKnowAnEarlierConfiguration)
{
    arrive(send(CallKind::Read), readEndpoint, start + 10_ms, "diner@7");
    m_disturbances.entries[0].add(start + 100_ms, start + 300_ms);
    arrive(send(CallKind::Read, start + 500_ms), readEndpoint, start + 510_ms, "diner@6");
    EXPECT_TRUE(broken().empty());
}

TEST_F(LedgerTest, AcceptsAServedPost)
{
    Call &call = send(CallKind::Post);
    arrive(call, postEndpoint, start + 5_ms);
    m_ledger.ends(call, m_ledger.begins(call, postEndpoint, false, start + 5_ms), start + 20_ms);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 30_ms);
    EXPECT_EQ(broken(), Names {});
    EXPECT_DOUBLE_EQ(m_ledger.servedShare(start, start + 1_s), 1);
}

TEST_F(LedgerTest, FindsAPostThatRanTwice)
{
    Call &call = send(CallKind::Post);
    m_ledger.begins(call, postEndpoint, false, start);
    m_ledger.begins(call, postEndpoint, false, start + 1_s);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 2_s);
    EXPECT_EQ(broken(), Names {"TWICE"});
}

TEST_F(LedgerTest, FindsARefusalOfAPostThatRan)
{
    Call &call = send(CallKind::Post);
    m_ledger.begins(call, postEndpoint, false, start);
    m_ledger.callerEnds(call, CallEnd::Answered, 503, start + 2_s);
    EXPECT_EQ(broken(), Names {"REFUSED"});
}

TEST_F(LedgerTest, FindsTwoEnginesOnOneGeneration)
{
    Call &call = send(CallKind::Draft);
    const std::size_t first = m_ledger.begins(call, engine, false, start);
    const std::size_t second = m_ledger.begins(call, otherEngine, true, start + 1_s);
    m_ledger.ends(call, first, start + 1_s + Ledger::overlapLimit + 1_ms);
    m_ledger.ends(call, second, start + 3_s);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 3_s);
    EXPECT_EQ(broken(), Names {"TWICE"});
}

TEST_F(LedgerTest, FindsTooManyEnginesOfAResumableStream)
{
    Call &call = send(CallKind::Verdict);
    for (const std::size_t endpoint : {engine, otherEngine, engine})
        m_ledger.ends(call, m_ledger.begins(call, endpoint, false, start), start);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 1_s);
    EXPECT_EQ(broken(), Names {"BUDGET"});
}

TEST_F(LedgerTest, EnginesThatEndedDoNotCountForAResumableStream)
{
    Call &call = send(CallKind::Verdict);
    for (const std::size_t endpoint : {engine, otherEngine, engine})
        m_ledger.ends(call, m_ledger.begins(call, endpoint, false, start), start);
    m_ledger.endpoint(otherEngine).goneAt = start;
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 1_s);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, FindsTwoEnginesOnOneResumableStream)
{
    Call &call = send(CallKind::Verdict);
    const std::size_t first = m_ledger.begins(call, engine, false, start);
    const std::size_t second = m_ledger.begins(call, otherEngine, false, start + 1_s);
    m_ledger.ends(call, first, start + 1_s + Ledger::overlapLimit + 1_ms);
    m_ledger.ends(call, second, start + 3_s);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 3_s);
    EXPECT_EQ(broken(), Names {"TWICE"});
}

TEST_F(LedgerTest, AllowsTheOverlapOfAHandOver)
{
    Call &call = send(CallKind::Draft);
    const std::size_t first = m_ledger.begins(call, engine, false, start);
    const std::size_t second = m_ledger.begins(call, otherEngine, true, start + 1_s);
    m_ledger.ends(call, first, start + 1_s + Ledger::overlapLimit);
    m_ledger.ends(call, second, start + 3_s);
    m_ledger.callerEnds(call, CallEnd::Answered, 200, start + 3_s);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, FindsRequestsToAnEngineThatHasLeft)
{
    m_ledger.endpoint(engine).leavingAt = start;
    arrive(send(CallKind::Draft), engine, start + Ledger::drainTime);
    EXPECT_EQ(broken(), Names {});
    arrive(send(CallKind::Draft), engine, start + Ledger::drainTime + 1_ms);
    EXPECT_EQ(broken(), Names {"DRAIN"});
}

TEST_F(LedgerTest, ExcusesAnEntryThatIsNotInTouch)
{
    m_ledger.endpoint(engine).leavingAt = start;
    m_disturbances.storeLinks[0].add(start, start + 1_s);
    arrive(send(CallKind::Draft), engine, start + Ledger::drainTime + 1_ms);
    EXPECT_EQ(broken(), Names {});
    arrive(send(CallKind::Draft), engine, start + 1_s + Disturbances::stableWindow + 1_ms);
    EXPECT_EQ(broken(), Names {"DRAIN"});
}

TEST_F(LedgerTest, FindsRequestsToAZoneThatIsOut)
{
    m_ledger.zonesOut["north"] = start;
    arrive(send(CallKind::Read), readEndpoint, start + Ledger::evacuationTime + 1_ms);
    EXPECT_EQ(broken(), Names {"EVAC"});
}

TEST_F(LedgerTest, FindsOldConfigurationsAfterTheirTime)
{
    SoakConfig next = firstConfig();
    next.version = 2;
    std::swap(next.routes["/read/"].service, next.routes["/post/"].service);
    m_ledger.configs.add(next, start);
    const Millis late = start + ConfigHistory::applyTime + 1_ms;
    arrive(send(CallKind::Read, late - 2_ms), readEndpoint, late);
    EXPECT_EQ(broken(), Names {});
    arrive(send(CallKind::Read, late), readEndpoint, late);
    EXPECT_EQ(broken(), Names {"CONFIG"});
}

TEST_F(LedgerTest, FindsTheDenialOfAKeyThatEveryVersionHas)
{
    Call &call = send(CallKind::Read);
    m_ledger.callerEnds(call, CallEnd::Answered, 401, start + 10_ms);
    EXPECT_EQ(broken(), Names {"CONFIG"});
}

TEST_F(LedgerTest, FindsAWrongAccountAndARequestOfNobody)
{
    arrive(send(CallKind::Read), readEndpoint, start, "kiosk");
    EXPECT_EQ(m_ledger.arrives("unheard-of", readEndpoint, "/read/", "diner", start), nullptr);
    EXPECT_EQ(broken(), Names {"UNASKED"});
}

TEST_F(LedgerTest, FindsAnswersLostAroundAnOrderlyEnd)
{
    m_disturbances.stops[0].add(start, start + 5_s);
    Call &call = send(CallKind::Read);
    arrive(call, readEndpoint, start + 5_ms);
    m_ledger.begins(call, readEndpoint, false, start + 5_ms);
    m_ledger.callerEnds(call, CallEnd::Broken, 0, start + 50_ms);
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, ExcusesAnswersLostByAKill)
{
    m_disturbances.entries[0].add(start + 40_ms, start + 5_s);
    Call &call = send(CallKind::Read);
    arrive(call, readEndpoint, start + 5_ms);
    m_ledger.callerEnds(call, CallEnd::Broken, 0, start + 50_ms);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, FindsAStreamLostByTheRejectionOfASoundEngine)
{
    breakByRejection();
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, ExcusesAStreamLostByTheRejectionOfAnEngineInTrouble)
{
    m_disturbances.endpoints[otherEngine].add(start, start + 1_s);
    breakByRejection();
    EXPECT_EQ(broken(), Names {});
}

// Guards against an excuse for a loss that the rejection has no part in.
TEST_F(LedgerTest, FindsAStreamLostAtASoundEngineAfterARejectionInTrouble)
{
    m_disturbances.endpoints[otherEngine].add(start, start + 1_s);
    Call &call = send(CallKind::Draft);
    arrive(call, otherEngine, start + 5_ms);
    arrive(call, engine, start + 10_ms);
    m_ledger.ends(call, m_ledger.begins(call, engine, false, start + 10_ms), start + 300_ms);
    m_ledger.callerEnds(call, CallEnd::Broken, 0, start + 320_ms);
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, FindsAPostLostByARejectionInTrouble)
{
    m_disturbances.endpoints[postEndpoint].add(start, start + 1_s);
    Call &call = send(CallKind::Post);
    arrive(call, postEndpoint, start + 5_ms);
    m_ledger.callerEnds(call, CallEnd::Broken, 0, start + 320_ms);
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, FindsACallOfAStopThatHasRunAndIsToldAnUnknownOutcome)
{
    m_ledger.stopBegins(0, start - 4_s);
    m_disturbances.stops[0].add(start - 4_s, start + 5_s);
    Call &call = send(CallKind::Post);
    m_ledger.begins(call, postEndpoint, false, start + 5_ms);
    m_ledger.callerEnds(call, CallEnd::Answered, 502, start + 300_ms);
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, AcceptsTheEndpointsOwnWordAndRefusalsInAStop)
{
    m_ledger.stopBegins(0, start - 4_s);
    Call &failed = send(CallKind::Post);
    m_ledger.begins(failed, postEndpoint, false, start + 5_ms);
    failed.endpointStatus = 500;
    m_ledger.callerEnds(failed, CallEnd::Answered, 500, start + 300_ms);
    m_ledger.callerEnds(send(CallKind::Post), CallEnd::Answered, 503, start + 300_ms);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, ExcusesAnUnknownOutcomeOutsideOfStopsBesideKillsAndAfterTheTimeout)
{
    Call &early = send(CallKind::Post, start - 1_s);
    m_ledger.begins(early, postEndpoint, false, start);
    m_ledger.callerEnds(early, CallEnd::Answered, 502, start + 300_ms);
    m_ledger.stopBegins(0, start);
    Call &held = send(CallKind::Post, start + 1_ms);
    m_ledger.begins(held, postEndpoint, false, start + 5_ms);
    m_ledger.callerEnds(held, CallEnd::Answered, 504, start + 1500_ms);
    m_disturbances.entries[0].add(start + 3_s, start + 4_s);
    Call &killed = send(CallKind::Post, start + 3_s);
    m_ledger.begins(killed, postEndpoint, false, start + 3_s);
    m_ledger.callerEnds(killed, CallEnd::Answered, 502, start + 3100_ms);
    m_ledger.stopEnds(0, start + 5_s);
    Call &after = send(CallKind::Post, start + 10_s);
    m_ledger.begins(after, postEndpoint, false, start + 10_s);
    m_ledger.callerEnds(after, CallEnd::Answered, 502, start + 10100_ms);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, CountsTheTimeOfALossFromTheLastByteOfARequest)
{
    Call &whole = send(CallKind::Post);
    whole.writtenAt = start + 600_ms;
    m_ledger.callerEnds(whole, CallEnd::Broken, 0, start + 600_ms + Ledger::lossSlack);
    Call &partial = send(CallKind::Post);
    partial.writtenAt = endOfTime;
    m_ledger.callerEnds(partial, CallEnd::Broken, 0, start + 2_s);
    EXPECT_EQ(broken(), Names {});
    Call &lost = send(CallKind::Post);
    lost.writtenAt = start + 600_ms;
    m_ledger.callerEnds(lost, CallEnd::Broken, 0, start + 601_ms + Ledger::lossSlack);
    EXPECT_EQ(broken(), Names {"LOST"});
}

TEST_F(LedgerTest, ExcusesARequestThatCrossesTheCloseOfItsConnection)
{
    Call &call = send(CallKind::Post);
    m_ledger.callerEnds(call, CallEnd::Broken, 0, start + Ledger::lossSlack);
    EXPECT_EQ(broken(), Names {});
}

TEST_F(LedgerTest, FindsWorkThatGoesOnAfterItsCallers)
{
    for (int i = 0; i < 8; ++i) {
        Call &call = send(CallKind::Draft);
        const std::size_t run = m_ledger.begins(call, engine, false, start);
        m_ledger.callerEnds(call, CallEnd::Left, 0, start + 1_s);
        const bool late = i < 3;
        m_ledger.ends(call, run, start + 1_s + Ledger::workAfterLeaving + (late ? 1_ms : 0_ms));
    }
    EXPECT_EQ(broken(), Names {"GONE"});
}

TEST_F(LedgerTest, FindsRequestsToAnEngineThatSaidItLeaves)
{
    answerWithWord(200);
    arrive(send(CallKind::Read, start + Ledger::drainTime), readEndpoint, start + 3_s);
    EXPECT_TRUE(broken().empty());
    arrive(send(CallKind::Read, start + Ledger::drainTime + 1_ms), readEndpoint, start + 3_s);
    EXPECT_EQ(broken(), Names {"DRAIN"});
}

TEST_F(LedgerTest, ExcusesAnEntryThatCouldNotReadTheWord)
{
    answerWithWord(502);
    arrive(send(CallKind::Read, start + 9_s), readEndpoint, start + 9_s);
    EXPECT_TRUE(broken().empty());
}

TEST_F(LedgerTest, ExcusesAnEntryThatStartedAgainSinceTheWord)
{
    answerWithWord(200);
    m_disturbances.entries[0].add(start + 1_s, start + 2_s);
    arrive(send(CallKind::Read, start + 9_s), readEndpoint, start + 9_s);
    EXPECT_TRUE(broken().empty());
}

TEST_F(LedgerTest, FindsRequestsWithinThePauseThatAnEndpointAskedFor)
{
    m_ledger.endpointAsksPause(0, readEndpoint, start, 3_s);
    const Call &call = send(CallKind::Read);
    // What was under way, two more, and what comes after the end.
    arrive(call, readEndpoint, start + Ledger::pauseSlack - 1_ms);
    arrive(call, readEndpoint, start + 1_s);
    m_ledger.controlArrives(call.id, readEndpoint, start + 2_s);
    arrive(call, readEndpoint, start + 3_s);
    EXPECT_TRUE(broken().empty());
    arrive(call, readEndpoint, start + 2_s);
    EXPECT_EQ(broken(), Names {"BUDGET"});
}

// Guards against a soak that does not see prompts which keep crashing engines.
TEST_F(LedgerTest, FindsCrashingPromptsAfterTheFifthCrash)
{
    const auto sendCrashing = [this](Millis at) {
        Call &call = send(CallKind::Draft, at);
        call.crashing = true;
        arrive(call, engine, at);
        m_ledger.crashedBy(call, at);
    };
    for (int n = 0; n < 8; ++n)
        sendCrashing(start);
    for (std::uint32_t n = 0; n < Ledger::crashingAllowance; ++n)
        sendCrashing(start + Ledger::crashReaction + 1_ms);
    EXPECT_EQ(broken(), Names {});
    sendCrashing(start + Ledger::crashReaction + 1_ms);
    EXPECT_EQ(broken(), Names {"BUDGET"});
}

TEST_F(LedgerTest, FindsTooManyRequestsAtAColdEngine)
{
    m_ledger.endpoint(engine).coldUntil = start + 1_s;
    constexpr int allowed = 50;
    for (int i = 0; i < allowed; ++i)
        arrive(send(CallKind::Draft), engine, start);
    EXPECT_EQ(broken(), Names {});
    arrive(send(CallKind::Draft), engine, start);
    EXPECT_EQ(broken(), Names {"FAILBACK"});
}

TEST_F(LedgerTest, FindsTooManyRepeats)
{
    for (int i = 0; i < 60; ++i) {
        Call &call = send(CallKind::Read);
        arrive(call, readEndpoint, start);
        arrive(call, readEndpoint, start + 1_ms);
    }
    EXPECT_EQ(broken(), Names {});
    for (int i = 0; i < 60; ++i)
        arrive(send(CallKind::Read), readEndpoint, start);
    Call &call = send(CallKind::Read);
    for (int i = 0; i < 60; ++i)
        arrive(call, readEndpoint, start + 2_ms);
    EXPECT_EQ(broken(), Names {"BUDGET"});
}

TEST(FaultPlan, RepeatsWithItsSeed)
{
    const std::vector<Fault> first = drawFaults(7, 20_s);
    const std::vector<Fault> second = drawFaults(7, 20_s);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].at, second[i].at);
        EXPECT_EQ(first[i].kind, second[i].kind);
        EXPECT_LT(first[i].at + first[i].lasts, 20_s);
    }
}

TEST(FaultPlan, DrawsEveryKind)
{
    std::vector<bool> seen(faultKinds);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const Fault &fault : drawFaults(firstSeedOfCrowds + seed, 20_s))
            seen[static_cast<std::size_t>(fault.kind)] = true;
    }
    EXPECT_EQ(std::count(seen.begin(), seen.end(), true), static_cast<int>(faultKinds));
    std::vector<bool> seenBefore(faultKinds);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const Fault &fault : drawFaults(firstSeedOfStops + seed, 20_s))
            seenBefore[static_cast<std::size_t>(fault.kind)] = true;
    }
    EXPECT_EQ(std::count(seenBefore.begin(), seenBefore.begin() + fifthDrawKinds, true),
              static_cast<int>(fifthDrawKinds));
    EXPECT_EQ(std::count(seenBefore.begin() + fifthDrawKinds, seenBefore.end(), true), 0);
}

// Guards against a later draw that changes the faults of seeds that failed before it.
TEST(FaultPlan, KeepsTheKindsOfEarlySeeds)
{
    std::vector<bool> seen(faultKinds);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const Fault &fault : drawFaults(seed, 20_s))
            seen[static_cast<std::size_t>(fault.kind)] = true;
    }
    EXPECT_EQ(std::count(seen.begin(), seen.begin() + fourthDrawKinds, true),
              static_cast<int>(fourthDrawKinds));
    EXPECT_EQ(std::count(seen.begin() + fourthDrawKinds, seen.end(), true), 0);
}

} // namespace fescue::soak
