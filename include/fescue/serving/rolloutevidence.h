#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace fescue::serving {

// Number of classes of the time to the first byte. Each is longer than the one before by
// `timeClassFactor`; the last is open.
inline constexpr std::size_t timeClasses = 16;
inline constexpr Millis firstTimeClass {8};
inline constexpr double timeClassFactor = 1.5;

// Returns the class of a time to the first byte.
[[nodiscard]] std::size_t timeClassOf(Millis time) noexcept;

// Answers of endpoints of one version on one route. Counters only grow.
struct AnswerCounts
{
    std::uint32_t failures = 0;
    // Successes by their time to the first byte.
    std::array<std::uint32_t, timeClasses> successes {};

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

// Page's cumulative sum of Wald's log likelihood ratios for the share of bad answers (E. S. Page,
// Continuous inspection schemes, Biometrika 41, 1954): grows while answers are rather bad with
// probability `badShare` than with `soundShare`, and never falls below 0, so good answers in the
// past do not outweigh later bad ones.
class BadAnswerSum
{
public:
    // Adds `bad` of `n` answers. Requires 0 < soundShare < badShare < 1.
    void add(double bad, double n, double soundShare, double badShare) noexcept;
    [[nodiscard]] double value() const noexcept { return m_value; }

private:
    double m_value = 0;
};

// The judgement on a new version.
struct RolloutVerdict
{
    bool isBad = false;
    bool isSuspicious = false;
    bool hasEnoughEvidence = false;
    // The worst sum, its route and what is compared: "failures" or "slow".
    double worstSum = 0;
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
    // Sums at which a version is bad and suspicious.
    static constexpr double badSum = 10;
    static constexpr double suspiciousSum = 5;
    // Answers of the new version without which it is not known to be sound: over all routes, and on
    // each route with at least this number of answers and this share of them.
    static constexpr std::uint32_t minAnswers = 10;
    static constexpr std::uint32_t minAnswersOfRoute = 4;
    static constexpr std::uint32_t usedRouteAnswers = 100;
    static constexpr double usedRouteShare = 0.05;

    // Replaces the counters that a process has reported in one of its lives.
    void report(const MemberName &from, Incarnation incarnation, const RolloutEvidence &evidence);
    // Compares what was reported since the last call.
    void step(Millis now);
    [[nodiscard]] RolloutVerdict verdict() const;

private:
    // Counts of the old version, older ones with less weight.
    struct RecentCounts
    {
        double failures = 0;
        std::array<double, timeClasses> successes {};

        void decay(double factor) noexcept;
        void add(const AnswerCounts &counts) noexcept;
        [[nodiscard]] double total() const noexcept;
        // Returns the number of successes in later classes than the given one.
        [[nodiscard]] double slowerThan(std::size_t timeClass) const noexcept;
    };

    struct RouteState
    {
        RouteEvidence seen;
        RecentCounts recent;
        RecentCounts all;
        BadAnswerSum failures;
        BadAnswerSum slow;
    };

    void compare(RouteState &route, const AnswerCounts &added);

    std::map<std::pair<MemberName, Incarnation>, RolloutEvidence> m_reports;
    std::map<std::string, RouteState> m_routes;
    Millis m_steppedAt {0};
};

} // namespace fescue::serving
