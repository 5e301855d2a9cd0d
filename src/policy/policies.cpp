#include "fescue/policy/policies.h"

#include <algorithm>

namespace fescue {

namespace {

// Services with the latency profile refuse requests instead of queueing them for longer than this
// multiple of the first-token target.
constexpr std::int64_t latencyQueueFactor = 2;

} // namespace

ProfileSettings finishSettings(const Service &service)
{
    ProfileSettings settings;
    settings.promiseQuantile = 0.8;
    settings.horizonTokens = 4096;
    settings.queueLimit = service.queueLimit;
    settings.router.affinityPercent = 25;
    return settings;
}

ProfileSettings latencySettings(const Service &service)
{
    ProfileSettings settings;
    settings.promiseQuantile = 0.7;
    settings.horizonTokens = 1024;
    settings.queueLimit =
        std::min(service.queueLimit, service.firstTokenTarget * latencyQueueFactor);
    settings.router.affinityPercent = 15;
    return settings;
}

ProfileSettings profileSettings(const Service &service)
{
    return service.profile == Profile::Latency ? latencySettings(service) : finishSettings(service);
}

std::uint64_t predictedTokens(const ProfileSettings &settings, const LengthForecast &forecast,
                              const Request &request, std::uint32_t produced)
{
    if (request.maxTokens == 0)
        return request.promptTokens;
    const std::uint32_t total =
        forecast.quantile(request.account, request.service, produced, settings.promiseQuantile);
    const std::uint32_t ahead =
        std::min({total, produced + settings.horizonTokens, request.maxTokens});
    return std::uint64_t {request.promptTokens} + std::max(ahead, produced);
}

std::optional<std::size_t> RoundRobinPolicy::choose(const Request & /*request*/,
                                                    std::span<const Candidate> candidates)
{
    if (candidates.empty())
        return std::nullopt;
    return m_next++ % candidates.size();
}

std::optional<std::size_t> LeastInFlightPolicy::choose(const Request & /*request*/,
                                                       std::span<const Candidate> candidates)
{
    if (candidates.empty())
        return std::nullopt;
    std::size_t best = m_next++ % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].running < candidates[best].running)
            best = i;
    }
    return best;
}

} // namespace fescue
