#include "fescue/gateway/admissiongate.h"

#include <utility>

namespace fescue::gateway {

namespace {

// Told to callers that should use another entry at once.
constexpr Millis otherEntryDelay = 100_ms;

RequestId idOf(const Decision &decision) noexcept
{
    return std::visit([](const auto &each) { return each.id; }, decision);
}

Decision refuseAsEnding(RequestId id) noexcept
{
    return Refuse {id, ResultCode::ShuttingDown, otherEntryDelay};
}

} // namespace

AdmissionGate::AdmissionGate(MemberName member) : m_admission(std::move(member)) { }

RequestId AdmissionGate::nextId() noexcept
{
    return {m_lastId.fetch_add(1, std::memory_order_relaxed) + 1};
}

template <typename F>
void AdmissionGate::decide(F decide)
{
    std::vector<Wakeup> wakeups;
    {
        const std::lock_guard lock(m_mutex);
        wakeups = takeWakeups(decide(m_admission, m_clock.now()));
    }
    for (Wakeup &wakeup : wakeups)
        wakeup.promise->set_value(std::move(wakeup.decision));
}

std::vector<AdmissionGate::Wakeup> AdmissionGate::takeWakeups(std::vector<Decision> decisions)
{
    std::vector<Wakeup> wakeups;
    for (Decision &decision : decisions) {
        const auto it = m_waiting.find(idOf(decision));
        if (it == m_waiting.end())
            continue;
        wakeups.push_back({std::move(it->second), std::move(decision)});
        m_waiting.erase(it);
    }
    return wakeups;
}

std::optional<boost::fibers::future<Decision>> AdmissionGate::expect(RequestId id)
{
    const std::shared_ptr<Promise> promise = std::make_shared<Promise>();
    boost::fibers::future<Decision> future = promise->get_future();
    const std::lock_guard lock(m_mutex);
    if (m_closed)
        return std::nullopt;
    m_waiting.emplace(id, promise);
    return future;
}

Decision AdmissionGate::enter(Request request)
{
    const RequestId id = request.id;
    std::optional<boost::fibers::future<Decision>> future = expect(id);
    if (!future)
        return refuseAsEnding(id);
    decide([&request](EntryAdmission &admission, Millis now) {
        return admission.arrival(std::move(request), now);
    });
    return future->get();
}

Decision AdmissionGate::returned(RequestId id)
{
    std::optional<boost::fibers::future<Decision>> future = expect(id);
    if (!future)
        return refuseAsEnding(id);
    decide([id](EntryAdmission &admission, Millis now) { return admission.returned(id, now); });
    return future->get();
}

void AdmissionGate::tokensProduced(RequestId id, std::uint32_t n)
{
    const std::lock_guard lock(m_mutex);
    m_admission.tokensProduced(id, n, m_clock.now());
}

void AdmissionGate::ended(RequestId id, EndKind kind)
{
    decide([id, kind](EntryAdmission &admission, Millis now) {
        return admission.ended(id, kind, now);
    });
}

void AdmissionGate::applyServices(std::span<const Service> services,
                                  std::span<const Account> accounts)
{
    decide([services, accounts](EntryAdmission &admission, Millis now) {
        return admission.applyServices(services, accounts, now);
    });
}

void AdmissionGate::setEligible(std::span<const ServiceEndpoint> endpoints)
{
    decide([endpoints](EntryAdmission &admission, Millis now) {
        return admission.setEligible(endpoints, now);
    });
}

void AdmissionGate::grantReceived(const CreditGrant &grant)
{
    decide([&grant](EntryAdmission &admission, Millis now) {
        return admission.grantReceived(grant, now);
    });
}

void AdmissionGate::endpointLost(const EndpointName &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_admission.endpointLost(endpoint);
}

void AdmissionGate::observeIncarnation(const EndpointName &endpoint, Incarnation incarnation)
{
    const std::lock_guard lock(m_mutex);
    m_admission.observeIncarnation(endpoint, incarnation);
}

void AdmissionGate::tick()
{
    decide([](EntryAdmission &admission, Millis now) { return admission.tick(now); });
}

void AdmissionGate::close()
{
    std::map<RequestId, std::shared_ptr<Promise>> waiting;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        waiting.swap(m_waiting);
    }
    for (const std::pair<const RequestId, std::shared_ptr<Promise>> &entry : waiting)
        entry.second->set_value(refuseAsEnding(entry.first));
}

std::vector<EntryDemand> AdmissionGate::demands() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.demands(m_clock.now());
}

std::size_t AdmissionGate::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.queued();
}

std::size_t AdmissionGate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.running();
}

} // namespace fescue::gateway
