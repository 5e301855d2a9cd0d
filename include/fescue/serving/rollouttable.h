#pragma once

#include "fescue/serving/endpointtable.h"
#include "fescue/serving/nodesettings.h"
#include "fescue/serving/rolloutevidence.h"
#include "fescue/serving/rolloutnotice.h"
#include "fescue/serving/rolloutplan.h"
#include "fescue/serving/rolloutquota.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fescue::serving {

// Endpoints of a service that may get a request, by the version of their software.
enum class VersionRule : std::uint8_t
{
    // No roll-out decides about the service.
    Any,
    WithoutNew,
    OnlyNew,
};

// What an order means for a process that knows of earlier ones.
enum class OrderEffect : std::uint8_t
{
    Begun,
    // The roll-out goes on as before.
    Repeated,
    // The service uses this version already.
    AlreadyCompleted,
};

// One service's roll-out as this process knows it.
struct Rollout
{
    std::optional<RolloutOrder> order;
    // Time at which the order was written, by this process' clock. Only estimated if the order was
    // found by a listing.
    Millis beganAt {0};
    bool isBeginEstimated = false;
    // Time at which a listing lacked the order, which may be written again.
    std::optional<Millis> missingSince;
    bool isCancelled = false;
    // The latest state that this process has seen in the store, also of an earlier order.
    std::optional<RolloutRecord> record;
    Millis recordSeenAt {0};
    // Endpoints of other versions that were first listed before this time stop with the completion.
    Millis retiredUntil {0};
    // A collector has found the version to be bad.
    bool isHalted = false;
    std::optional<Millis> permittedAt;
    // Versions of earlier orders that were not completed.
    std::set<std::string> withheld;
    RolloutQuota quota;
    RolloutCounts counts;
    RolloutEvidence evidence;

    // Returns the record if it belongs to the order.
    [[nodiscard]] const RolloutRecord *current() const noexcept;
    // Returns the stage, which is the first one until the store has a record of the order.
    [[nodiscard]] RolloutStage stage() const noexcept;
    // Returns true while the order has to be decided.
    [[nodiscard]] bool isActive() const noexcept;
    [[nodiscard]] Millis elapsed(Millis now) const noexcept { return now - beganAt; }
};

// A request to an endpoint of a service in a roll-out that has no first byte yet.
struct OpenRequest
{
    ServiceName service;
    std::string version;
    std::string route;
    Millis sentAt {0};
};

// The roll-outs of software versions that this process knows, and which endpoints they allow for a
// request. Empty if the deployment's settings have no limits for roll-outs.
class RolloutTable
{
public:
    // A permit counts for this time: some intervals of the permits in a large system.
    static constexpr Millis permitLifetime = 2_s;
    // A version that appears beside an older one gets nothing for this time: an order may follow.
    static constexpr Millis newVersionHold = 3_s;
    // An order that a listing lacks remains in force for this time.
    static constexpr Millis missingOrderGrace = 10_s;

    // Records an order. `age` is the time since it was written if that is known.
    OrderEffect orderWritten(Millis now, const RolloutOrder &order, std::optional<Millis> age,
                             double initialCredit);
    // Records that an order was removed, or that a listing lacks it.
    void orderRemoved(Millis now, const ServiceName &service, bool fromListing);
    // Records the state that the store has. Returns false if it is not newer than the known one.
    bool recordSeen(Millis now, Millis wallNow, const RolloutRecord &record);
    // Records a collector's permit. Returns false if it is about another order.
    bool permitted(Millis now, const RolloutPermit &permit);
    // Stops sending requests to the new version of a service at once.
    void halt(const ServiceName &service);
    // Cancels orders that were missing for too long.
    void tick(Millis now);

    [[nodiscard]] const std::map<ServiceName, Rollout> &all() const noexcept { return m_rollouts; }
    [[nodiscard]] const Rollout *find(const ServiceName &service) const;

    // Returns true if the next request to a service should go to the new version.
    [[nodiscard]] bool wantsNewVersion(Millis now, const ServiceName &service,
                                       const RolloutLimits &limits) const;
    // Counts a request that is about to be sent to an endpoint of the service. A retry counts only
    // if the new version gets it.
    void recordRequest(const EndpointRecord &endpoint, const RolloutLimits &limits,
                       bool isRetry = false);
    // Returns the rule for requests of a service that wantsNewVersion() has not chosen, and for
    // generations that are moved.
    [[nodiscard]] VersionRule ruleFor(Millis now, const ServiceName &service) const;
    // Returns true if work at the endpoint has to end: its version is being replaced, and this
    // process may use the new one.
    [[nodiscard]] bool isRetiring(Millis now, const EndpointRecord &endpoint) const;

    // Removes the endpoints that a rule excludes. `all` holds the known endpoints: a reverted
    // version is used if there is no other.
    void filter(Millis now, const ServiceName &service, VersionRule rule,
                const std::map<EndpointName, EndpointView> &all,
                std::vector<const EndpointView *> &candidates) const;
    // Reduces the endpoints of a new version to as many as get the load of the old ones at the
    // present share of the requests, always the same ones. Cold ones are left out.
    void limitToShare(Millis now, const ServiceName &service, const RolloutLimits &limits,
                      std::vector<const EndpointView *> &candidates) const;
    // Leaves out versions that have just appeared beside an older one. Called if the service has no
    // roll-out.
    static void holdNewVersions(Millis now, std::vector<const EndpointView *> &candidates);

    // Records an answer for the comparison of the versions.
    void recordAnswer(const ServiceName &service, const std::string &version,
                      const std::string &route, bool succeeded, Millis firstByteTime);
    // Records that a caller left, or its time was over, before the first byte.
    void recordAbandoned(const ServiceName &service, const std::string &version,
                         const std::string &route, Millis waited);
    // Records a request whose wait is evidence until its end. Returns 0 if its service has no
    // roll-out.
    std::uint64_t beginWait(OpenRequest request);
    void endWait(std::uint64_t id) { m_open.erase(id); }
    // Returns the answers of this process, and the waits of its open requests.
    [[nodiscard]] RolloutEvidence evidence(Millis now, const ServiceName &service) const;

private:
    [[nodiscard]] bool isPermitted(Millis now, const Rollout &rollout) const noexcept;
    // Returns the counts of a version on a route.
    [[nodiscard]] static AnswerCounts &countsOf(const Rollout &rollout, RolloutEvidence &evidence,
                                                const std::string &version,
                                                const std::string &route);

    std::map<ServiceName, Rollout> m_rollouts;
    std::map<std::uint64_t, OpenRequest> m_open;
    std::uint64_t m_lastOpen = 0;
};

} // namespace fescue::serving
