#include "admission/admissiondaemon.h"

#include "fescue/node/creditclient.h"
#include "fescue/policy/creditbalance.h"
#include "tests/node/testcluster.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::admission {
namespace {

using fescue::testing::hangGuard;
using fescue::testing::makeSnapshot;
using fescue::testing::TestNode;
using fescue::testing::TestStore;

constexpr std::uint32_t coldSlots = 2;
constexpr std::uint32_t slots = 8;

// A model engine that reports an idle load and takes orders.
class ScriptedEngine
{
public:
    ScriptedEngine()
        : m_server(m_pool, net::Address {"127.0.0.1", 0}, {},
                   [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                       handle(request, writer);
                   })
    {
        EXPECT_TRUE(m_server.start().has_value());
    }

    ~ScriptedEngine()
    {
        m_pool.stop();
        m_pool.join();
    }

    ScriptedEngine(const ScriptedEngine &) = delete;
    ScriptedEngine &operator=(const ScriptedEngine &) = delete;

    [[nodiscard]] std::string address() const { return m_server.address().toString(); }

    void restart() { ++m_incarnation; }
    void produce(std::uint64_t tokens) { m_tokens += tokens; }

    // Waits for that many orders and returns them.
    [[nodiscard]] std::vector<nlohmann::json> waitForOrders(std::size_t n)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        EXPECT_TRUE(
            m_changed.wait_for(lock, hangGuard, [this, n] { return m_orders.size() >= n; }));
        return m_orders;
    }

private:
    void handle(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        if (request.target == "/v1/orders") {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_orders.push_back(nlohmann::json::parse(request.body));
            m_changed.notify_all();
        }
        const nlohmann::json load {{"incarnation", m_incarnation.load()},
                                   {"running", 0},
                                   {"waiting", 0},
                                   {"memory_used", 0},
                                   {"memory_total", 100000},
                                   {"preemptions", 0},
                                   {"cold", false},
                                   {"first_token_ms", 10},
                                   {"tokens_total", m_tokens.load()},
                                   {"age_ms", 5}};
        static_cast<void>(writer.send(net::jsonResponse(200, load.dump())));
    }

    std::atomic<std::uint64_t> m_incarnation {1};
    std::atomic<std::uint64_t> m_tokens {0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<nlohmann::json> m_orders;
    net::WorkerPool m_pool {1};
    net::HttpServer m_server;
};

// The side of an entry: a wallet that always wants more, and what it was granted.
class TestEntry
{
public:
    TestEntry(std::string_view name, const net::Address &store)
        : m_creditBalance(MemberName(name)), m_node(name, store),
          m_credits(m_node.control(), hooks())
    {
        // Messages reach the client from here on, on the worker that it runs on.
        m_node.control().controlPool().spawn(0, [this] {
            m_node.onMessage = [this](const MemberName &from, const peer::Message &message) {
                m_credits.handleMessage(from, message);
            };
        });
        m_credits.start();
    }

    ~TestEntry() { m_node.control().stop(); }

    TestEntry(const TestEntry &) = delete;
    TestEntry &operator=(const TestEntry &) = delete;

    [[nodiscard]] TestNode &node() { return m_node; }
    [[nodiscard]] node::CreditClient &credits() { return m_credits; }

    [[nodiscard]] bool waitForGrant(const std::function<bool(const CreditGrant &)> &condition)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::size_t from = m_grants.size();
        std::size_t next = from;
        return m_changed.wait_for(lock, hangGuard, [this, &condition, &next] {
            while (next < m_grants.size()) {
                if (condition(m_grants[next++]))
                    return true;
            }
            return false;
        });
    }

    [[nodiscard]] std::vector<CreditGrant> grants()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_grants;
    }

private:
    node::CreditClientHooks hooks()
    {
        node::CreditClientHooks hooks;
        hooks.demands = [this](Millis now) {
            std::vector<EntryDemand> demands;
            for (const Endpoint &endpoint : m_node.view()->snapshot->endpoints)
                demands.push_back(m_creditBalance.demand(endpoint.name, 20, 100, now));
            return demands;
        };
        hooks.granted = [this](const CreditGrant &grant) { granted(grant); };
        return hooks;
    }

    void granted(const CreditGrant &grant)
    {
        m_creditBalance.apply(grant, SteadyClock {}.now());
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_grants.push_back(grant);
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<CreditGrant> m_grants;
    CreditBalance m_creditBalance;
    TestNode m_node;
    node::CreditClient m_credits;
};

Snapshot configuration(std::uint64_t version, const ScriptedEngine &engine)
{
    Snapshot snapshot = makeSnapshot(version);
    Service service;
    service.name = ServiceName("m1");
    snapshot.services.push_back(service);
    Endpoint endpoint;
    endpoint.name = EndpointName("e1");
    endpoint.service = service.name;
    endpoint.zone = ZoneName("z1");
    endpoint.vm = VmName("vm-e1");
    endpoint.address = engine.address();
    endpoint.slots = slots;
    endpoint.coldSlots = coldSlots;
    endpoint.memoryTokens = 100000;
    endpoint.fencing = FencingSupport::Checks;
    snapshot.endpoints.push_back(endpoint);
    return snapshot;
}

DaemonSettings settings(std::string_view name, const net::Address &store)
{
    DaemonSettings settings;
    settings.name = MemberName(name);
    settings.zone = ZoneName("z1");
    settings.vm = VmName("vm-" + std::string(name));
    settings.listen = {"127.0.0.1", 0};
    settings.peerListen = {"127.0.0.1", 0};
    settings.store = {store.ip, store.port};
    return settings;
}

std::unique_ptr<AdmissionDaemon> startAdmission(std::string_view name, const TestStore &store)
{
    std::unique_ptr<AdmissionDaemon> daemon =
        std::make_unique<AdmissionDaemon>(settings(name, store.address()));
    EXPECT_TRUE(daemon->start().has_value());
    return daemon;
}

bool hasSlots(const CreditGrant &grant)
{
    return grant.slots > 0;
}

TEST(AdmissionDaemon, GrantsNoMoreThanAColdEndpointBears)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    const std::unique_ptr<AdmissionDaemon> admission = startAdmission("a1", store);
    TestEntry x("x", store.address());
    TestEntry y("y", store.address());
    ASSERT_TRUE(x.waitForGrant(hasSlots));
    ASSERT_TRUE(y.waitForGrant(hasSlots));
    for (const CreditGrant &grant : x.grants())
        EXPECT_LE(grant.slots, coldSlots);
    engine.produce(1000000);
    EXPECT_TRUE(x.waitForGrant([](const CreditGrant &grant) { return grant.slots > coldSlots; }));
}

TEST(AdmissionDaemon, RestartedEndpointIsColdAgain)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    const std::unique_ptr<AdmissionDaemon> admission = startAdmission("a1", store);
    TestEntry x("x", store.address());
    ASSERT_TRUE(x.waitForGrant(hasSlots));
    engine.produce(1000000);
    ASSERT_TRUE(x.waitForGrant([](const CreditGrant &grant) { return grant.slots > coldSlots; }));
    engine.restart();
    EXPECT_TRUE(x.waitForGrant([](const CreditGrant &grant) {
        return grant.incarnation == Incarnation {2} && grant.slots <= coldSlots;
    }));
}

TEST(AdmissionDaemon, SuccessorTakesOverWithAGreaterFencingNumber)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    std::unique_ptr<AdmissionDaemon> first = startAdmission("a1", store);
    TestEntry x("x", store.address());
    ASSERT_TRUE(x.waitForGrant(hasSlots));
    const FencingNumber fence = x.grants().back().authority;
    const std::unique_ptr<AdmissionDaemon> second = startAdmission("a2", store);
    ASSERT_TRUE(x.node().waitForMembers(3));
    first.reset();
    EXPECT_TRUE(x.waitForGrant(
        [fence](const CreditGrant &grant) { return hasSlots(grant) && grant.authority > fence; }));
}

TEST(AdmissionDaemon, GrantsThroughAnOutageOfTheStore)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    const std::unique_ptr<AdmissionDaemon> admission = startAdmission("a1", store);
    TestEntry x("x", store.address());
    ASSERT_TRUE(x.waitForGrant(hasSlots));
    const FencingNumber fence = x.grants().back().authority;
    store.control(R"({"outage": "refuse"})");
    ASSERT_TRUE(x.node().waitFor(
        [](const node::NodeView &view) { return view.freshness == FreshnessVerdict::Outage; }));
    // Enough grants for the lease to have lapsed in between.
    for (int i = 0; i < 10; ++i)
        ASSERT_TRUE(x.waitForGrant(hasSlots));
    store.control(R"({"outage": false})");
    ASSERT_TRUE(x.node().waitFor(
        [](const node::NodeView &view) { return view.freshness == FreshnessVerdict::Fresh; }));
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(x.waitForGrant(hasSlots));
    EXPECT_GE(x.grants().back().authority, fence);
}

TEST(AdmissionDaemon, ZoneTakenOutGetsNoCredit)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    const std::unique_ptr<AdmissionDaemon> admission = startAdmission("a1", store);
    TestEntry x("x", store.address());
    ASSERT_TRUE(x.waitForGrant(hasSlots));
    Snapshot out = configuration(2, engine);
    out.zones[0].out = true;
    store.publish(out);
    EXPECT_TRUE(x.waitForGrant([](const CreditGrant &grant) { return grant.slots == 0; }));
    store.publish(configuration(3, engine));
    EXPECT_TRUE(x.waitForGrant(hasSlots));
}

TEST(AdmissionDaemon, OrdersCarryTheFencingNumber)
{
    TestStore store;
    ScriptedEngine engine;
    store.publish(configuration(1, engine));
    const std::unique_ptr<AdmissionDaemon> admission = startAdmission("a1", store);
    const std::vector<nlohmann::json> orders = engine.waitForOrders(1);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0].at("kind"), "load-model");
    EXPECT_EQ(orders[0].at("argument"), "m1");
    const net::StoreList owners = store.list("owners/");
    ASSERT_EQ(owners.items.size(), 1U);
    EXPECT_EQ(orders[0].at("fence"), owners.items[0].revision.value);
    engine.restart();
    EXPECT_GE(engine.waitForOrders(2).size(), 2U);
}

} // namespace
} // namespace fescue::admission
