#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/resultcode.h"
#include "fescue/policy/creditbalance.h"
#include "fescue/policy/fairqueue.h"
#include "fescue/policy/lengthforecast.h"
#include "fescue/policy/policies.h"
#include "fescue/policy/request.h"
#include "fescue/policy/router.h"
#include "fescue/policy/startrate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fescue {

// An endpoint that currently accepts requests: it is in service, reachable and not leaving.
struct EligibleEndpoint
{
    EndpointName endpoint;
    bool sameZone = false;
    bool operator==(const EligibleEndpoint &) const = default;
};

// How a started request ended.
enum class EndKind : std::uint8_t
{
    // The whole response was delivered.
    Completed,
    // Cancelled by the caller, or lost after part of it was delivered.
    Aborted,
};

// Event counters of one queue since its construction.
struct QueueCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t returned = 0;
    std::uint64_t ended = 0;
};

// Decides, for one service on one entry, where and when requests start. Each request either starts
// and ends, or is refused by a Refuse decision; exactly one of the two happens. returned() revokes
// a Start, after which the queue decides about the request again.
template <AdmissionPolicy Policy>
class AdmissionQueue
{
public:
    // All queues of an entry share the credit balance and the forecast, which must outlive the
    // queues.
    AdmissionQueue(ServiceName service, Policy policy, CreditBalance &creditBalance,
                   LengthForecast &forecast);

    [[nodiscard]] std::vector<Decision> arrival(Request request, Millis now);
    // Records that a running request has produced n more tokens.
    void tokensProduced(RequestId id, std::uint32_t n, Millis now);
    // Handles the end of a running request and releases its credit.
    [[nodiscard]] std::vector<Decision> ended(RequestId id, EndKind kind, Millis now);
    // Requeues a request that the endpoint did not accept, or whose endpoint was lost before any
    // token was delivered. The request becomes the first of its account, and the queue avoids that
    // endpoint for a short time.
    [[nodiscard]] std::vector<Decision> returned(RequestId id, Millis now);
    // Removes a queued request without a decision because its caller disconnected. Returns false if
    // the request is not queued.
    bool withdraw(RequestId id, Millis now);
    // Replaces the list of endpoints that accept requests.
    [[nodiscard]] std::vector<Decision> setEligible(std::vector<EligibleEndpoint> endpoints,
                                                    Millis now);
    // Starts what requests it can after the credit of an endpoint of the service has changed.
    [[nodiscard]] std::vector<Decision> creditChanged(Millis now);
    // Starts and refuses requests as time passes. Must be called every few tens of milliseconds.
    [[nodiscard]] std::vector<Decision> tick(Millis now);
    // Refuses all queued requests.
    [[nodiscard]] std::vector<Decision> refuseAll(ResultCode code, Millis now);
    // Replaces the policy for all further decisions.
    void setPolicy(Policy policy) { m_policy = std::move(policy); }
    void setWeight(const AccountName &account, double weight)
    {
        m_queue.setWeight(account, weight);
    }

    // Returns the demand to send to the credit authority of an endpoint.
    [[nodiscard]] EntryDemand demand(const EndpointName &endpoint, Millis now) const;
    [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] const QueueCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] const ServiceName &service() const noexcept { return m_service; }
    // Returns the predicted wait of a request of the account that arrives now, or nullopt while it
    // cannot be predicted.
    [[nodiscard]] std::optional<Millis> predictedWait(const AccountName &account, Millis now) const;

private:
    struct QueuedRequest
    {
        Request request;
        Millis arrivedAt {0};
        std::uint32_t attempts = 0;
    };
    struct RunningRequest
    {
        QueuedRequest queued;
        EndpointName endpoint;
        std::uint64_t promised = 0;
        std::uint32_t produced = 0;
    };
    using Decisions = std::vector<Decision>;

    void drain(Decisions &decisions, Millis now);
    [[nodiscard]] bool tryStart(const AccountName &account, RequestId id, Decisions &decisions,
                                Millis now);
    [[nodiscard]] std::vector<Candidate> candidates(std::uint64_t tokens, Millis now) const;
    void refuse(RequestId id, ResultCode code, Decisions &decisions, Millis now);
    void refuseLate(Decisions &decisions, Millis now);
    [[nodiscard]] std::optional<ResultCode> refusalOnArrival(const Request &request,
                                                             Millis now) const;
    [[nodiscard]] Millis retryAfter(const AccountName &account, Millis now) const;
    [[nodiscard]] Millis latestStart(const QueuedRequest &queued) const;
    [[nodiscard]] std::uint64_t nextPromisedTokens() const;
    void updateBacklog(Millis now);

    ServiceName m_service;
    Policy m_policy;
    CreditBalance &m_creditBalance;
    LengthForecast &m_forecast;
    FairQueue m_queue;
    StartRate m_startRate;
    std::map<RequestId, QueuedRequest> m_waiting;
    std::map<RequestId, RunningRequest> m_running;
    std::vector<EligibleEndpoint> m_eligible;
    // Endpoints that returned a request, with the time until which they are avoided.
    std::map<EndpointName, Millis> m_avoidedUntil;
    QueueCounters m_counters;
    // Running mean of the memory, in tokens, promised to requests at their start.
    std::uint64_t m_meanPromisedTokens = 0;
};

} // namespace fescue

#include "fescue/policy/admissionqueue.inl"
