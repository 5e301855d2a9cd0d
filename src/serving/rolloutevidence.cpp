#include "fescue/serving/rolloutevidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fescue::serving {

namespace {

// The old version's counts of the last second or two: a burst slows both versions at once.
constexpr double recentHalfLifeMillis = 1000;
// Success times of the old version up to this quantile are normal.
constexpr double normalQuantile = 0.9;
// A success counts as slow if it is this many classes above the normal ones.
constexpr std::size_t slowMargin = 1;
// Quantile of the normal distribution for the upper limit of the old version's share.
constexpr double upperLimitQuantile = 2;
constexpr double minSoundShare = 0.02;
// A version is bad if it adds this share of bad answers.
constexpr double addedBadShare = 0.15;
constexpr double maxBadShare = 0.97;

// Upper limit of a share of which `hits` of `n` draws are known (E. B. Wilson, Probable inference,
// J. Am. Stat. Assoc. 22, 1927).
double upperLimit(double hits, double n)
{
    if (n <= 0)
        return 1;
    const double z = upperLimitQuantile;
    const double share = hits / n;
    const double middle = share + z * z / (2 * n);
    const double spread = z * std::sqrt(share * (1 - share) / n + z * z / (4 * n * n));
    return std::min(1.0, (middle + spread) / (1 + z * z / n));
}

AnswerCounts minus(const AnswerCounts &a, const AnswerCounts &b) noexcept
{
    AnswerCounts counts;
    counts.failures = a.failures - b.failures;
    for (std::size_t i = 0; i < timeClasses; ++i)
        counts.successes[i] = a.successes[i] - b.successes[i];
    return counts;
}

void addTo(AnswerCounts &sum, const AnswerCounts &counts) noexcept
{
    sum.failures += counts.failures;
    for (std::size_t i = 0; i < timeClasses; ++i)
        sum.successes[i] += counts.successes[i];
}

void compareShares(BadAnswerSum &sum, double bad, double n, double soundShare) noexcept
{
    const double sound = std::max(soundShare, minSoundShare);
    if (sound + addedBadShare < maxBadShare)
        sum.add(bad, n, sound, sound + addedBadShare);
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

void BadAnswerSum::add(double bad, double n, double soundShare, double badShare) noexcept
{
    const double added = bad * std::log(badShare / soundShare)
        + (n - bad) * std::log((1 - badShare) / (1 - soundShare));
    m_value = std::max(0.0, m_value + added);
}

void RolloutJudge::RecentCounts::decay(double factor) noexcept
{
    failures *= factor;
    for (double &n : successes)
        n *= factor;
}

void RolloutJudge::RecentCounts::add(const AnswerCounts &counts) noexcept
{
    failures += counts.failures;
    for (std::size_t i = 0; i < timeClasses; ++i)
        successes[i] += counts.successes[i];
}

double RolloutJudge::RecentCounts::total() const noexcept
{
    return std::accumulate(successes.begin(), successes.end(), failures);
}

double RolloutJudge::RecentCounts::slowerThan(std::size_t timeClass) const noexcept
{
    const std::size_t first = std::min(timeClass + 1, timeClasses);
    return std::accumulate(successes.begin() + static_cast<std::ptrdiff_t>(first), successes.end(),
                           0.0);
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
    RolloutEvidence sums;
    for (const auto &[member, evidence] : m_reports) {
        for (const std::pair<const std::string, RouteEvidence> &entry : evidence) {
            addTo(sums[entry.first].oldVersion, entry.second.oldVersion);
            addTo(sums[entry.first].newVersion, entry.second.newVersion);
        }
    }
    const double span = static_cast<double>((now - m_steppedAt).count);
    const double factor = std::exp2(-span / recentHalfLifeMillis);
    m_steppedAt = now;
    for (const std::pair<const std::string, RouteEvidence> &entry : sums) {
        RouteState &route = m_routes[entry.first];
        const AnswerCounts oldAdded = minus(entry.second.oldVersion, route.seen.oldVersion);
        const AnswerCounts newAdded = minus(entry.second.newVersion, route.seen.newVersion);
        route.seen = entry.second;
        route.recent.decay(factor);
        route.recent.add(oldAdded);
        route.all.add(oldAdded);
        compare(route, newAdded);
    }
}

void RolloutJudge::compare(RouteState &route, const AnswerCounts &added)
{
    const double n = added.total();
    if (n <= 0 || route.all.total() <= 0)
        return;
    const double allTotal = route.all.total();
    const double recentTotal = route.recent.total();
    // Without recent answers of the old version only its past can be compared.
    const auto soundShare = [&](double all, double recent) {
        const double past = upperLimit(all, allTotal);
        return recentTotal < 1 ? past : std::max(past, recent / recentTotal);
    };
    compareShares(route.failures, added.failures, n,
                  soundShare(route.all.failures, route.recent.failures));
    std::size_t normal = 0;
    while (normal + 1 < timeClasses
           && route.all.slowerThan(normal) > (1 - normalQuantile) * allTotal)
        ++normal;
    const std::size_t limit = normal + slowMargin;
    RecentCounts counts;
    counts.add(added);
    const double slow = counts.slowerThan(limit);
    compareShares(route.slow, slow, n,
                  soundShare(route.all.slowerThan(limit), route.recent.slowerThan(limit)));
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
    verdict.isSuspicious = verdict.worstSum >= suspiciousSum;
    double total = 0;
    for (const std::pair<const std::string, RouteState> &entry : m_routes)
        total += entry.second.all.total();
    const auto isKnown = [total](const std::pair<const std::string, RouteState> &entry) {
        const double n = entry.second.all.total();
        return n < std::max<double>(usedRouteAnswers, usedRouteShare * total)
            || entry.second.seen.newVersion.total() >= minAnswersOfRoute;
    };
    verdict.hasEnoughEvidence =
        verdict.answers >= minAnswers && std::all_of(m_routes.begin(), m_routes.end(), isKnown);
    return verdict;
}

} // namespace fescue::serving
