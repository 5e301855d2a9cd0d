#pragma once

#include "fescue/core/membertable.h"
#include "fescue/net/httpclient.h"
#include "fescue/net/workerpool.h"
#include "fescue/observe/metrics.h"
#include "fescue/policy/lengthforecast.h"
#include "fescue/serving/bytebudget.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/coldratelimiter.h"
#include "fescue/serving/coldshares.h"
#include "fescue/serving/endpointhealth.h"
#include "fescue/serving/endpointpauses.h"
#include "fescue/serving/endpointtable.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/nodesettings.h"
#include "fescue/serving/placement.h"
#include "fescue/serving/routetable.h"
#include "fescue/serving/sharedretrybudget.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace fescue::serving {

// What one entry process knows and has under way. Belongs to the one worker of the process, which
// makes locks needless.
class ServingState
{
public:
    ServingState(NodeSettings nodeSettings, net::WorkerPool &workerPool,
                 observe::Metrics &processMetrics);

    [[nodiscard]] static Millis now() noexcept { return SteadyClock {}.now(); }
    // A random number in [0, 1).
    [[nodiscard]] double uniform();

    // Takes a configuration where it is newer than the one in force. Returns false where it is not.
    bool applyConfig(ServingConfig config);

    // Entry processes that may be live, for dividing bounds of the whole system. Never shrinks
    // within the remembered time, since a process that cannot be seen may still send.
    [[nodiscard]] std::size_t membersForShares();

    // True where loads are told within an availability zone only, because telling all processes
    // would take too much of their links and processors.
    [[nodiscard]] bool isLarge() const;

    [[nodiscard]] PlacementView placementView(const ServiceName &service);
    // Endpoints of a service that may be given new work.
    [[nodiscard]] std::vector<const EndpointView *> candidates(const ServiceName &service) const;
    // Records that nothing listens at an endpoint's address, as this process met it or as a peer
    // told. The endpoint is left out for a while, unless no other is left.
    void refusedBy(const EndpointRecord &endpoint);
    void peerRefusedBy(const EndpointIncarnation &endpoint);
    // False while the endpoint wants nothing from this process, whatever the request is for.
    [[nodiscard]] bool mayCall(const EndpointRecord &endpoint) const;
    // Time until some endpoint of a service may be used, where all of them asked for a pause, else
    // 0.
    [[nodiscard]] Millis pauseOfAll(const ServiceName &service) const;
    // True where the store has answered nobody for longer than its watchers are ever silent.
    [[nodiscard]] bool storeSilent() const noexcept;
    // Records what an answer of an endpoint says of the endpoint itself.
    void heardFrom(const EndpointRecord &endpoint, const EngineAnswerHead &head);
    // Takes the right to send a request to an endpoint; false where it is cold and the part of this
    // process is used up.
    [[nodiscard]] bool takeColdShare(const EndpointView &endpoint);
    [[nodiscard]] double coldBound(const ServiceName &service) const;

    // Takes one repeat of a request to a service out of the bound for all processes.
    [[nodiscard]] bool takeRepeat(const ServiceName &service,
                                  RetryPurpose use = RetryPurpose::Rescue);
    // The same for going on with a generation elsewhere; logs where none is left.
    [[nodiscard]] bool takeRescue(const GenerationRun &run);
    [[nodiscard]] SharedRetryBudget &repeatsOf(const ServiceName &service);
    // Repeats that this process has used lately, by service, for telling it to peers.
    [[nodiscard]] std::vector<ServiceRetries> ownRepeats();

    // Output tokens that a generation on a route is expected to make: the caller's guess, bounded
    // by the most that it allows and by what earlier outputs of the route make likely.
    [[nodiscard]] std::uint32_t expectedOutput(const Route &route,
                                               const GenerationSize &size) const;
    // Records how long an output became.
    void observeOutput(const Route &route, std::uint32_t tokens);

    NodeSettings settings;
    net::WorkerPool &pool;
    observe::Metrics &metrics;
    // Calls to endpoints; keeps no idle connections.
    net::HttpClient engineClient;
    RouteTablePtr routes;
    EndpointTable endpoints;
    LoadLedger ledger;
    EndpointHealth health;
    // Endpoints that asked this process for a pause.
    EndpointPauses pauses;
    // Endpoints at whose addresses nothing listened lately, as this process or a peer met it.
    EndpointPauses refusing;
    // Those of them that this process met itself; only these are told to peers.
    EndpointPauses ownRefusals;
    // Memory for answers that are read whole before they are passed on.
    ByteBudget answerMemory;
    ColdRateLimiter coldRateLimiter;
    ColdShares coldShares;
    LinkQueue links;
    MemberTable members;
    RunRegistry runs;
    // Tells peers of new work at once; they choose endpoints by it.
    std::function<void()> tellPeers = [] {};
    // Called once for each endpoint that says in an answer that it leaves.
    std::function<void(const EndpointIncarnation &, std::optional<Millis> leavesIn)>
        endpointSaidLeaving = [](const EndpointIncarnation &, std::optional<Millis>) {};
    // When the store answered last, to this process or to a peer that told it.
    Millis storeHeardAt {0};
    // True once the process has been asked to stop.
    bool draining = false;
    // Requests that have no final answer yet.
    std::size_t open = 0;

private:
    std::map<ServiceName, SharedRetryBudget> m_repeats;
    LengthForecast m_lengths;
    std::mt19937_64 m_random;
    std::size_t m_mostMembers = 1;
    Millis m_mostMembersAt {0};
};

} // namespace fescue::serving
