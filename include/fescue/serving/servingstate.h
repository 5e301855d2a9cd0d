#pragma once

#include "fescue/core/membertable.h"
#include "fescue/net/bytebudget.h"
#include "fescue/net/httpclient.h"
#include "fescue/net/workerpool.h"
#include "fescue/observe/metrics.h"
#include "fescue/policy/lengthforecast.h"
#include "fescue/serving/accountuse.h"
#include "fescue/serving/cachedprefixes.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/clientbuffers.h"
#include "fescue/serving/coldratelimiter.h"
#include "fescue/serving/coldshares.h"
#include "fescue/serving/descriptorshare.h"
#include "fescue/serving/endpointhealth.h"
#include "fescue/serving/endpointpauses.h"
#include "fescue/serving/endpointtable.h"
#include "fescue/serving/enginepace.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/nodesettings.h"
#include "fescue/serving/placement.h"
#include "fescue/serving/promptquarantine.h"
#include "fescue/serving/returnschedule.h"
#include "fescue/serving/rollouttable.h"
#include "fescue/serving/routetable.h"
#include "fescue/serving/sharedretrybudget.h"
#include "fescue/serving/slotgrant.h"
#include "fescue/serving/stopplan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace fescue::serving {

// State of one entry process: what it knows of the system, and its open requests. Used only on the
// one worker of the process, so it needs no locks.
class ServingState
{
public:
    ServingState(NodeSettings nodeSettings, net::WorkerPool &workerPool,
                 observe::Metrics &processMetrics);

    [[nodiscard]] static Millis now() noexcept { return SteadyClock {}.now(); }
    // Returns a random number in [0, 1).
    [[nodiscard]] double uniform();

    // Applies a configuration if it is newer than the one in force. Returns false if it is not.
    bool applyConfig(ServingConfig config);

    // Returns the number of entry processes that may be live, by which limits of the whole system
    // are divided. Does not decrease within ColdShares::memberRetention, since a process that is
    // not visible may still send requests.
    [[nodiscard]] std::size_t membersForShares();

    // Returns true if loads are sent within an availability zone only, because sending them to all
    // processes would use too much of their links and processors.
    [[nodiscard]] bool isLarge() const;
    // Returns true if processes report changes of their loads at once to all others that do not
    // receive them with the gossip. The number of these messages grows with the square of the
    // number of processes, so very large systems do without them.
    [[nodiscard]] bool reportsLoadChanges() const;

    // Samples the progress of this process' generations, and updates the learned paces of engines
    // from it and from the reports of other processes.
    void updatePaces();
    [[nodiscard]] PlacementView placementView(const ServiceName &service);
    // Returns the endpoints of a service that may receive new requests.
    [[nodiscard]] std::vector<const EndpointView *> candidates(const ServiceName &service) const;
    // Returns those of a service's new software version that may receive requests during a
    // roll-out.
    [[nodiscard]] std::vector<const EndpointView *>
    newVersionCandidates(const ServiceName &service) const;
    // Chooses an endpoint with `choose(candidates)`, which returns null if none of them has room:
    // during a roll-out one of the new version if that may get the request, else one of the others.
    // Retries go to the others.
    template <typename F>
    [[nodiscard]] const EndpointView *chooseByVersion(const ServiceName &service, bool isRetry,
                                                      F choose)
    {
        const std::optional<RolloutLimits> &limits = settings.deploymentLimits.rollout;
        if (!limits || rollouts.all().empty())
            return choose(candidates(service));
        const EndpointView *endpoint = nullptr;
        if (!isRetry && rollouts.wantsNewVersion(now(), service, *limits))
            endpoint = choose(newVersionCandidates(service));
        if (endpoint == nullptr)
            endpoint = choose(candidates(service));
        if (endpoint != nullptr)
            rollouts.recordRequest(endpoint->record, *limits, isRetry);
        return endpoint;
    }
    // Returns true if work at an endpoint has to end or move: it leaves, or its software version is
    // being replaced.
    [[nodiscard]] bool isEnding(const EndpointView &endpoint) const
    {
        return endpoint.leaving() || rollouts.isRetiring(now(), endpoint.record);
    }
    // Records that an endpoint's address refused a connection of this process or, as reported, of a
    // peer. The endpoint is not a candidate for a while, unless the service has no other.
    void recordRefusedConnection(const EndpointRecord &endpoint);
    void recordPeerRefusal(const EndpointIncarnation &endpoint);
    // Returns false during a pause that the endpoint asked for; the pause covers all kinds of
    // requests.
    [[nodiscard]] bool mayCall(const EndpointRecord &endpoint) const;
    // Returns the time until some endpoint of a service may be used if all of them asked for a
    // pause, else 0.
    [[nodiscard]] Millis pauseOfAll(const ServiceName &service) const;
    // Returns true if no process is known to have had an answer of the store for longer than the
    // normal interval between reports of its watchers.
    [[nodiscard]] bool isStoreSilent() const noexcept;
    // Handles what the head of an answer reports about the endpoint itself: a requested pause, or
    // that it leaves.
    void handleAnswerHead(const EndpointRecord &endpoint, const EngineAnswerHead &head);
    // Takes one request out of this process' share of a cold endpoint's limit. Returns false if the
    // share is used up; always true for an endpoint that is not cold.
    [[nodiscard]] bool tryTakeColdShare(const EndpointView &endpoint);
    // Returns the number of requests a second that all processes together may send to one cold
    // endpoint of a service.
    [[nodiscard]] double coldLimitOf(const ServiceName &service) const;

    // Takes one retry of a request to a service out of this process' share of the limit for all
    // processes. Returns false if none is left.
    [[nodiscard]] bool tryTakeRetry(const ServiceName &service,
                                    RetryPurpose purpose = RetryPurpose::Rescue);
    // Takes one retry for resuming a generation on another endpoint. Returns false and logs if none
    // is left.
    [[nodiscard]] bool tryTakeRetryForResume(const GenerationRun &run);
    [[nodiscard]] SharedRetryBudget &retryBudgetOf(const ServiceName &service);
    // Returns the retries that this process has used recently, by service, for the gossip to peers.
    [[nodiscard]] std::vector<ServiceRetries> ownRetries();

    // Records that a generation of this process has ended and left room at an engine of a service.
    void recordRoom(const ServiceName &service);
    // Returns the time after which a caller that is refused for lack of room should come back: in
    // the order in which callers will be served if room becomes free as expected. Only services
    // with priorities have an order; nullopt for others, or if no room is expected in time.
    [[nodiscard]] std::optional<Millis> reserveReturn(const ServiceName &service, int priority,
                                                      Millis timeLeft);

    // Returns the expected number of output tokens of a generation on a route: the caller's
    // estimate, clamped to the range that earlier outputs of the route make likely, and limited by
    // the caller's maximum.
    [[nodiscard]] std::uint32_t expectedOutput(const Route &route,
                                               const GenerationSize &size) const;
    // Records the length of a completed output.
    void observeOutput(const Route &route, std::uint32_t tokens);

    NodeSettings settings;
    net::WorkerPool &pool;
    observe::Metrics &metrics;
    // Calls to endpoints; keeps no idle connections.
    net::HttpClient engineClient;
    RouteTablePtr routes;
    EndpointTable endpoints;
    RolloutTable rollouts;
    LoadLedger ledger;
    EnginePace paces;
    AccountUse accountUse;
    ProgressSampler progress;
    EndpointHealth health;
    // Pauses that endpoints asked this process for.
    EndpointPauses pauses;
    // Endpoints whose addresses recently refused a connection of this process or of a peer.
    EndpointPauses refusingEndpoints;
    // Endpoints that refused a connection of this process; only these are reported to peers.
    EndpointPauses ownRefusals;
    // Endpoints that recently rejected a request of this process, or ended its connection without
    // an answer.
    EndpointPauses pressedEndpoints;
    // Memory for the bodies of requests, and for answers that are buffered completely before they
    // are forwarded.
    std::shared_ptr<net::ByteBudget> bodyBudget;
    const SocketLimits socketLimits;
    const ClientBuffers clientBuffers;
    ColdRateLimiter coldRateLimiter;
    ColdShares coldShares;
    LinkQueue links;
    MemberTable members;
    RunRegistry runs;
    // Sends this process' state to peers at once: they choose endpoints by its loads.
    std::function<void()> notifyPeers = [] {};
    // Reports a change of the load on an endpoint to the processes that learn of it too late from
    // loads and sums.
    std::function<void(const EndpointName &, bool added, const EndpointLoad &)> reportLoadChange =
        [](const EndpointName &, bool, const EndpointLoad &) {};
    // Called once for each endpoint that announces leaving in an answer.
    std::function<void(const EndpointIncarnation &, std::optional<Millis> leavesIn)>
        endpointAnnouncedLeaving = [](const EndpointIncarnation &, std::optional<Millis>) {};
    // Called when a zone goes out of service.
    std::function<void(const ZoneName &)> zoneWentOut = [](const ZoneName &) {};
    // Beginnings of prompts that engines are likely to hold.
    CachedPrefixes prefixes;
    // Prompt parts that crash engines.
    PromptQuarantine quarantine;
    // Sends news about crashes and quarantined parts to the other processes.
    std::function<void(const QuarantineNotice &)> sendQuarantineNotice =
        [](const QuarantineNotice &) {};
    // Claims a trial of an entry in the store. Returns false if another process has claimed it or
    // the store does not answer.
    std::function<bool(const QuarantineEntry &)> claimTrial = [](const QuarantineEntry &) {
        return false;
    };
    // Asks for a slot of the request's service, and gives one back, where the slots of services are
    // shared out among the processes; see SlotDesk.
    std::function<SlotGrant(const SlotWish &)> acquireSlot = [](const SlotWish &) {
        return SlotGrant {};
    };
    std::function<void(const ServiceName &, const SlotGrant &, SlotUse)> giveBackSlot =
        [](const ServiceName &, const SlotGrant &, SlotUse) {};
    // Time of the store's last answer to this process or to a peer that reported it.
    Millis storeAnsweredAt {0};
    StopPlan stop;
    // Requests that have no final answer yet.
    std::size_t open = 0;

private:
    // Removes endpoints that asked for a pause or refuse connections.
    void removeUnreachable(std::vector<const EndpointView *> &usable) const;

    std::map<ServiceName, SharedRetryBudget> m_retryBudgets;
    std::map<ServiceName, ReturnSchedule> m_returns;
    LengthForecast m_lengths;
    std::mt19937_64 m_random;
    std::size_t m_maxMembers = 1;
    Millis m_maxMembersAt {0};
};

} // namespace fescue::serving
