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

EntryAdmission::EntryAdmission(MemberName member) : m_wallet(std::move(member)) { }

EntryAdmission::Queue EntryAdmission::makeQueue(const Service &service)
{
    if (service.profile == Profile::Latency) {
        return AdmissionQueue<LatencyPolicy>(service.name, LatencyPolicy(latencySettings(service)),
                                             m_wallet, m_forecast);
    }
    return AdmissionQueue<FinishPolicy>(service.name, FinishPolicy(finishSettings(service)),
                                        m_wallet, m_forecast);
}

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
    for (const Service &service : services) {
        if (!m_queues.contains(service.name))
            m_queues.emplace(service.name, makeQueue(service));
    }
    for (std::pair<const ServiceName, Queue> &entry : m_queues) {
        std::visit(
            [&accounts](auto &queue) {
                for (const Account &account : accounts)
                    queue.setWeight(account.name, account.weight);
            },
            entry.second);
    }
    return tick(now);
}

std::vector<Decision> EntryAdmission::setEligible(std::span<const ServiceEndpoint> endpoints,
                                                  Millis now)
{
    for (const ServiceEndpoint &item : endpoints)
        m_endpoints[item.endpoint.endpoint] = item.service;
    std::vector<Decision> decisions;
    for (std::pair<const ServiceName, Queue> &entry : m_queues) {
        std::vector<EligibleEndpoint> own;
        for (const ServiceEndpoint &item : endpoints) {
            if (item.service == entry.first)
                own.push_back(item.endpoint);
        }
        append(decisions,
               std::visit([&own, now](auto &queue) { return queue.setEligible(own, now); },
                          entry.second));
    }
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::arrival(Request request, Millis now)
{
    const auto queue = m_queues.find(request.service);
    if (queue == m_queues.end())
        return {Refuse {request.id, ResultCode::UnknownService, unknownServiceRetry}};
    m_services.emplace(request.id, request.service);
    std::vector<Decision> decisions =
        std::visit([&request, now](auto &item) { return item.arrival(std::move(request), now); },
                   queue->second);
    forgetRefused(decisions);
    return decisions;
}

void EntryAdmission::tokensProduced(RequestId id, std::uint32_t n, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue != nullptr)
        std::visit([id, n, now](auto &item) { item.tokensProduced(id, n, now); }, *queue);
}

std::vector<Decision> EntryAdmission::ended(RequestId id, EndKind kind, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr)
        return {};
    m_services.erase(id);
    std::vector<Decision> decisions =
        std::visit([id, kind, now](auto &item) { return item.ended(id, kind, now); }, *queue);
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::returned(RequestId id, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr)
        return {};
    std::vector<Decision> decisions =
        std::visit([id, now](auto &item) { return item.returned(id, now); }, *queue);
    forgetRefused(decisions);
    return decisions;
}

bool EntryAdmission::withdraw(RequestId id, Millis now)
{
    Queue *queue = queueOf(id);
    if (queue == nullptr)
        return false;
    const bool wasQueued =
        std::visit([id, now](auto &item) { return item.withdraw(id, now); }, *queue);
    if (wasQueued)
        m_services.erase(id);
    return wasQueued;
}

std::vector<Decision> EntryAdmission::grantReceived(const CreditGrant &grant, Millis now)
{
    if (!m_wallet.apply(grant, now))
        return {};
    const auto service = m_endpoints.find(grant.endpoint);
    if (service == m_endpoints.end())
        return {};
    const auto queue = m_queues.find(service->second);
    if (queue == m_queues.end())
        return {};
    std::vector<Decision> decisions =
        std::visit([now](auto &item) { return item.creditChanged(now); }, queue->second);
    forgetRefused(decisions);
    return decisions;
}

std::vector<Decision> EntryAdmission::tick(Millis now)
{
    std::vector<Decision> decisions;
    for (std::pair<const ServiceName, Queue> &entry : m_queues)
        append(decisions, std::visit([now](auto &queue) { return queue.tick(now); }, entry.second));
    forgetRefused(decisions);
    return decisions;
}

std::vector<EntryDemand> EntryAdmission::demands(Millis now) const
{
    std::vector<EntryDemand> made;
    for (const std::pair<const EndpointName, ServiceName> &entry : m_endpoints) {
        const auto queue = m_queues.find(entry.second);
        if (queue == m_queues.end())
            continue;
        made.push_back(
            std::visit([&entry, now](const auto &item) { return item.demand(entry.first, now); },
                       queue->second));
    }
    return made;
}

std::size_t EntryAdmission::queued() const
{
    std::size_t n = 0;
    for (const std::pair<const ServiceName, Queue> &entry : m_queues)
        n += std::visit([](const auto &queue) { return queue.queued(); }, entry.second);
    return n;
}

std::size_t EntryAdmission::running() const
{
    std::size_t n = 0;
    for (const std::pair<const ServiceName, Queue> &entry : m_queues)
        n += std::visit([](const auto &queue) { return queue.running(); }, entry.second);
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
