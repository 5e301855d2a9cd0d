#pragma once

#include "fescue/policy/admissionqueue.h"
#include "fescue/policy/creditwallet.h"
#include "fescue/policy/lengthforecast.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace fescue {

// An endpoint that may be given work, with its service.
struct ServiceEndpoint
{
    ServiceName service;
    EligibleEndpoint endpoint;
};

// All decisions of one entry about all services: one queue for each service with the policy that
// the service's profile asks for, one wallet, one forecast.
class EntryAdmission
{
public:
    explicit EntryAdmission(MemberName member);
    EntryAdmission(const EntryAdmission &) = delete;
    EntryAdmission &operator=(const EntryAdmission &) = delete;
    ~EntryAdmission() = default;

    // Applies a configuration: settings, weights, and which services there are. Queued requests of
    // services that are gone are refused; what runs goes on.
    [[nodiscard]] std::vector<Decision>
    applyServices(std::span<const Service> services, std::span<const Account> accounts, Millis now);
    // Replaces the list of endpoints that may be given work.
    [[nodiscard]] std::vector<Decision> setEligible(std::span<const ServiceEndpoint> endpoints,
                                                    Millis now);
    // Refuses with UnknownService where the service is not configured.
    [[nodiscard]] std::vector<Decision> arrival(Request request, Millis now);
    void tokensProduced(RequestId id, std::uint32_t n, Millis now);
    [[nodiscard]] std::vector<Decision> ended(RequestId id, EndKind kind, Millis now);
    [[nodiscard]] std::vector<Decision> returned(RequestId id, Millis now);
    // Forgets a queued request without a decision; returns false where it is not queued.
    bool withdraw(RequestId id, Millis now);
    [[nodiscard]] std::vector<Decision> grantReceived(const CreditGrant &grant, Millis now);
    // The connection to an endpoint broke, or it answered as a new incarnation.
    void endpointLost(const EndpointName &endpoint) { m_wallet.endpointLost(endpoint); }
    void observeIncarnation(const EndpointName &endpoint, Incarnation incarnation)
    {
        m_wallet.observeIncarnation(endpoint, incarnation);
    }
    [[nodiscard]] std::vector<Decision> tick(Millis now);

    // Demands for all eligible endpoints, and for those where requests still run.
    [[nodiscard]] std::vector<EntryDemand> demands(Millis now) const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] const CreditWallet &wallet() const noexcept { return m_wallet; }

private:
    using Queue = AdmissionQueue<CreditPolicy>;

    [[nodiscard]] Queue *queueOf(RequestId id);
    // Forgets the requests that the decisions refuse.
    void forgetRefused(std::span<const Decision> decisions);

    CreditWallet m_wallet;
    LengthForecast m_forecast;
    std::map<ServiceName, Queue> m_queues;
    std::set<ServiceName> m_configured;
    std::map<RequestId, ServiceName> m_services;
    std::map<EndpointName, ServiceName> m_endpoints;
};

} // namespace fescue
