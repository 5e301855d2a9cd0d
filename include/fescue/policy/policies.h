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

// Admission and routing policy of one service. promise() returns the memory, in tokens, to reserve
// for a request that has already produced the given number of tokens. choose() selects one of the
// endpoints that can accept the request. queueLimit() is the longest wait. refusesEarly() returns
// whether a request is refused on arrival if its predicted wait is too long. usesCredit() returns
// whether credit bounds the starts.
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

// Settings of the credit-based policies.
struct ProfileSettings
{
    // Probability with which the promise covers the output length within the horizon.
    double promiseQuantile = 0.8;
    // Number of tokens beyond those produced that the promise covers at most; 0 covers only the
    // tokens already produced.
    std::uint32_t horizonTokens = 2048;
    Millis queueLimit = 30_s;
    bool refusesEarly = true;
    RouterSettings router;
};

// Return the default settings of the two profiles for a service.
[[nodiscard]] ProfileSettings finishSettings(const Service &service);
[[nodiscard]] ProfileSettings latencySettings(const Service &service);
// Returns the settings of the profile that the service is configured with.
[[nodiscard]] ProfileSettings profileSettings(const Service &service);

// Returns the memory, in tokens, that a request is predicted to need within the horizon.
[[nodiscard]] std::uint64_t predictedTokens(const ProfileSettings &settings,
                                            const LengthForecast &forecast, const Request &request,
                                            std::uint32_t produced);

// Starts requests only if credit covers their predicted memory. The two profiles differ in their
// settings only: finish reserves memory far ahead, so that few requests are preempted while others
// wait longer; latency keeps a short queue and refuses early.
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

// Baseline that starts each request immediately on the next endpoint in turn.
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

// Baseline that starts each request immediately on the endpoint on which this entry runs the fewest
// requests.
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
    // Index from which the search starts; it rotates, so that ties are broken in turn.
    std::size_t m_next = 0;
};

static_assert(AdmissionPolicy<CreditPolicy>);
static_assert(AdmissionPolicy<RoundRobinPolicy>);
static_assert(AdmissionPolicy<LeastInFlightPolicy>);

} // namespace fescue
