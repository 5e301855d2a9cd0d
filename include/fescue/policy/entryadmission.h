#pragma once

#include "fescue/policy/admissionqueue.h"
#include "fescue/policy/creditbalance.h"
#include "fescue/policy/lengthforecast.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace fescue {

// An endpoint that accepts requests, with its service.
struct ServiceEndpoint
{
    ServiceName service;
    EligibleEndpoint endpoint;
};

// Admission decisions of one entry for all services. Each service has a queue with the policy of
// the service's profile; all queues share one credit balance and one length forecast.
class EntryAdmission
{
public:
    explicit EntryAdmission(MemberName member);
    EntryAdmission(const EntryAdmission &) = delete;
    EntryAdmission &operator=(const EntryAdmission &) = delete;
    ~EntryAdmission() = default;

    // Applies a configuration: the services with their settings, and the weights of the accounts.
    // Queued requests of removed services are refused; running ones continue.
    [[nodiscard]] std::vector<Decision>
    applyServices(std::span<const Service> services, std::span<const Account> accounts, Millis now);
    // Replaces the list of endpoints that accept requests.
    [[nodiscard]] std::vector<Decision> setEligible(std::span<const ServiceEndpoint> endpoints,
                                                    Millis now);
    // Queues a request. Refuses it with UnknownService if the service is not configured.
    [[nodiscard]] std::vector<Decision> arrival(Request request, Millis now);
    void tokensProduced(RequestId id, std::uint32_t n, Millis now);
    [[nodiscard]] std::vector<Decision> ended(RequestId id, EndKind kind, Millis now);
    [[nodiscard]] std::vector<Decision> returned(RequestId id, Millis now);
    // Removes a queued request without a decision. Returns false if it is not queued.
    bool withdraw(RequestId id, Millis now);
    [[nodiscard]] std::vector<Decision> grantReceived(const CreditGrant &grant, Millis now);
    // Voids the grant of an endpoint whose connection broke or that answered as a new incarnation.
    void endpointLost(const EndpointName &endpoint) { m_creditBalance.endpointLost(endpoint); }
    void observeIncarnation(const EndpointName &endpoint, Incarnation incarnation)
    {
        m_creditBalance.observeIncarnation(endpoint, incarnation);
    }
    [[nodiscard]] std::vector<Decision> tick(Millis now);

    // Returns the demands for all eligible endpoints and for those on which requests still run.
    [[nodiscard]] std::vector<EntryDemand> demands(Millis now) const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] const CreditBalance &creditBalance() const noexcept { return m_creditBalance; }

private:
    using Queue = AdmissionQueue<CreditPolicy>;

    [[nodiscard]] Queue *queueOf(RequestId id);
    // Removes the record of the requests that the decisions refuse.
    void forgetRefused(std::span<const Decision> decisions);

    CreditBalance m_creditBalance;
    LengthForecast m_forecast;
    std::map<ServiceName, Queue> m_queues;
    std::set<ServiceName> m_configured;
    std::map<RequestId, ServiceName> m_services;
    std::map<EndpointName, ServiceName> m_endpoints;
};

} // namespace fescue
