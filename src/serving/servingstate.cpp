#include "fescue/serving/servingstate.h"

#include <algorithm>
#include <utility>

namespace fescue::serving {

namespace {

// Time for which the greatest number of members counts after some have gone; longer than any
// outage in which a process that is out of sight can still reach endpoints.
constexpr Millis rememberMembers = 60_s;
// Bounds are divided as if there were at least this many processes: one that has just started knows
// few of the others. Deployments have 7 or more entry VMs.
constexpr std::size_t fewestMembers = 7;
// With more entry processes than this, each would hear a hundred datagrams a second and more.
constexpr std::size_t membersForFullGossip = 20;
// Connecting to an endpoint within the region takes a few milliseconds; one that takes longer has
// lost a packet or its endpoint, and nothing has been sent.
constexpr Millis endpointConnectTimeout = 300_ms;
// Guesses of callers are often far off: they are kept between the lengths that these parts of a
// route's outputs stay below.
constexpr double shortOutputQuantile = 0.25;
constexpr double longOutputQuantile = 0.9;

net::ClientLimits engineClientLimits()
{
    net::ClientLimits limits;
    limits.connectTimeout = endpointConnectTimeout;
    limits.maxIdlePerAddress = 0;
    return limits;
}

// Members wait for heartbeats that come several times a second.
MemberLimits memberLimits()
{
    MemberLimits limits;
    limits.suspectAfter = 1500_ms;
    limits.goneAfter = 3_s;
    limits.registerAgain = 4_s;
    return limits;
}

} // namespace

ServingState::ServingState(NodeSettings nodeSettings, net::WorkerPool &workerPool,
                           observe::Metrics &processMetrics)
    : settings(std::move(nodeSettings)), pool(workerPool), metrics(processMetrics),
      engineClient(engineClientLimits()), members(memberLimits()), m_random(std::random_device {}())
{ }

double ServingState::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool ServingState::applyConfig(ServingConfig config)
{
    if (routes && config.version <= routes->version())
        return false;
    routes = std::make_shared<const RouteTable>(std::move(config));
    return true;
}

std::size_t ServingState::membersForShares()
{
    const Millis time = now();
    return membersForShares(time, members.count(time));
}

std::size_t ServingState::membersForShares(Millis time, std::size_t known)
{
    const std::size_t n = std::max(known, fewestMembers);
    if (n >= m_mostMembers || time - m_mostMembersAt > rememberMembers) {
        m_mostMembers = n;
        m_mostMembersAt = time;
    }
    return m_mostMembers;
}

double ServingState::coldBound(const ServiceName &service) const
{
    const ServiceSpec *spec = routes ? routes->findService(service) : nullptr;
    const double rate = spec == nullptr ? 0 : spec->coldRequestsPerSecond;
    return rate * settings.bounds.coldOverrun + settings.bounds.coldAllowance;
}

bool ServingState::isLarge() const
{
    return members.count(now()) > membersForFullGossip;
}

PlacementView ServingState::placementView(const ServiceName &service)
{
    const Millis time = now();
    const std::size_t known = members.count(time);
    return {ledger,
            health,
            coldGate,
            coldBound(service),
            membersForShares(time, known),
            settings.zone,
            time,
            known > membersForFullGossip};
}

std::vector<const EndpointView *> ServingState::candidates(const ServiceName &service) const
{
    return endpoints.usable(service);
}

bool ServingState::takeColdShare(const EndpointView &endpoint)
{
    const Millis time = now();
    if (!endpoint.isCold(time))
        return true;
    return coldGate.tryTake(time, endpoint.record.name, coldBound(endpoint.record.service),
                            membersForShares());
}

RepeatBudget &ServingState::repeatsOf(const ServiceName &service)
{
    const auto it = m_repeats.find(service);
    if (it != m_repeats.end())
        return it->second;
    const ServingBounds &bounds = settings.bounds;
    const RepeatBound bound {bounds.retryShare, bounds.retryAllowance, bounds.retryWindow};
    return m_repeats.emplace(service, RepeatBudget(bound)).first->second;
}

bool ServingState::takeRepeat(const ServiceName &service)
{
    return repeatsOf(service).tryTake(now(), membersForShares());
}

std::vector<RepeatsOf> ServingState::ownRepeats()
{
    std::vector<RepeatsOf> used;
    for (std::pair<const ServiceName, RepeatBudget> &entry : m_repeats) {
        // Zeros are told as well: a process that tells nothing counts as having used its part.
        used.push_back({entry.first, entry.second.poolUsed(now())});
    }
    return used;
}

std::uint32_t ServingState::expectedOutput(const Route &route, const GenerationSize &size) const
{
    const ServiceName key(route.name);
    const std::uint32_t shortest = m_lengths.quantile({}, key, 0, shortOutputQuantile);
    const std::uint32_t longest = m_lengths.quantile({}, key, 0, longOutputQuantile);
    const std::uint32_t guess = size.expectedOutputTokens.value_or(longest);
    return std::min(std::clamp(guess, shortest, std::max(shortest, longest)), size.maxOutputTokens);
}

void ServingState::observeOutput(const Route &route, std::uint32_t tokens)
{
    m_lengths.observe({}, ServiceName(route.name), tokens);
}

} // namespace fescue::serving
