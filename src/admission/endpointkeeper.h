#pragma once

#include "fescue/core/orders.h"
#include "fescue/core/ownership.h"
#include "fescue/core/snapshot.h"
#include "fescue/net/httpclient.h"
#include "fescue/net/storeclient.h"
#include "fescue/node/nodecontrol.h"
#include "fescue/policy/creditauthority.h"

#include <boost/fiber/mutex.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace fescue::admission {

// What all endpoints of this daemon share.
struct KeeperContext
{
    node::NodeControl &node;
    observe::Timeline &timeline;
    observe::Metrics &metrics;
    ClaimHolder self;
    OwnershipLimits ownership;
    CreditSettings credit;
};

// One endpoint, as the admission daemon that owns it or wants to own it sees it: its key in the
// store, its credits, its load and the orders to it. Belongs to the control worker; what waits runs
// on fibers of its own, which keep the object alive.
class EndpointKeeper : public std::enable_shared_from_this<EndpointKeeper>
{
public:
    EndpointKeeper(KeeperContext &context, const Endpoint &endpoint, ServiceKind kind);

    // Applies the view: whether this daemon should own the endpoint, and whether the endpoint is in
    // service.
    void applyView(Millis now, const node::NodeView &view, bool wanted);
    // Applies a changed configuration of the endpoint.
    void configure(const Endpoint &endpoint);

    void leaseChanged(node::LeaseChange change, Millis sentAt);
    // Call it several times a second.
    void tick(Millis now);

    // Answers a demand; empty where this daemon has no authority now.
    [[nodiscard]] std::optional<CreditGrant> answer(Millis now, const EntryDemand &demand);
    void memberLeft(const MemberName &member);
    // Something that an entry saw.
    void event(const peer::EndpointEvent &event);

    // Gives the endpoint up for good.
    void release(Millis now);
    [[nodiscard]] bool holdsKey() const noexcept { return m_ownership.holdsKey(); }
    [[nodiscard]] const Endpoint &endpoint() const noexcept { return m_endpoint; }

private:
    [[nodiscard]] bool mayGrant(Millis now);
    [[nodiscard]] std::string keyName() const;
    void perform(OwnershipStep step);
    void createKey();
    void readKey();
    void deleteKey();
    void watchOtherOwner(Millis now);
    void acquired(Millis now);
    void pollLoad(Millis now);
    void readLoad();
    void observe(const LoadReport &report, Millis now);
    void sendOrder(Millis now);
    [[nodiscard]] OrderAnswer deliver(const FencedOrder &order);

    KeeperContext &m_context;
    Endpoint m_endpoint;
    ServiceKind m_kind;
    // Held by the fiber that works on the key in the store, so that a deletion that is slow cannot
    // hit a key that was created after it.
    boost::fibers::mutex m_keyMutex;
    OwnershipMachine m_ownership;
    std::optional<CreditAuthority> m_authority;
    OrderLedger m_orders;
    std::mt19937_64 m_random;
    FreshnessVerdict m_freshness = FreshnessVerdict::Isolated;
    bool m_wanted = false;
    bool m_released = false;
    bool m_serving = false;
    bool m_polling = false;
    bool m_readingOwner = false;
    std::optional<Millis> m_pollAt;
    std::optional<Millis> m_ownerReadAt;
    Incarnation m_orderedTo;
    // Fencing number that the credits were made under; they may go on under it in an outage.
    FencingNumber m_creditFence;
    // Last time at which this daemon had the authority.
    std::optional<Millis> m_actedAt;
    // Until this time the wait of a new owner does not apply: the daemon owned the endpoint without
    // a break through an outage of the store.
    Millis m_unbrokenUntil {0};
    // A new owner waits at least until this time.
    Millis m_grantFrom {0};
    Millis m_outageSeenAt {0};
    bool m_outageSeen = false;
};

} // namespace fescue::admission
