#include "fescue/serving/rolloutevidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fescue::serving {

namespace {

// Success times of the old version up to this quantile are normal.
constexpr double normalQuantile = 0.9;
// Half-life of the weight of an answer for what is normal: shorter than a burst.
constexpr Millis timesHalfLife = 3_s;
// A success counts as slow if it is this many classes above the normal ones.
constexpr std::size_t slowMargin = 1;
// A sound version is doubtful with this probability at most; each bad answer, of which it has about
// the given share, may begin a new sum.
constexpr double falseDoubt = 0.001;
constexpr double usualBadShare = 0.03;
// A sample ends with this number of answers of the old version, or after this time if fewer come.
constexpr std::uint32_t sampleAnswers = 8;
constexpr Millis longestSample = 2_s;
// Odds of a bad answer of a moderately and of a very bad version, as multiples of those of a sound
// one.
constexpr std::array<double, 2> badOdds {4, 12};
// Each answer of the new version lowers a sum by this, so that it returns to 0 where both versions
// have no bad answers.
constexpr double decayOfAnswer = 0.03;
// Share of bad answers that a bad version adds where only the past can be compared.
constexpr double addedBadShare = 0.2;
constexpr double minSoundShare = 0.02;
constexpr double maxSoundShare = 0.6;

// Returns the sum at which a version must not be completed, after a number of answers.
double doubtfulSum(std::uint32_t answers) noexcept
{
    return std::log(std::max(1.0, usualBadShare * answers) / falseDoubt);
}

// Returns the logarithm of the number of ways to choose k of n.
double logChoices(std::uint32_t n, std::uint32_t k) noexcept
{
    return std::lgamma(n + 1.0) - std::lgamma(k + 1.0) - std::lgamma(n - k + 1.0);
}

// Returns the answers that were counted since `b`; none where the counts began anew.
AnswerCounts minus(const AnswerCounts &a, const AnswerCounts &b) noexcept
{
    AnswerCounts counts;
    counts.failures = a.failures - std::min(a.failures, b.failures);
    for (std::size_t i = 0; i < timeClasses; ++i)
        counts.successes[i] = a.successes[i] - std::min(a.successes[i], b.successes[i]);
    return counts;
}

void addTo(AnswerCounts &sum, const AnswerCounts &counts) noexcept
{
    sum.failures += counts.failures;
    for (std::size_t i = 0; i < timeClasses; ++i)
        sum.successes[i] += counts.successes[i];
}

} // namespace

std::size_t timeClassOf(Millis time) noexcept
{
    if (time <= firstTimeClass)
        return 0;
    const double ratio =
        static_cast<double>(time.count) / static_cast<double>(firstTimeClass.count);
    const double n = std::ceil(std::log(ratio) / std::log(timeClassFactor));
    return std::min(static_cast<std::size_t>(n), timeClasses - 1);
}

std::uint32_t AnswerCounts::total() const noexcept
{
    return std::accumulate(successes.begin(), successes.end(), failures);
}

std::uint32_t AnswerCounts::slowerThan(std::size_t timeClass) const noexcept
{
    const std::size_t first = std::min(timeClass + 1, timeClasses);
    return std::accumulate(successes.begin() + static_cast<std::ptrdiff_t>(first), successes.end(),
                           0U);
}

void BadAnswerSum::add(const AnswerSample &sample) noexcept
{
    const std::uint32_t n = sample.newAnswers;
    const std::uint32_t m = sample.oldAnswers;
    const std::uint32_t bad = sample.newBad + sample.oldBad;
    if (n == 0 || m == 0)
        return;
    for (std::size_t i = 0; i < badOdds.size(); ++i) {
        const double logOdds = std::log(badOdds[i]);
        // Expected value of odds^k for the number k of bad answers that a sound version would have.
        double expected = 0;
        for (std::uint32_t k = bad > m ? bad - m : 0; k <= std::min(n, bad); ++k) {
            expected += std::exp(logChoices(n, k) + logChoices(m, bad - k) - logChoices(n + m, bad)
                                 + k * logOdds);
        }
        const double added = sample.newBad * logOdds - std::log(expected) - n * decayOfAnswer;
        m_sums[i] = std::max(0.0, m_sums[i] + added);
    }
}

void BadAnswerSum::addAlone(double bad, double n, double soundShare) noexcept
{
    const double sound = std::clamp(soundShare, minSoundShare, maxSoundShare);
    const double added = bad * std::log((sound + addedBadShare) / sound)
        + (n - bad) * std::log((1 - sound - addedBadShare) / (1 - sound));
    for (double &sum : m_sums)
        sum = std::max(0.0, sum + added);
}

void RolloutJudge::report(const MemberName &from, Incarnation incarnation,
                          const RolloutEvidence &evidence)
{
    RolloutEvidence &known = m_reports[{from, incarnation}];
    for (const std::pair<const std::string, RouteEvidence> &entry : evidence) {
        RouteEvidence &route = known[entry.first];
        // Datagrams may arrive out of order.
        if (entry.second.oldVersion.total() >= route.oldVersion.total()
            && entry.second.newVersion.total() >= route.newVersion.total())
            route = entry.second;
    }
}

void RolloutJudge::step(Millis now)
{
    const double span = static_cast<double>((now - m_steppedAt).count);
    const double weight = std::exp2(-span / static_cast<double>(timesHalfLife.count));
    m_steppedAt = now;
    RolloutEvidence sums;
    for (const Reports::value_type &report : m_reports) {
        for (const std::pair<const std::string, RouteEvidence> &entry : report.second) {
            addTo(sums[entry.first].oldVersion, entry.second.oldVersion);
            addTo(sums[entry.first].newVersion, entry.second.newVersion);
        }
    }
    for (const std::pair<const std::string, RouteEvidence> &entry : sums) {
        RouteState &route = m_routes[entry.first];
        const AnswerCounts oldAdded = minus(entry.second.oldVersion, route.seen.oldVersion);
        const RouteEvidence sample {minus(entry.second.oldVersion, route.sampledFrom.oldVersion),
                                    minus(entry.second.newVersion, route.sampledFrom.newVersion)};
        const bool isFull = sample.oldVersion.total() >= sampleAnswers
            || (sample.oldVersion.total() == 0 && sample.newVersion.total() >= sampleAnswers);
        if (isFull || now - route.sampleBegan >= longestSample) {
            compare(route, sample);
            route.sampledFrom = entry.second;
            route.sampleBegan = now;
        }
        for (std::size_t i = 0; i < timeClasses; ++i)
            route.recentTimes[i] = route.recentTimes[i] * weight + oldAdded.successes[i];
        route.seen = entry.second;
    }
}

std::size_t RolloutJudge::normalTimeClass(const RouteState &route) noexcept
{
    const std::array<double, timeClasses> &times = route.recentTimes;
    const double total = std::accumulate(times.begin(), times.end(), 0.0);
    double slower = 0;
    std::size_t n = timeClasses - 1;
    while (n > 0 && slower + times[n] <= (1 - normalQuantile) * total)
        slower += times[n--];
    return n;
}

void RolloutJudge::compare(RouteState &route, const RouteEvidence &added)
{
    const AnswerCounts &past = route.sampledFrom.oldVersion;
    const std::uint32_t n = added.newVersion.total();
    const std::uint32_t oldTotal = added.oldVersion.total();
    const double pastTotal = past.total();
    if (oldTotal == 0 && pastTotal > 0) {
        route.failures.addAlone(added.newVersion.failures, n, past.failures / pastTotal);
        return;
    }
    route.failures.add({n, added.newVersion.failures, oldTotal, added.oldVersion.failures});
    const std::size_t limit = normalTimeClass(route) + slowMargin;
    route.slow.add(
        {n, added.newVersion.slowerThan(limit), oldTotal, added.oldVersion.slowerThan(limit)});
}

RolloutVerdict RolloutJudge::verdict() const
{
    RolloutVerdict verdict;
    for (const std::pair<const std::string, RouteState> &entry : m_routes) {
        const RouteState &route = entry.second;
        verdict.answers += route.seen.newVersion.total();
        verdict.failures += route.seen.newVersion.failures;
        const bool isSlow = route.slow.value() > route.failures.value();
        const double sum = std::max(route.slow.value(), route.failures.value());
        if (sum <= verdict.worstSum)
            continue;
        verdict.worstSum = sum;
        verdict.route = entry.first;
        verdict.kind = isSlow ? "slow" : "failures";
    }
    verdict.isBad = verdict.worstSum >= badSum;
    verdict.isDoubtful = verdict.worstSum >= doubtfulSum(verdict.answers);
    verdict.isSuspicious = verdict.worstSum >= suspiciousSum;
    double total = 0;
    for (const std::pair<const std::string, RouteState> &entry : m_routes)
        total += entry.second.seen.oldVersion.total();
    const auto isKnown = [total](const std::pair<const std::string, RouteState> &entry) {
        const double n = entry.second.seen.oldVersion.total();
        return n < std::max<double>(usedRouteAnswers, usedRouteShare * total)
            || entry.second.seen.newVersion.total() >= minAnswersOfRoute;
    };
    verdict.hasEnoughEvidence =
        verdict.answers >= minAnswers && std::all_of(m_routes.begin(), m_routes.end(), isKnown);
    return verdict;
}

} // namespace fescue::serving
