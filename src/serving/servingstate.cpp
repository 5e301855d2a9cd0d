#include "fescue/serving/servingstate.h"

#include "fescue/observe/log.h"
#include "fescue/serving/bodymemory.h"
#include "fescue/serving/refusal.h"

#include <algorithm>
#include <utility>

namespace fescue::serving {

namespace {

// Up to this number of entry processes, each sends its loads to all others. With more, each would
// receive a hundred datagrams per second or more.
constexpr std::size_t maxMembersForFullGossip = 20;
// With more, each process would receive several hundred load changes a second.
constexpr std::size_t maxMembersForLoadChanges = 128;
// Connecting to an endpoint within the region takes a few milliseconds. If it takes longer, a
// packet was lost or the endpoint has failed, and no request has been sent.
constexpr Millis endpointConnectTimeout = 300_ms;
// Pause of an endpoint that asks for one without a duration that can be parsed.
constexpr Millis defaultPause = 1_s;
// An endpoint whose address refused a connection is tried again after this time. Short, since it
// may be back before the store reports it; long enough that few attempts fail on an endpoint that
// has terminated.
constexpr Millis refusedPause = 3_s;
// Watchers get an answer from the store at least every 0.7 s, and report it every 0.25 s.
constexpr Millis longestStoreSilence = 1300_ms;
// Longest answer to a control call of this process.
constexpr std::uint64_t maxControlAnswerBytes = std::uint64_t {256} * 1024;
constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;
// Callers' length estimates are often far off, so they are clamped between these quantiles of the
// route's output lengths.
constexpr double shortOutputQuantile = 0.25;
constexpr double longOutputQuantile = 0.9;

net::ClientLimits engineClientLimits()
{
    net::ClientLimits limits;
    limits.connectTimeout = endpointConnectTimeout;
    limits.maxIdlePerAddress = 0;
    limits.maxBodyBytes = maxControlAnswerBytes;
    return limits;
}

std::size_t bodyMemoryOf(const NodeSettings &settings) noexcept
{
    return bodyMemory(settings.memoryMegabytes * bytesPerMegabyte);
}

ClientBuffers clientBuffersOf(const NodeSettings &settings, std::size_t bodyBytes) noexcept
{
    return clientBuffers(settings.memoryMegabytes * bytesPerMegabyte, bodyBytes,
                         callerConnections(settings.maxDescriptors, openFileLimit()),
                         sideConnections(settings.maxDescriptors, openFileLimit()));
}

// Heartbeats arrive several times a second, so these limits are short.
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
      engineClient(engineClientLimits()),
      bodyBudget(std::make_shared<net::ByteBudget>(bodyMemoryOf(settings))),
      socketLimits(serving::socketLimits(settings.maxDescriptors, openFileLimit())),
      clientBuffers(clientBuffersOf(settings, bodyBudget->limit())), coldShares(settings.name),
      members(memberLimits()), prefixes(settings.deploymentLimits.prefixRetention),
      m_random(std::random_device {}())
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
    const std::size_t n = std::max(members.count(time), ColdShares::minMembers);
    if (n >= m_maxMembers || time - m_maxMembersAt > ColdShares::memberRetention) {
        m_maxMembers = n;
        m_maxMembersAt = time;
    }
    return m_maxMembers;
}

double ServingState::coldLimitOf(const ServiceName &service) const
{
    const ServiceSpec *spec = routes ? routes->findService(service) : nullptr;
    const double rate = spec == nullptr ? 0 : spec->coldRequestsPerSecond;
    return rate * settings.deploymentLimits.coldOverrun + settings.deploymentLimits.coldAllowance;
}

bool ServingState::isLarge() const
{
    return members.count(now()) > maxMembersForFullGossip;
}

bool ServingState::reportsLoadChanges() const
{
    return isLarge() && members.count(now()) <= maxMembersForLoadChanges;
}

void ServingState::updatePaces()
{
    const Millis time = now();
    ledger.setProgress(progress.sample(time, runs.progress()));
    for (const std::pair<const EndpointName, EndpointView> &entry : endpoints.all())
        paces.observe(time, entry.first, ledger.total(time, entry.first));
    paces.purge(time);
}

PlacementView ServingState::placementView(const ServiceName &service)
{
    const bool hasPriorities = routes && routes->hasPriorities(service);
    return {ledger,
            health,
            coldRateLimiter,
            coldShares,
            coldLimitOf(service),
            settings.zone,
            now(),
            isLarge(),
            hasPriorities && reportsLoadChanges(),
            hasPriorities ? &paces : nullptr,
            &prefixes};
}

std::vector<const EndpointView *> ServingState::candidates(const ServiceName &service) const
{
    std::vector<const EndpointView *> usable = endpoints.usable(service);
    if (settings.deploymentLimits.rollout) {
        const Millis time = now();
        const VersionRule rule = rollouts.ruleFor(time, service);
        if (rule == VersionRule::Any)
            RolloutTable::holdNewVersions(time, usable);
        else
            rollouts.filter(time, service, rule, endpoints.all(), usable);
    }
    removeUnreachable(usable);
    return usable;
}

std::vector<const EndpointView *>
ServingState::newVersionCandidates(const ServiceName &service) const
{
    const std::optional<RolloutLimits> &limits = settings.deploymentLimits.rollout;
    if (!limits)
        return {};
    const Millis time = now();
    std::vector<const EndpointView *> usable = endpoints.usable(service);
    rollouts.filter(time, service, VersionRule::OnlyNew, endpoints.all(), usable);
    removeUnreachable(usable);
    rollouts.limitToShare(time, service, *limits, usable);
    return usable;
}

void ServingState::removeUnreachable(std::vector<const EndpointView *> &usable) const
{
    std::erase_if(usable, [this](const EndpointView *view) { return !mayCall(view->record); });
    const Millis time = now();
    const auto refuses = [this, time](const EndpointView *view) {
        return refusingEndpoints.isPaused(time, view->record.name, view->record.incarnation);
    };
    if (!std::all_of(usable.begin(), usable.end(), refuses))
        std::erase_if(usable, refuses);
}

void ServingState::recordRefusedConnection(const EndpointRecord &endpoint)
{
    const Millis time = now();
    refusingEndpoints.pause(time, endpoint.name, endpoint.incarnation, refusedPause);
    ownRefusals.pause(time, endpoint.name, endpoint.incarnation, refusedPause);
    notifyPeers();
}

void ServingState::recordPeerRefusal(const EndpointIncarnation &endpoint)
{
    // Peers repeat the report until their own pause ends; it must not extend this one.
    const Millis time = now();
    if (!refusingEndpoints.isPaused(time, endpoint.endpoint, endpoint.incarnation))
        refusingEndpoints.pause(time, endpoint.endpoint, endpoint.incarnation, refusedPause);
}

bool ServingState::isStoreSilent() const noexcept
{
    return now() - storeAnsweredAt > longestStoreSilence;
}

bool ServingState::mayCall(const EndpointRecord &endpoint) const
{
    return !pauses.isPaused(now(), endpoint.name, endpoint.incarnation);
}

Millis ServingState::pauseOfAll(const ServiceName &service) const
{
    const Millis time = now();
    std::optional<Millis> shortest;
    for (const EndpointView *view : endpoints.usable(service)) {
        const Millis left = pauses.remaining(time, view->record.name, view->record.incarnation);
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest.value_or(Millis {0});
}

void ServingState::handleAnswerHead(const EndpointRecord &endpoint, const EngineAnswerHead &head)
{
    const Millis time = now();
    if (head.asksPause) {
        const Millis span = head.pause.value_or(defaultPause);
        pauses.pause(time, endpoint.name, endpoint.incarnation, span);
        observe::logChange("endpoint-pause",
                           {{"endpoint", endpoint.name.text()},
                            {"status", head.status},
                            {"pause_ms", span.count},
                            {"readable", head.pause ? "yes" : "no"}});
    }
    const EndpointIncarnation leavingEndpoint {endpoint.name, endpoint.incarnation};
    if (head.leaving && endpoints.announcedLeaving(time, leavingEndpoint)) {
        observe::logChange("endpoint",
                           {{"endpoint", endpoint.name.text()},
                            {"service", endpoint.service.text()},
                            {"zone", endpoint.zone.text()},
                            {"state", "leaving"},
                            {"reason", "announced in an answer"}});
        endpointAnnouncedLeaving(leavingEndpoint, head.leavesIn);
    }
}

bool ServingState::tryTakeColdShare(const EndpointView &endpoint)
{
    const Millis time = now();
    if (!endpoint.isCold(time))
        return true;
    const EndpointName &name = endpoint.record.name;
    return coldRateLimiter.tryTake(
        time, name, coldShares.share(time, name, coldLimitOf(endpoint.record.service)));
}

SharedRetryBudget &ServingState::retryBudgetOf(const ServiceName &service)
{
    const auto it = m_retryBudgets.find(service);
    if (it != m_retryBudgets.end())
        return it->second;
    const DeploymentLimits &deploymentLimits = settings.deploymentLimits;
    const RetryLimit limit {deploymentLimits.retryShare, deploymentLimits.retryAllowance,
                            deploymentLimits.retryWindow};
    return m_retryBudgets.emplace(service, SharedRetryBudget(limit)).first->second;
}

bool ServingState::tryTakeRetry(const ServiceName &service, RetryPurpose purpose)
{
    return retryBudgetOf(service).tryTake(now(), membersForShares(), purpose);
}

bool ServingState::tryTakeRetryForResume(const GenerationRun &run)
{
    if (tryTakeRetry(run.service))
        return true;
    observe::logChange("move-refused", {{"id", run.requestId}, {"reason", "repeat budget"}});
    return false;
}

void ServingState::recordRoom(const ServiceName &service)
{
    m_returns[service].recordRoom(now());
}

std::optional<Millis> ServingState::reserveReturn(const ServiceName &service, int priority,
                                                  Millis timeLeft)
{
    const auto it = m_returns.find(service);
    if (it == m_returns.end() || !routes || !routes->hasPriorities(service))
        return std::nullopt;
    const ReturnSpan span = returnSpan(RefusalCause::Full, timeLeft);
    return it->second.reserve(now(), priority, span.earliest, span.latest, uniform());
}

std::vector<ServiceRetries> ServingState::ownRetries()
{
    std::vector<ServiceRetries> used;
    for (std::pair<const ServiceName, SharedRetryBudget> &entry : m_retryBudgets) {
        // Zeros are sent as well: a process that reports nothing counts as having used its share.
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
