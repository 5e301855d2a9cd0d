#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/snapshot.h"
#include "fescue/policy/lengthforecast.h"
#include "fescue/policy/request.h"
#include "fescue/policy/router.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace fescue {

// The rules by which one service admits and routes. The queue calls promise() for the memory, in
// tokens, to reserve for a request that has produced `produced` tokens, choose() for an endpoint
// among those that can take a request, queueLimit() for the longest wait, refusesEarly() for
// whether a request is refused on arrival where its predicted wait is too long, and usesCredit()
// for whether starts are bounded by credit at all.
template <typename T>
concept AdmissionPolicy = requires(T policy, const T &constPolicy, const LengthForecast &forecast,
                                   const Request &request, std::span<const Candidate> candidates)
{
    {
        constPolicy.usesCredit()
        } -> std::same_as<bool>;
    {
        constPolicy.promise(forecast, request, std::uint32_t {})
        } -> std::same_as<std::uint64_t>;
    {
        constPolicy.queueLimit()
        } -> std::same_as<Millis>;
    {
        policy.choose(request, candidates)
        } -> std::same_as<std::optional<std::size_t>>;
};

// What the credit-based policies are tuned by.
struct ProfileSettings
{
    // The promise covers the output length with this probability...
    double promiseQuantile = 0.8;
    // ...but looks no further ahead than this many tokens; 0 promises nothing beyond the present.
    std::uint32_t horizonTokens = 2048;
    Millis queueLimit = 30_s;
    bool refusesEarly = true;
    RouterSettings router;
};

// Defaults of the two profiles for a service.
[[nodiscard]] ProfileSettings finishSettings(const Service &service);
[[nodiscard]] ProfileSettings latencySettings(const Service &service);
// Settings of the service's own profile.
[[nodiscard]] ProfileSettings profileSettings(const Service &service);

// Memory, in tokens, that a request is predicted to need within the horizon.
[[nodiscard]] std::uint64_t predictedTokens(const ProfileSettings &settings,
                                            const LengthForecast &forecast, const Request &request,
                                            std::uint32_t produced);

// Starts within credit by predicted memory. The two profiles differ in their settings only: finish
// reserves far ahead, so that few are preempted, and lets others wait; latency keeps a short queue
// and refuses early.
class CreditPolicy
{
public:
    explicit CreditPolicy(ProfileSettings settings) noexcept : m_settings(settings) { }
    [[nodiscard]] bool usesCredit() const noexcept { return true; }
    [[nodiscard]] std::uint64_t promise(const LengthForecast &forecast, const Request &request,
                                        std::uint32_t produced) const
    {
        return predictedTokens(m_settings, forecast, request, produced);
    }
    [[nodiscard]] Millis queueLimit() const noexcept { return m_settings.queueLimit; }
    [[nodiscard]] bool refusesEarly() const noexcept { return m_settings.refusesEarly; }
    [[nodiscard]] std::optional<std::size_t> choose(const Request &request,
                                                    std::span<const Candidate> candidates) const
    {
        return chooseEndpoint(request, candidates, m_settings.router);
    }

private:
    ProfileSettings m_settings;
};

// Baseline: sends each request at once to the next endpoint in turn.
class RoundRobinPolicy
{
public:
    [[nodiscard]] bool usesCredit() const noexcept { return false; }
    [[nodiscard]] std::uint64_t promise(const LengthForecast &, const Request &,
                                        std::uint32_t) const noexcept
    {
        return 0;
    }
    [[nodiscard]] Millis queueLimit() const noexcept { return noDeadline; }
    [[nodiscard]] bool refusesEarly() const noexcept { return false; }
    [[nodiscard]] std::optional<std::size_t> choose(const Request &request,
                                                    std::span<const Candidate> candidates);

private:
    std::size_t m_next = 0;
};

// Baseline: sends each request at once to the endpoint on which this entry runs the fewest.
class LeastInFlightPolicy
{
public:
    [[nodiscard]] bool usesCredit() const noexcept { return false; }
    [[nodiscard]] std::uint64_t promise(const LengthForecast &, const Request &,
                                        std::uint32_t) const noexcept
    {
        return 0;
    }
    [[nodiscard]] Millis queueLimit() const noexcept { return noDeadline; }
    [[nodiscard]] bool refusesEarly() const noexcept { return false; }
    [[nodiscard]] std::optional<std::size_t> choose(const Request &request,
                                                    std::span<const Candidate> candidates);

private:
    // Breaks ties in turn.
    std::size_t m_next = 0;
};

static_assert(AdmissionPolicy<CreditPolicy>);
static_assert(AdmissionPolicy<RoundRobinPolicy>);
static_assert(AdmissionPolicy<LeastInFlightPolicy>);

} // namespace fescue
