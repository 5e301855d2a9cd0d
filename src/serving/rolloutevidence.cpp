#include "fescue/serving/rolloutevidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace fescue::serving {

namespace {

// Success times of the old version up to this quantile are normal.
constexpr double normalQuantile = 0.9;
// Half-life of the weight of an answer for what is normal: shorter than a burst.
constexpr Millis timesHalfLife = 3_s;
// A success counts as slow if it is this many classes above the normal ones.
constexpr std::size_t slowMargin = 1;
// The same against the past of the old version without load: a burst that slows all answers adds
// nothing.
constexpr std::size_t slowMarginToPast = 4;
// The past of the old version is compared, from this number of its answers on, if a sample has this
// many times as many answers of the new one.
constexpr std::uint32_t minOldShare = 4;
constexpr std::uint32_t minPastAnswers = 20;
// A sound version is doubtful with about this probability; each of its bad answers may begin a new
// sum.
constexpr double falseDoubt = 0.0005;
// Least share of bad answers that is expected of a sound version.
constexpr double usualBadShare = 0.02;
// Answers of a new version in a roll-out, at least.
constexpr std::uint32_t usualAnswers = 400;
// Sum at which a version of a service with this share of failures is bad at once.
constexpr double badSum = 10.7;
constexpr double badSumShare = 0.03;
// A sample ends with this number of answers of one version, or after this time if fewer come.
constexpr std::uint32_t sampleAnswers = 8;
constexpr Millis longestSample = 2_s;
// All processes have reported once in this time.
constexpr Millis joiningTime = 1_s;
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

// Returns the greatest sum after which a version must not be completed. `badShare` is the share of
// the old version's answers that fail.
double doubtfulSum(std::uint32_t answers, double badShare) noexcept
{
    const double expected = std::max(badShare, usualBadShare) * std::max(answers, usualAnswers);
    return std::log(std::max(1.0, expected) / falseDoubt);
}

// Returns the sum at which a version is bad.
double decisiveSum(double badShare) noexcept
{
    return badSum + std::log(std::max(1.0, badShare / badSumShare));
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
    for (std::size_t i = 0; i < timeClasses; ++i) {
        sum.successes[i] += counts.successes[i];
        sum.abandoned[i] += counts.abandoned[i];
        sum.open[i] += counts.open[i];
    }
}

// Returns how much a counter has grown; nothing where it began anew.
std::uint32_t growth(std::uint32_t from, std::uint32_t to) noexcept
{
    return to - std::min(from, to);
}

// Returns the sum of the classes after one.
template <typename T>
T sumAfter(const std::array<T, timeClasses> &counts, std::size_t timeClass) noexcept
{
    const std::size_t first = std::min(timeClass + 1, timeClasses);
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first), counts.end(), T {});
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
    const std::pair<Reports::iterator, bool> inserted = m_reports.try_emplace({from, incarnation});
    RolloutEvidence &known = inserted.first->second;
    for (const std::pair<const std::string, RouteEvidence> &entry : evidence) {
        if (inserted.second && m_isJoining) {
            RouteEvidence &baseline = m_routes[entry.first].sampledFrom;
            addTo(baseline.oldVersion, entry.second.oldVersion);
            addTo(baseline.newVersion, entry.second.newVersion);
        }
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
    m_firstStepAt = m_firstStepAt.value_or(now);
    m_isJoining = now - *m_firstStepAt < joiningTime;
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
        const std::uint32_t oldTotal =
            growth(route.sampledFrom.oldVersion.total(), entry.second.oldVersion.total());
        const std::uint32_t newTotal =
            growth(route.sampledFrom.newVersion.total(), entry.second.newVersion.total());
        if (oldTotal >= sampleAnswers || newTotal >= sampleAnswers
            || now - route.sampleBegan >= longestSample) {
            compare(route, entry.second);
            route.sampledFrom = entry.second;
            route.sampleBegan = now;
        }
        for (std::size_t i = 0; i < timeClasses; ++i)
            route.recentTimes[i] = route.recentTimes[i] * weight + oldAdded.successes[i];
        route.seen = entry.second;
        m_peakSum = std::max({m_peakSum, route.failures.value(), route.slow.value()});
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

void RolloutJudge::compare(RouteState &route, const RouteEvidence &counts)
{
    const AnswerCounts &oldFrom = route.sampledFrom.oldVersion;
    const AnswerCounts &newFrom = route.sampledFrom.newVersion;
    const std::uint32_t n = growth(newFrom.total(), counts.newVersion.total());
    const std::uint32_t oldTotal = growth(oldFrom.total(), counts.oldVersion.total());
    if (oldTotal * minOldShare < n && oldFrom.total() >= minPastAnswers) {
        compareWithPast(route, counts);
        return;
    }
    route.failures.add({n, growth(newFrom.failures, counts.newVersion.failures), oldTotal,
                        growth(oldFrom.failures, counts.oldVersion.failures)});
    if (oldFrom.total() >= minPastAnswers)
        route.calmTimeClass = std::min(route.calmTimeClass, normalTimeClass(route));
    route.slow.add(slowSample(route, counts, normalTimeClass(route) + slowMargin));
}

AnswerSample RolloutJudge::slowSample(RouteState &route, const RouteEvidence &counts,
                                      std::size_t timeClass)
{
    const auto count = [timeClass](const AnswerCounts &from, const AnswerCounts &to,
                                   std::uint32_t &slowOpen) {
        const std::uint32_t successes =
            std::accumulate(to.successes.begin(), to.successes.end(), 0U)
            - std::accumulate(from.successes.begin(), from.successes.end(), 0U);
        const std::uint32_t slow =
            growth(sumAfter(from.successes, timeClass), sumAfter(to.successes, timeClass));
        const std::uint32_t open = sumAfter(to.open, timeClass);
        const std::uint32_t without =
            growth(sumAfter(from.abandoned, timeClass), sumAfter(to.abandoned, timeClass)) + open;
        // Requests that were open and slow before have been counted.
        const std::uint32_t counted = std::exchange(slowOpen, open);
        const std::uint32_t bad = growth(counted, slow + without);
        return std::pair(growth(counted, successes + without), bad);
    };
    const std::pair<std::uint32_t, std::uint32_t> added =
        count(route.sampledFrom.newVersion, counts.newVersion, route.slowOpenNew);
    const std::pair<std::uint32_t, std::uint32_t> oldAdded =
        count(route.sampledFrom.oldVersion, counts.oldVersion, route.slowOpenOld);
    return {std::max(added.first, added.second), added.second,
            std::max(oldAdded.first, oldAdded.second), oldAdded.second};
}

void RolloutJudge::compareWithPast(RouteState &route, const RouteEvidence &counts)
{
    const AnswerCounts &past = route.sampledFrom.oldVersion;
    const AnswerCounts &newFrom = route.sampledFrom.newVersion;
    const std::uint32_t n = growth(newFrom.total(), counts.newVersion.total());
    const std::uint32_t failures = growth(newFrom.failures, counts.newVersion.failures);
    const double pastTotal = past.total();
    route.failures.addAlone(failures, n, past.failures / pastTotal);
    const std::size_t calm = std::min(route.calmTimeClass, normalTimeClass(route));
    const std::size_t limit = calm + slowMarginToPast;
    const AnswerSample sample = slowSample(route, counts, limit);
    const std::array<double, timeClasses> &times = route.recentTimes;
    const double recent = std::accumulate(times.begin(), times.end(), 0.0);
    if (recent > 0)
        route.slow.addAlone(sample.newBad, sample.newAnswers, sumAfter(times, limit) / recent);
}

RolloutVerdict RolloutJudge::verdict() const
{
    RolloutVerdict verdict;
    verdict.peakSum = m_peakSum;
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
    double total = 0;
    double failures = 0;
    for (const std::pair<const std::string, RouteState> &entry : m_routes) {
        total += entry.second.seen.oldVersion.total();
        failures += entry.second.seen.oldVersion.failures;
    }
    const double badShare = failures / std::max(total, 1.0);
    verdict.isBad = verdict.worstSum >= decisiveSum(badShare);
    // Good answers do not outweigh a fault that shows under load only.
    verdict.isDoubtful = verdict.peakSum >= doubtfulSum(verdict.answers, badShare);
    verdict.isSuspicious = verdict.worstSum >= suspiciousSum;
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
