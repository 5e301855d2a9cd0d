#pragma once

#include "tests/standins/store/storestandin.h"

#include "fescue/config/snapshotjson.h"
#include "fescue/node.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::testing {

// Ends a test that would hang; no verdict depends on it otherwise.
constexpr std::chrono::seconds hangGuard {40};

// The store stand-in on a worker of its own, and a client for the test.
class TestStore
{
public:
    TestStore()
        : m_server(m_pool, net::Address {"127.0.0.1", 0}, {},
                   [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                       m_standIn.handle(request, writer);
                   })
    {
        EXPECT_TRUE(m_server.start().has_value());
    }

    ~TestStore()
    {
        m_pool.stop();
        m_clientPool.stop();
        m_pool.join();
        m_clientPool.join();
    }

    TestStore(const TestStore &) = delete;
    TestStore &operator=(const TestStore &) = delete;

    [[nodiscard]] net::Address address() const { return m_server.address(); }

    // Sets switches of the stand-in and returns its counters.
    std::string control(std::string_view json)
    {
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/control";
        request.body = json;
        return onWorker(
            [this, &request] { return m_http.request(address(), request, 10_s)->body; });
    }

    void publish(const Snapshot &snapshot)
    {
        const Result<std::string> text = serializeSnapshot(snapshot);
        ASSERT_TRUE(text.has_value());
        const bool stored =
            onWorker([this, &text] { return client().put("config/current", *text).has_value(); });
        ASSERT_TRUE(stored);
    }

    [[nodiscard]] net::StoreList list(std::string_view prefix)
    {
        return onWorker(
            [this, prefix] { return client().list(prefix).value_or(net::StoreList {}); });
    }

private:
    [[nodiscard]] net::StoreClient client() { return {m_http, address(), m_calls, 10_s}; }

    template <typename Task>
    auto onWorker(Task task) -> decltype(task())
    {
        std::promise<decltype(task())> promise;
        std::future<decltype(task())> future = promise.get_future();
        m_clientPool.spawn(0, [&promise, &task] { promise.set_value(task()); });
        return future.get();
    }

    net::WorkerPool m_pool {1};
    net::WorkerPool m_clientPool {1};
    net::HttpClient m_http;
    net::CallCounter m_calls;
    standins::StoreStandIn m_standIn;
    net::HttpServer m_server;
};

// A configuration with one zone.
[[nodiscard]] inline Snapshot makeSnapshot(std::uint64_t version)
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion {version};
    Zone zone;
    zone.name = ZoneName("z1");
    zone.region = "r1";
    snapshot.zones.push_back(zone);
    snapshot.streamSecret = std::string(64, 'a');
    return snapshot;
}

// The control part of one daemon, with waits for its views.
class TestNode
{
public:
    TestNode(std::string_view name, const net::Address &store, peer::Role role = peer::Role::Entry,
             const std::function<void(node::NodeOptions &)> &adjust = {})
        : m_timeline(std::string(name)),
          m_node(makeOptions(name, store, role, adjust), m_timeline, m_metrics, callbacks())
    {
        EXPECT_TRUE(m_node.start().has_value());
    }

    ~TestNode() { m_node.stop(); }

    TestNode(const TestNode &) = delete;
    TestNode &operator=(const TestNode &) = delete;

    [[nodiscard]] node::NodeControl &control() { return m_node; }
    [[nodiscard]] node::NodeViewPtr view() const { return m_node.currentView(); }

    // Waits until a view or a change of the lease satisfies the condition.
    [[nodiscard]] bool waitFor(const std::function<bool(const node::NodeView &)> &condition)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, hangGuard,
                                  [this, &condition] { return condition(*m_node.currentView()); });
    }

    [[nodiscard]] bool waitForVersion(std::uint64_t version)
    {
        return waitFor([version](const node::NodeView &view) {
            return view.ready && view.snapshot->version.value == version;
        });
    }

    [[nodiscard]] bool waitForMembers(std::size_t n)
    {
        return waitFor([n](const node::NodeView &view) { return view.members.size() == n; });
    }

    [[nodiscard]] bool waitForLease(node::LeaseChange change, std::size_t times)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, hangGuard, [this, change, times] {
            std::size_t n = 0;
            for (const node::LeaseChange seen : m_leases)
                n += seen == change ? 1 : 0;
            return n >= times;
        });
    }

    [[nodiscard]] std::size_t countEvents(std::string_view kind) const
    {
        std::size_t n = 0;
        for (const observe::Event &event : m_timeline.events())
            n += event.kind == kind ? 1 : 0;
        return n;
    }

    // Set before messages can arrive.
    std::function<void(const MemberName &, const peer::Message &)> onMessage;

private:
    static node::NodeOptions makeOptions(std::string_view name, const net::Address &store,
                                         peer::Role role,
                                         const std::function<void(node::NodeOptions &)> &adjust)
    {
        node::NodeOptions options;
        options.member = MemberName(name);
        options.role = role;
        options.zone = ZoneName("z1");
        options.vm = VmName("vm-" + std::string(name));
        options.incarnation = Incarnation {1};
        if (role == peer::Role::Entry)
            options.callerAddress = "127.0.0.1:1";
        options.peerListen = "127.0.0.1:0";
        options.store = store;
        if (adjust)
            adjust(options);
        return options;
    }

    node::NodeCallbacks callbacks()
    {
        node::NodeCallbacks callbacks;
        callbacks.onView = [this](const node::NodeViewPtr &) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_changed.notify_all();
        };
        callbacks.onLease = [this](node::LeaseChange change, Millis) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_leases.push_back(change);
            m_changed.notify_all();
        };
        callbacks.onMessage = [this](const MemberName &from, const peer::Message &message) {
            if (onMessage)
                onMessage(from, message);
        };
        return callbacks;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<node::LeaseChange> m_leases;
    observe::Timeline m_timeline;
    observe::Metrics m_metrics;
    node::NodeControl m_node;
};

} // namespace fescue::testing
