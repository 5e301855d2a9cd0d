#include "fescue/serving/rollouttable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("llm");
// Limits as in the users' settings.
const RolloutLimits limits {0.1, 50, 5_s};
constexpr std::uint32_t decisiveBadAnswers = 50;
constexpr double permitLoss = 0.02;

// A new version whose answers are bad with a probability, from a time on.
struct BadVersion
{
    double share = 0;
    Millis from {0};
    // Only while the load is high.
    bool underLoad = false;
    // Only on one route; negative for all.
    int route = -1;
    // Bad answers are this many times slower; 0 if they are failures.
    double slower = 0;
};

struct Scenario
{
    std::size_t processes = 9;
    double requestsPerSecond = 90;
    Millis duration = 30_s;
    BadVersion bad;
    // Failures of both versions.
    double failing = 0.02;
    // Times in which all answers are slower, and by what factor.
    bool hasBursts = true;
    double burstFactor = 4;
};

struct Outcome
{
    RolloutStage stage = RolloutStage::Canary;
    std::uint32_t requests = 0;
    std::uint32_t toNew = 0;
    std::uint32_t badAnswers = 0;
    std::optional<Millis> decisiveAt;
    Millis lastToNew {0};
};

// Answers of the service: a long and a short kind of generation, as in the users' sheets.
class Traffic
{
public:
    Traffic(const Scenario &drawn, std::uint64_t seed) : m_scenario(drawn), m_random(seed)
    {
        m_burstAt = Millis {static_cast<std::int64_t>(uniform() * 20'000)};
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Millis nextGap()
    {
        std::exponential_distribution<double> gap(m_scenario.requestsPerSecond / 1000);
        return {static_cast<std::int64_t>(std::round(gap(m_random)))};
    }
    bool isBurst(Millis now) const
    {
        return m_scenario.hasBursts && now >= m_burstAt && now < m_burstAt + 6_s;
    }
    int drawRoute() { return uniform() < 0.34 ? 0 : 1; }
    bool drawBad(Millis now, int route)
    {
        const BadVersion &bad = m_scenario.bad;
        const bool applies = now >= bad.from && (!bad.underLoad || isBurst(now))
            && (bad.route < 0 || bad.route == route);
        return applies && uniform() < bad.share;
    }
    Millis drawTime(Millis now, int route)
    {
        const double median =
            (route == 0 ? 330 : 240) * (isBurst(now) ? m_scenario.burstFactor : 1);
        std::lognormal_distribution<double> draw(std::log(median), 0.5);
        return {static_cast<std::int64_t>(draw(m_random))};
    }

private:
    Scenario m_scenario;
    std::mt19937_64 m_random;
    Millis m_burstAt {0};
};

// An answer that is under way.
struct Pending
{
    Millis at {0};
    std::size_t process = 0;
    int route = 0;
    bool isNew = false;
    bool succeeded = false;
    bool isBad = false;
    Millis time {0};
    std::uint64_t wait = 0;
    bool operator>(const Pending &other) const { return at > other.at; }
};

EndpointRecord endpointOf(const std::string &version)
{
    EndpointRecord record;
    record.service = service;
    record.softwareVersion = version;
    return record;
}

// Returns what a collector knows for the next step.
RolloutFacts factsOf(Millis now, Millis inStage, const RolloutVerdict &verdict,
                     const std::vector<RolloutTable> &processes)
{
    RolloutFacts facts;
    facts.elapsed = now;
    facts.inStage = inStage;
    facts.isBad = verdict.isBad;
    facts.isDoubtful = verdict.isDoubtful;
    facts.isSuspicious = verdict.isSuspicious;
    facts.hasEnoughEvidence = verdict.hasEnoughEvidence;
    facts.isOldIdle = inStage > 3_s;
    for (const RolloutTable &table : processes)
        facts.counts += table.find(service)->counts;
    facts.exposureShare = limits.exposureShare;
    facts.exposureAllowance = limits.exposureAllowance;
    return facts;
}

// Plays one order through the tables of all processes and one judge.
Outcome play(const Scenario &scenario, std::uint64_t seed)
{
    Traffic traffic(scenario, seed);
    const RolloutOrder order {service, "v2", scenario.duration, {5, 1}};
    RolloutRecord record {service, "v2", scenario.duration, RolloutStage::Canary, 1, {5, 1},
                          {},      {}};
    std::vector<RolloutTable> processes(scenario.processes);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        RolloutTable &table = processes[i];
        const double credit = RolloutQuota::initialCredit(limits.exposureAllowance,
                                                          scenario.processes, i, traffic.uniform());
        table.orderWritten({0}, order, Millis {0}, credit);
        table.recordSeen({0}, {0}, record);
    }
    RolloutJudge judge;
    std::priority_queue<Pending, std::vector<Pending>, std::greater<>> pending;
    Outcome outcome;
    Millis changedAt {0};
    Millis nextRequest = traffic.nextGap();
    const Millis interval = scenario.processes > 20 ? 500_ms : 250_ms;
    for (Millis now {0}; now < scenario.duration && !record.isDecided(); now += 1_ms) {
        while (!pending.empty() && pending.top().at <= now) {
            const Pending answer = pending.top();
            pending.pop();
            processes[answer.process].endWait(answer.wait);
            processes[answer.process].recordAnswer(service, answer.isNew ? "v2" : "v1",
                                                   answer.route == 0 ? "draft" : "summary",
                                                   answer.succeeded, answer.time);
            outcome.badAnswers += answer.isBad ? 1 : 0;
            if (outcome.badAnswers == decisiveBadAnswers && !outcome.decisiveAt)
                outcome.decisiveAt = now;
        }
        while (nextRequest <= now) {
            nextRequest += traffic.nextGap();
            const std::size_t i =
                static_cast<std::size_t>(traffic.uniform() * static_cast<double>(processes.size()));
            RolloutTable &table = processes[i];
            const bool isNew = table.wantsNewVersion(now, service, limits)
                || table.ruleFor(now, service) == VersionRule::OnlyNew;
            table.recordRequest(endpointOf(isNew ? "v2" : "v1"), limits);
            const int route = traffic.drawRoute();
            const bool isBad = isNew && traffic.drawBad(now, route);
            const bool isSlow = isBad && scenario.bad.slower > 0;
            Millis time = traffic.drawTime(now, route);
            if (isSlow)
                time = Millis {static_cast<std::int64_t>(static_cast<double>(time.count)
                                                         * scenario.bad.slower)};
            const bool fails = (isBad && !isSlow) || traffic.uniform() < scenario.failing;
            const std::uint64_t wait = table.beginWait(
                {service, isNew ? "v2" : "v1", route == 0 ? "draft" : "summary", now});
            pending.push({now + time, i, route, isNew, !fails, isBad, time, wait});
            ++outcome.requests;
            outcome.toNew += isNew ? 1 : 0;
            if (isNew)
                outcome.lastToNew = now;
        }
        if (now.count % interval.count != 0)
            continue;
        for (std::size_t i = 0; i < processes.size(); ++i)
            judge.report(MemberName("p" + std::to_string(i)), {1},
                         processes[i].evidence(now, service));
        judge.step(now);
        const RolloutVerdict verdict = judge.verdict();
        const RolloutFacts facts = factsOf(now, now - changedAt, verdict, processes);
        const std::optional<RolloutStep> step = nextStep(record, facts);
        for (RolloutTable &table : processes) {
            if (traffic.uniform() >= permitLoss)
                table.permitted(now, {MemberName("c"), service, {5, 1}, now, verdict.isBad, false});
        }
        if (!step)
            continue;
        record.stage = step->stage;
        ++record.change;
        changedAt = now;
        for (RolloutTable &table : processes)
            table.recordSeen(now, {0}, record);
    }
    // Requests count until the deadline, also after the decision.
    const Millis left = scenario.duration - std::min(outcome.lastToNew, scenario.duration);
    outcome.requests += static_cast<std::uint32_t>(static_cast<double>(left.count) / 1000 * 0.95
                                                   * scenario.requestsPerSecond);
    outcome.stage = record.stage;
    return outcome;
}

// Checks the users' bounds on what a bad version gets.
void expectBounded(const Scenario &scenario, std::uint64_t seed)
{
    const Outcome outcome = play(scenario, seed);
    EXPECT_EQ(outcome.stage, RolloutStage::Reverted)
        << "seed " << seed << ", bad " << outcome.badAnswers << " of " << outcome.toNew;
    EXPECT_LE(outcome.toNew, limits.exposureShare * outcome.requests + limits.exposureAllowance)
        << "seed " << seed << " of " << outcome.requests;
    if (outcome.decisiveAt) {
        EXPECT_LE(outcome.lastToNew, *outcome.decisiveAt + limits.rollbackTime) << "seed " << seed;
    }
}

std::size_t countFalseReverts(Scenario scenario, std::uint64_t seeds)
{
    std::size_t n = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        n += play(scenario, seed).stage == RolloutStage::Completed ? 0 : 1;
    testing::Test::RecordProperty("false_reverts", static_cast<int>(n));
    return n;
}

// Bursts slow both versions; a comparison with the past would revert.
TEST(RolloutFleet, SoundVersionIsCompletedInASmallSystem)
{
    EXPECT_EQ(countFalseReverts({}, 1000), 0U);
}

TEST(RolloutFleet, SoundVersionIsCompletedInALargeSystem)
{
    Scenario scenario;
    scenario.processes = 86;
    EXPECT_EQ(countFalseReverts(scenario, 1000), 0U);
}

// Healthy services fail up to one request in seven.
TEST(RolloutFleet, SoundVersionOfAServiceThatFailsAtTimesIsCompleted)
{
    Scenario scenario;
    scenario.failing = 0.14;
    EXPECT_EQ(countFalseReverts(scenario, 1000), 0U);
}

struct NamedScenario
{
    const char *name;
    Scenario scenario;
};

class RolloutFleetBad : public testing::TestWithParam<NamedScenario>
{ };

TEST_P(RolloutFleetBad, IsRevertedWithinTheBounds)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        for (const std::size_t processes : {9, 86}) {
            Scenario scenario = GetParam().scenario;
            scenario.processes = processes;
            expectBounded(scenario, seed);
        }
    }
}

// Little exposure is left in a short order once the share grows.
TEST(RolloutFleet, VersionThatTurnsBadAtAnyTimeOfAShortOrderStaysWithinTheExposure)
{
    for (const Millis duration : {15_s, 20_s, 30_s}) {
        for (std::int64_t eighth = 2; eighth <= 6; ++eighth) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                Scenario scenario;
                scenario.duration = duration;
                scenario.bad = {0.4, duration * eighth / 8, false, -1, 0};
                const Outcome outcome = play(scenario, seed);
                EXPECT_LE(outcome.toNew,
                          limits.exposureShare * outcome.requests + limits.exposureAllowance)
                    << duration.count << " ms, bad from eighth " << eighth << ", seed " << seed
                    << ", " << toString(outcome.stage);
            }
        }
    }
}

Scenario withBad(const BadVersion &bad, bool hasBursts = true)
{
    Scenario scenario;
    scenario.bad = bad;
    scenario.hasBursts = hasBursts;
    return scenario;
}

INSTANTIATE_TEST_SUITE_P(
    Versions, RolloutFleetBad,
    testing::Values(NamedScenario {"FailsAtOnce", withBad({0.3, 0_s, false, -1, 0})},
                    NamedScenario {"AlwaysFails", withBad({1, 0_s, false, -1, 0})},
                    NamedScenario {"SlowAtOnce", withBad({0.4, 0_s, false, -1, 5})},
                    NamedScenario {"FailsLater", withBad({0.4, 10_s, false, -1, 0})},
                    NamedScenario {"SlowLater", withBad({0.5, 10_s, false, -1, 5}, false)},
                    NamedScenario {"SlowLaterBesideABurst", withBad({0.5, 10_s, false, -1, 5})},
                    NamedScenario {"FailsUnderLoad", withBad({0.5, 0_s, true, -1, 0})},
                    NamedScenario {"FailsOnOneRoute", withBad({0.5, 0_s, false, 0, 0})},
                    NamedScenario {"SlowOnOneRoute", withBad({0.6, 0_s, false, 1, 5})}),
    [](const testing::TestParamInfo<NamedScenario> &info) { return info.param.name; });

} // namespace
