#include "endpointkeeper.h"

#include "loadreport.h"

#include "fescue/core/eligibility.h"
#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"
#include "fescue/observe/log.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescue::admission {

namespace {

constexpr Millis loadPollInterval = 250_ms;
constexpr Millis loadTimeout = 1_s;
constexpr Millis orderTimeout = 2_s;
// Interval at which a daemon that wants an endpoint looks whether its owner's key is gone.
constexpr Millis ownerReadInterval = 500_ms;
// An owner that stopped for no longer than this, in an outage, owned the endpoint without a break.
constexpr Millis unbrokenGap = 2_s;
// Shortly after an outage, owners may still go on without a lease until word of the store's return
// has reached them. A new owner gives them this time besides their credits' term.
constexpr Millis outageNews = 3_s;
constexpr Millis outageMemory = 15_s;

ClaimHolder holderFrom(const nlohmann::json &in)
{
    return {MemberName(in.at("member").get<std::string>()),
            Incarnation {readWholeNumber<std::uint64_t>(in.at("incarnation"), "incarnation")}};
}

std::string ownerJson(const ClaimHolder &holder)
{
    const nlohmann::json out {{"member", holder.member.text()},
                              {"incarnation", holder.incarnation.value}};
    return out.dump();
}

// A value that cannot be read belongs to nobody who is known, but the key is taken.
OwnerKey toOwner(const net::StoreItem &item)
{
    OwnerKey key;
    key.revision = StoreRevision {item.revision.value};
    try {
        key.holder = holderFrom(parseJson(item.value).value_or(nlohmann::json()));
    } catch (const nlohmann::json::exception &) {
        key.holder = {};
    }
    return key;
}

EndpointCapacity capacityOf(const Endpoint &endpoint)
{
    return {endpoint.name, endpoint.slots, endpoint.coldSlots, endpoint.memoryTokens};
}

net::Address addressOf(const Endpoint &endpoint)
{
    return net::parseAddress(endpoint.address).value_or(net::Address {});
}

} // namespace

EndpointKeeper::EndpointKeeper(KeeperContext &context, const Endpoint &endpoint, ServiceKind kind)
    : m_context(context), m_endpoint(endpoint), m_kind(kind),
      m_ownership(context.self, endpoint.fencing, context.ownership),
      m_random(std::random_device {}())
{ }

std::string EndpointKeeper::keyName() const
{
    return "owners/" + m_endpoint.name.text();
}

void EndpointKeeper::configure(const Endpoint &endpoint)
{
    m_endpoint = endpoint;
    if (m_authority)
        m_authority->setCapacity(capacityOf(endpoint));
}

void EndpointKeeper::applyView(Millis now, const node::NodeView &view, bool wanted)
{
    m_freshness = view.freshness;
    if (m_freshness == FreshnessVerdict::Outage) {
        m_outageSeen = true;
        m_outageSeenAt = now;
    }
    m_serving = judgeEndpoint(m_endpoint.name, *view.snapshot, view.vms, view.freshness)
        == Eligibility::Eligible;
    if (m_authority)
        m_authority->setServing(m_serving);
    if (m_released || m_wanted == wanted)
        return;
    m_wanted = wanted;
    if (!wanted) {
        m_authority.reset();
        m_actedAt.reset();
        m_orders.clear();
    }
    perform(m_ownership.setWanted(now, wanted));
}

void EndpointKeeper::leaseChanged(node::LeaseChange change, Millis sentAt)
{
    switch (change) {
    case node::LeaseChange::Granted:
        m_ownership.leaseGranted(sentAt);
        break;
    case node::LeaseChange::Renewed:
        m_ownership.leaseRenewed(sentAt);
        break;
    case node::LeaseChange::Lost:
        m_ownership.leaseLost();
        break;
    }
    if (m_authority && change != node::LeaseChange::Lost)
        m_authority->setLeaseEnd(sentAt + m_context.ownership.leaseTtl);
}

void EndpointKeeper::release(Millis now)
{
    m_released = true;
    m_wanted = false;
    m_authority.reset();
    m_actedAt.reset();
    perform(m_ownership.setWanted(now, false));
}

void EndpointKeeper::tick(Millis now)
{
    perform(m_ownership.tick(now));
    watchOtherOwner(now);
    if (!mayGrant(now))
        return;
    pollLoad(now);
    sendOrder(now);
}

// In an outage of the store nobody else can become the owner, so the last one goes on without a
// lease for as long as it can tell the outage from being cut off.
bool EndpointKeeper::mayGrant(Millis now)
{
    if (!m_wanted || !m_authority)
        return false;
    const bool leased = m_ownership.mayGrant(now) && now >= m_grantFrom;
    const bool unbroken = m_ownership.holdsKey() && now < m_unbrokenUntil;
    const bool outage =
        m_freshness == FreshnessVerdict::Outage && m_actedAt && now - *m_actedAt <= unbrokenGap;
    if (!leased && !unbroken && !outage)
        return false;
    if (!leased)
        m_authority->setLeaseEnd(now + m_context.credit.term);
    m_actedAt = now;
    return true;
}

void EndpointKeeper::perform(OwnershipStep step)
{
    if (step == OwnershipStep::None)
        return;
    m_context.node.controlPool().spawn(0, [self = shared_from_this(), step] {
        const std::lock_guard<boost::fibers::mutex> lock(self->m_keyMutex);
        if (step == OwnershipStep::CreateKey)
            self->createKey();
        else if (step == OwnershipStep::ReadKey)
            self->readKey();
        else
            self->deleteKey();
    });
}

void EndpointKeeper::createKey()
{
    const net::LeaseId lease = m_context.node.lease();
    if (lease.value == 0)
        return;
    const net::StoreResult<net::StoreRevision> created =
        m_context.node.store().putIfAbsent(keyName(), ownerJson(m_context.self), lease);
    const Millis now = SteadyClock {}.now();
    if (created) {
        const OwnershipStep next = m_ownership.keyCreated(now, StoreRevision {created->value});
        acquired(now);
        perform(next);
    } else if (created.error().code == ResultCode::StoreConflict) {
        perform(m_ownership.keyExists(now));
    } else {
        perform(m_ownership.keyAnswerLost(now));
    }
}

void EndpointKeeper::readKey()
{
    const net::StoreResult<net::StoreItem> item = m_context.node.store().get(keyName());
    const Millis now = SteadyClock {}.now();
    if (!item && item.error().code != ResultCode::StoreNotFound)
        return;
    const bool held = m_ownership.holdsKey();
    const std::optional<OwnerKey> key =
        item ? std::optional<OwnerKey>(toOwner(*item)) : std::nullopt;
    const OwnershipStep next = m_ownership.keyRead(now, key);
    if (!held)
        acquired(now);
    perform(next);
}

// Tries until the store has answered: the lease lives on, and with it a key that is not deleted.
void EndpointKeeper::deleteKey()
{
    const net::StoreRevision revision {m_ownership.revision().value};
    m_context.timeline.record("owner-released", m_endpoint.name.text());
    for (;;) {
        const net::StoreResult<void> removed = m_context.node.store().remove(keyName(), revision);
        const ResultCode code = removed ? ResultCode::Ok : removed.error().code;
        if (code == ResultCode::Ok || code == ResultCode::StoreNotFound
            || code == ResultCode::StoreConflict)
            return;
        net::sleepFor(ownerReadInterval);
    }
}

// Looks whether the key of another owner is gone. A deletion is newer than the key that it deletes.
void EndpointKeeper::watchOtherOwner(Millis now)
{
    const bool waiting = m_wanted && !m_ownership.holdsKey() && m_ownership.knownOwner();
    const bool due = !m_ownerReadAt || now - *m_ownerReadAt >= ownerReadInterval;
    if (!waiting || !due || m_readingOwner)
        return;
    m_readingOwner = true;
    m_ownerReadAt = now;
    m_context.node.controlPool().spawn(0, [self = shared_from_this()] {
        const net::StoreResult<net::StoreItem> item =
            self->m_context.node.store().get(self->keyName());
        self->m_readingOwner = false;
        const std::optional<OwnerKey> known = self->m_ownership.knownOwner();
        const Millis readAt = SteadyClock {}.now();
        if (item) {
            const OwnerKey key = toOwner(*item);
            self->perform(self->m_ownership.keyChanged(readAt, key.revision, key));
        } else if (item.error().code == ResultCode::StoreNotFound && known) {
            const StoreRevision after {known->revision.value + 1};
            self->perform(self->m_ownership.keyChanged(readAt, after, std::nullopt));
        }
    });
}

// Sets up the credits after this daemon has got the key.
void EndpointKeeper::acquired(Millis now)
{
    if (!m_ownership.holdsKey())
        return;
    m_context.timeline.record("owner-acquired", m_endpoint.name.text(),
                              std::to_string(m_ownership.fence().value));
    observe::logChange(
        "owner-acquired",
        {{"endpoint", m_endpoint.name.text()}, {"fence", m_ownership.fence().value}});
    const bool unbroken = m_authority && m_actedAt && now - *m_actedAt <= unbrokenGap;
    if (unbroken) {
        m_unbrokenUntil = now + m_context.credit.term;
        return;
    }
    const bool afterOutage = m_outageSeen && now - m_outageSeenAt <= outageMemory;
    m_grantFrom = afterOutage ? now + m_context.credit.term + outageNews : now;
    m_creditFence = m_ownership.fence();
    m_authority.emplace(capacityOf(m_endpoint), m_context.credit, m_creditFence);
    m_authority->startAsSuccessor(now);
    m_authority->setServing(m_serving);
    m_orderedTo = {};
}

std::optional<CreditGrant> EndpointKeeper::answer(Millis now, const EntryDemand &demand)
{
    if (!mayGrant(now))
        return std::nullopt;
    return m_authority->answer(demand, now);
}

void EndpointKeeper::memberLeft(const MemberName &member)
{
    if (m_authority)
        m_authority->memberLeft(member);
}

void EndpointKeeper::event(const peer::EndpointEvent &event)
{
    if (!m_authority)
        return;
    m_authority->observeIncarnation(event.incarnation);
    m_pollAt.reset();
}

void EndpointKeeper::pollLoad(Millis now)
{
    const bool due = !m_pollAt || now - *m_pollAt >= loadPollInterval;
    if (!due || m_polling)
        return;
    m_polling = true;
    m_pollAt = now;
    m_context.node.controlPool().spawn(0, [self = shared_from_this()] {
        self->readLoad();
        self->m_polling = false;
    });
}

void EndpointKeeper::readLoad()
{
    const Millis askedAt = SteadyClock {}.now();
    net::HttpRequest request;
    request.target = "/v1/load";
    request.mayResend = true;
    const Result<net::HttpResponse> response =
        m_context.node.httpClient().request(addressOf(m_endpoint), request, loadTimeout);
    const Millis now = SteadyClock {}.now();
    if (!response || response->status != 200) {
        m_context.metrics.counter("fescue_load_polls_failed_total").Increment();
        return;
    }
    const Result<LoadReport> report = parseLoadReport(response->body, now - askedAt);
    if (report && m_authority)
        observe(*report, now);
}

void EndpointKeeper::observe(const LoadReport &report, Millis now)
{
    const Incarnation before = m_authority->slowStart().incarnation();
    m_authority->observeLoad(report, now);
    const Incarnation after = m_authority->slowStart().incarnation();
    if (before != after)
        m_context.timeline.record("endpoint-incarnation", m_endpoint.name.text(),
                                  std::to_string(after.value));
    const prometheus::Labels labels {{"endpoint", m_endpoint.name.text()}};
    m_context.metrics.gauge("fescue_endpoint_slot_limit", labels)
        .Set(static_cast<double>(m_authority->slotLimit()));
    m_context.metrics.gauge("fescue_endpoint_slots_granted", labels)
        .Set(static_cast<double>(m_authority->grantedSlots(now)));
    if (m_kind == ServiceKind::Model && after != m_orderedTo) {
        m_orderedTo = after;
        m_orders.add({OrderKind::LoadModel, m_endpoint.service.text()});
    }
}

void EndpointKeeper::sendOrder(Millis now)
{
    if (m_orders.inFlight() || m_orders.waiting() == 0)
        return;
    const std::optional<FencedOrder> order =
        m_orders.next(now, m_ownership.mayOrder(now), m_ownership.fence());
    if (!order)
        return;
    m_context.node.controlPool().spawn(0, [self = shared_from_this(), order = *order] {
        const OrderAnswer answer = self->deliver(order);
        const Millis answeredAt = SteadyClock {}.now();
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        self->m_orders.answered(answeredAt, answer, uniform(self->m_random));
        if (answer == OrderAnswer::FenceOutdated)
            self->perform(self->m_ownership.fenceRefused(answeredAt));
    });
}

OrderAnswer EndpointKeeper::deliver(const FencedOrder &order)
{
    const nlohmann::json body {{"fence", order.fence.value},
                               {"kind", toString(order.order.kind)},
                               {"argument", order.order.argument}};
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    // The answer to an earlier order could be read again on a kept connection.
    request.freshConnection = true;
    request.body = body.dump();
    // The clock is looked at once more directly before the order leaves.
    if (!m_ownership.mayOrder(SteadyClock {}.now()))
        return OrderAnswer::NotSent;
    const Result<net::HttpResponse> response =
        m_context.node.httpClient().request(addressOf(m_endpoint), request, orderTimeout);
    if (!response)
        return response.error().code == ResultCode::ConnectFailed ? OrderAnswer::NotSent
                                                                  : OrderAnswer::AnswerLost;
    m_context.timeline.record("order", m_endpoint.name.text(),
                              std::string(toString(order.order.kind)) + " "
                                  + std::to_string(response->status));
    if (response->status == 409)
        return OrderAnswer::FenceOutdated;
    return response->status == 200 ? OrderAnswer::Done : OrderAnswer::AnswerLost;
}

} // namespace fescue::admission
