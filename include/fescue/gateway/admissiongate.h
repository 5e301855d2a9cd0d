#pragma once

#include "fescue/core/clock.h"
#include "fescue/policy/entryadmission.h"

#include <atomic>
#include <boost/fiber/future.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace fescue::gateway {

// Lets the fibers of requests wait for the decisions of EntryAdmission, which it serialises. Any
// thread may call it. Its lock is a leaf: no other lock is taken while it is held, and fibers are
// woken after it has been released.
class AdmissionGate
{
public:
    explicit AdmissionGate(MemberName member);

    // Numbers a request that is about to arrive.
    [[nodiscard]] RequestId nextId() noexcept;

    // Hands in a request and suspends the calling fiber until it may start or is refused.
    [[nodiscard]] Decision enter(Request request);
    // The endpoint did not take a started request: waits for a new decision about it.
    [[nodiscard]] Decision returned(RequestId id);
    void tokensProduced(RequestId id, std::uint32_t n);
    void ended(RequestId id, EndKind kind);

    void applyServices(std::span<const Service> services, std::span<const Account> accounts);
    void setEligible(std::span<const ServiceEndpoint> endpoints);
    void grantReceived(const CreditGrant &grant);
    void endpointLost(const EndpointName &endpoint);
    void observeIncarnation(const EndpointName &endpoint, Incarnation incarnation);
    // To be called every few ten milliseconds.
    void tick();
    // Refuses every request that waits, and each later one, since this process ends. None of them
    // has been sent to an endpoint.
    void close();

    [[nodiscard]] std::vector<EntryDemand> demands() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t running() const;

private:
    using Promise = boost::fibers::promise<Decision>;
    struct Wakeup
    {
        std::shared_ptr<Promise> promise;
        Decision decision;
    };

    // The decision to come; nothing where the gate has been closed.
    [[nodiscard]] std::optional<boost::fibers::future<Decision>> expect(RequestId id);
    // Runs decide(admission, now) under the lock, then wakes the fibers that it decided about.
    template <typename F>
    void decide(F decide);
    [[nodiscard]] std::vector<Wakeup> takeWakeups(std::vector<Decision> decisions);

    SteadyClock m_clock;
    mutable std::mutex m_mutex;
    EntryAdmission m_admission;
    std::map<RequestId, std::shared_ptr<Promise>> m_waiting;
    bool m_closed = false;
    std::atomic<std::uint64_t> m_lastId {0};
};

} // namespace fescue::gateway
