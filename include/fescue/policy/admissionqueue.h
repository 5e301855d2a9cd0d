#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/resultcode.h"
#include "fescue/policy/creditwallet.h"
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

// An endpoint that may be given work at present: in service, reachable, not leaving.
struct EligibleEndpoint
{
    EndpointName endpoint;
    bool sameZone = false;
    bool operator==(const EligibleEndpoint &) const = default;
};

// How a started request ended.
enum class EndKind : std::uint8_t
{
    // The whole answer was delivered.
    Completed,
    // Cancelled by the caller, or lost after part of it was delivered.
    Aborted,
};

// Counters of one queue since it was made.
struct QueueCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t returned = 0;
    std::uint64_t ended = 0;
};

// Decides, for one service on one entry, where and when requests start. Each request gets exactly
// one of: an end after a Start, or a Refuse. A Start may be taken back by returned(), after which
// the request is decided anew.
template <AdmissionPolicy Policy>
class AdmissionQueue
{
public:
    // The wallet and the forecast are shared by the queues of an entry and must outlive them.
    AdmissionQueue(ServiceName service, Policy policy, CreditWallet &wallet,
                   LengthForecast &forecast);

    [[nodiscard]] std::vector<Decision> arrival(Request request, Millis now);
    // Tokens of a running request have appeared.
    void tokensProduced(RequestId id, std::uint32_t n, Millis now);
    // A running request has ended.
    [[nodiscard]] std::vector<Decision> ended(RequestId id, EndKind kind, Millis now);
    // The endpoint did not take the request, or was lost before any token was delivered: the
    // request waits again, first in line, and avoids that endpoint for a while.
    [[nodiscard]] std::vector<Decision> returned(RequestId id, Millis now);
    // The caller has gone. A queued request is forgotten without a decision; returns true for it.
    bool withdraw(RequestId id, Millis now);
    // Replaces the list of endpoints that may be given work.
    [[nodiscard]] std::vector<Decision> setEligible(std::vector<EligibleEndpoint> endpoints,
                                                    Millis now);
    // The credit of some endpoint of the service has changed.
    [[nodiscard]] std::vector<Decision> creditChanged(Millis now);
    // To be called every few ten milliseconds.
    [[nodiscard]] std::vector<Decision> tick(Millis now);
    // Refuses all queued requests.
    [[nodiscard]] std::vector<Decision> refuseAll(ResultCode code, Millis now);
    // Replaces the policy for all further decisions.
    void setPolicy(Policy policy) { m_policy = std::move(policy); }
    void setWeight(const AccountName &account, double weight)
    {
        m_queue.setWeight(account, weight);
    }

    // The demand to send to the authority of an endpoint.
    [[nodiscard]] EntryDemand demand(const EndpointName &endpoint, Millis now) const;
    [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] const QueueCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] const ServiceName &service() const noexcept { return m_service; }
    // Time that a request of the account arriving now would wait; none while not known.
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
    [[nodiscard]] std::uint64_t nextPromise() const;
    void updateBacklog(Millis now);

    ServiceName m_service;
    Policy m_policy;
    CreditWallet &m_wallet;
    LengthForecast &m_forecast;
    FairQueue m_queue;
    StartRate m_startRate;
    std::map<RequestId, QueuedRequest> m_waiting;
    std::map<RequestId, RunningRequest> m_running;
    std::vector<EligibleEndpoint> m_eligible;
    // Endpoints that gave a request back, until when they are avoided.
    std::map<EndpointName, Millis> m_avoid;
    QueueCounters m_counters;
    // Running mean of the memory promised to requests at their start.
    std::uint64_t m_usualPromise = 0;
};

} // namespace fescue

#include "fescue/policy/admissionqueue.inl"
