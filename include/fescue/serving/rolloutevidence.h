#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fescue::serving {

// Number of classes of the time to the first byte. Each is longer than the one before by
// `timeClassFactor`; the last is open.
inline constexpr std::size_t timeClasses = 20;
inline constexpr Millis firstTimeClass {8};
inline constexpr double timeClassFactor = 1.5;

// Returns the class of a time to the first byte.
[[nodiscard]] std::size_t timeClassOf(Millis time) noexcept;

// Requests to endpoints of one version on one route. All counters but `open` only grow.
struct AnswerCounts
{
    std::uint32_t failures = 0;
    // Successes by their time to the first byte.
    std::array<std::uint32_t, timeClasses> successes {};
    // Requests that failed, or whose callers left, before the first byte, and those that are open,
    // by the time that they have waited: their time to the first byte is of this class or later.
    std::array<std::uint32_t, timeClasses> abandoned {};
    std::array<std::uint32_t, timeClasses> open {};

    // Returns the number of answers.
    [[nodiscard]] std::uint32_t total() const noexcept;
    bool operator==(const AnswerCounts &) const = default;
};

struct RouteEvidence
{
    AnswerCounts oldVersion;
    AnswerCounts newVersion;
    bool operator==(const RouteEvidence &) const = default;
};

// Answers during a roll-out, by route.
using RolloutEvidence = std::map<std::string, RouteEvidence>;

// Answers of two versions in the same short time, and how many of them are bad.
struct AnswerSample
{
    std::uint32_t newAnswers = 0;
    std::uint32_t newBad = 0;
    std::uint32_t oldAnswers = 0;
    std::uint32_t oldBad = 0;
};

// Page's cumulative sum of log likelihood ratios (E. S. Page, Continuous inspection schemes,
// Biometrika 41, 1954; A. Wald, Sequential tests, Ann. Math. Stat. 16, 1945): grows while more of
// the bad answers come from the new version than its share of all answers, and never falls below
// 0, so good answers in the past do not outweigh later bad ones.
//
// Each sample is compared within itself, so a burst that slows both versions adds nothing: given
// the bad answers of a sample, those of the new version have Fisher's noncentral hypergeometric
// distribution (R. A. Fisher, The logic of inductive inference, J. R. Stat. Soc. 98, 1935). From
// each of its zeros on, the sum of a sound version exceeds h with a probability of e^-h at most.
class BadAnswerSum
{
public:
    void add(const AnswerSample &sample) noexcept;
    // Adds answers of the new version to which there are none of the old one at the same time.
    // `soundShare` is the old version's share of bad answers in the past.
    void addAlone(double bad, double n, double soundShare) noexcept;
    [[nodiscard]] double value() const noexcept { return std::max(m_sums[0], m_sums[1]); }

private:
    // One sum each for moderately and very bad versions.
    std::array<double, 2> m_sums {};
};

// The judgement on a new version.
struct RolloutVerdict
{
    bool isBad = false;
    bool isDoubtful = false;
    bool isSuspicious = false;
    bool hasEnoughEvidence = false;
    // The worst sum, its route and what is compared: "failures" or "slow".
    double worstSum = 0;
    // The greatest sum so far.
    double peakSum = 0;
    std::string route;
    std::string_view kind;
    // Answers and bad answers of the new version, over all routes.
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
};

// Compares the answers of two versions of a service: failures, and answers that are slower than
// nearly all of the old version, by route and over the same time.
class RolloutJudge
{
public:
    // Sum at which the version's share must not grow.
    static constexpr double suspiciousSum = 6;
    // Answers of the new version without which it is not known to be sound: over all routes, and on
    // each route with at least this number of answers and this share of them.
    static constexpr std::uint32_t minAnswers = 10;
    static constexpr std::uint32_t minAnswersOfRoute = 4;
    static constexpr std::uint32_t usedRouteAnswers = 100;
    static constexpr double usedRouteShare = 0.05;

    // Replaces the counters that a process has reported in one of its lives. What a process reports
    // first, in the first moments of this judge, is only the baseline: it sums up a time of unknown
    // length.
    void report(const MemberName &from, Incarnation incarnation, const RolloutEvidence &evidence);
    // Compares what was reported since the last call.
    void step(Millis now);
    [[nodiscard]] RolloutVerdict verdict() const;

private:
    struct RouteState
    {
        RouteEvidence seen;
        // Counters at the beginning of the present sample, and its time.
        RouteEvidence sampledFrom;
        Millis sampleBegan {0};
        // Successes of the old version by their time, older ones with less weight.
        std::array<double, timeClasses> recentTimes {};
        // The shortest class that was normal for the old version.
        std::size_t calmTimeClass = timeClasses;
        // Open requests that were counted as slow by the end of the last sample.
        std::uint32_t slowOpenOld = 0;
        std::uint32_t slowOpenNew = 0;
        BadAnswerSum failures;
        BadAnswerSum slow;
    };

    // Compares the counts since the beginning of the present sample.
    static void compare(RouteState &route, const RouteEvidence &counts);
    // Judges the answers of the new version alone, by the past of the old one.
    static void compareWithPast(RouteState &route, const RouteEvidence &counts);
    // Returns the sample of answers that are slower than a time class. Each request is counted in
    // one sample as slow, as soon as it has waited for so long.
    [[nodiscard]] static AnswerSample slowSample(RouteState &route, const RouteEvidence &counts,
                                                 std::size_t timeClass);
    // Returns the longest time class that is normal for the old version.
    [[nodiscard]] static std::size_t normalTimeClass(const RouteState &route) noexcept;

    using Reports = std::map<std::pair<MemberName, Incarnation>, RolloutEvidence>;

    Reports m_reports;
    std::map<std::string, RouteState> m_routes;
    double m_peakSum = 0;
    Millis m_steppedAt {0};
    std::optional<Millis> m_firstStepAt;
    bool m_isJoining = true;
};

} // namespace fescue::serving
