#include "fescue/policy/entryadmission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescue {

namespace {

constexpr Millis unknownServiceRetry {1000};

void append(std::vector<Decision> &all, std::vector<Decision> more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

} // namespace

EntryAdmission::EntryAdmission(MemberName member) : m_creditBalance(std::move(member)) { }

EntryAdmission::Queue *EntryAdmission::queueOf(RequestId id)
{
    const auto service = m_services.find(id);
    if (service == m_services.end())
        return nullptr;
    const auto queue = m_queues.find(service->second);
    return queue != m_queues.end() ? &queue->second : nullptr;
}

std::vector<Decision> EntryAdmission::applyServices(std::span<const Service> services,
                                                    std::span<const Account> accounts, Millis now)
{
    m_configured.clear();
    for (const Service &service : services) {
        m_configured.insert(service.name);
        const CreditPolicy policy(profileSettings(service));
        const auto it = m_queues.find(service.name);
        if (it != m_queues.end())
            it->second.setPolicy(policy);
        else
            m_queues.emplace(service.name,
                             Queue(service.name, policy, m_creditBalance, m_forecast));
    }
    std::vector<Decision> decisions;
    for (std::pair<const ServiceName, Queue> &entry : m_queues) {
        for (const Account &account : accounts)
            entry.second.setWeight(account.name, account.weight);
        if (!m_configured.contains(entry.first))
            append(decisions, entry.second.refuseAll(ResultCode::UnknownService, now));
    }
    std::erase_if(m_queues, [this](const std::pair<const ServiceName, Queue> &entry) {
        return !m_configured.contains(entry.first) && entry.second.running() == 0;
    });
    forgetRefused(decisions);
    append(decisions, tick(now));
    return decisions;
}

std::vector<Decision> EntryAdmission::setEligible(std::span<const ServiceEndpoint> endpoints,
                                                  Millis now)
{
    // Endpoints on which requests still run are kept, so that demands for them continue.
    std::erase_if(m_endpoints,
                  [this, now](const std::pair<const EndpointName, ServiceName> &entry) {
                      return m_creditBalance.available(entry.first, now).running == 0;
                  });
    for (const ServiceEndpoint &item : endpoints)
        m_endpoints[item.endpoint.endpoint] = item.service;
    std::vector<Decision> decisions;
    for (std::pair<const ServiceName, Queue> &entry : m_queues) {
        std::vector<EligibleEndpoint> own;
        for (const ServiceEndpoint &item : endpoints) {
            if (item.service == entry.first)
                own.push_back(item.endpoint);
        }
        append(decisions, entry.second.setEligible(std::move(own), now));
    }
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::arrival(Request request, Millis now)
{
    const auto queue = m_queues.find(request.service);
    if (queue == m_queues.end() || !m_configured.contains(request.service))
        return {Refuse {request.id, ResultCode::UnknownService, unknownServiceRetry}};
    m_services.emplace(request.id, request.service);
    std::vector<Decision> decisions = queue->second.arrival(std::move(request), now);
    forgetRefused(decisions);
    return decisions;
}

void EntryAdmission::tokensProduced(RequestId id, std::uint32_t n, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue != nullptr)
        queue->tokensProduced(id, n, now);
}

std::vector<Decision> EntryAdmission::ended(RequestId id, EndKind kind, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr)
        return {};
    m_services.erase(id);
    std::vector<Decision> decisions = queue->ended(id, kind, now);
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::returned(RequestId id, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr)
        return {};
    std::vector<Decision> decisions = queue->returned(id, now);
    forgetRefused(decisions);
    return decisions;
}

bool EntryAdmission::withdraw(RequestId id, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr || !queue->withdraw(id, now))
        return false;
    m_services.erase(id);
    return true;
}

std::vector<Decision> EntryAdmission::grantReceived(const CreditGrant &grant, Millis now)
{
    if (!m_creditBalance.apply(grant, now))
        return {};
    const auto service = m_endpoints.find(grant.endpoint);
    if (service == m_endpoints.end())
        return {};
    const auto queue = m_queues.find(service->second);
    if (queue == m_queues.end())
        return {};
    std::vector<Decision> decisions = queue->second.creditChanged(now);
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::tick(Millis now)
{
    std::vector<Decision> decisions;
    for (std::pair<const ServiceName, Queue> &entry : m_queues)
        append(decisions, entry.second.tick(now));
    forgetRefused(decisions);
    return decisions;
}

std::vector<EntryDemand> EntryAdmission::demands(Millis now) const
{
    std::vector<EntryDemand> made;
    for (const std::pair<const EndpointName, ServiceName> &entry : m_endpoints) {
        const auto queue = m_queues.find(entry.second);
        if (queue != m_queues.end())
            made.push_back(queue->second.demand(entry.first, now));
    }
    return made;
}

std::size_t EntryAdmission::queued() const
{
    std::size_t n = 0;
    for (const std::pair<const ServiceName, Queue> &entry : m_queues)
        n += entry.second.queued();
    return n;
}

std::size_t EntryAdmission::running() const
{
    std::size_t n = 0;
    for (const std::pair<const ServiceName, Queue> &entry : m_queues)
        n += entry.second.running();
    return n;
}

void EntryAdmission::forgetRefused(std::span<const Decision> decisions)
{
    for (const Decision &decision : decisions) {
        const Refuse *refused = std::get_if<Refuse>(&decision);
        if (refused != nullptr)
            m_services.erase(refused->id);
    }
}

} // namespace fescue
