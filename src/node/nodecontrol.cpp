#include "fescue/node/nodecontrol.h"

#include "configsync.h"
#include "inbox.h"
#include "membersync.h"
#include "registration.h"

#include "fescue/core/neighbours.h"
#include "fescue/core/rendezvous.h"
#include "fescue/net/vmlistclient.h"
#include "fescue/node/memberjson.h"
#include "fescue/observe/log.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace fescue::node {

namespace {

constexpr Millis tickInterval = 100_ms;
// The view is made anew at least this often, since members change with time alone.
constexpr Millis viewInterval = 500_ms;
constexpr Millis retryMin = 100_ms;
constexpr Millis retryMax = 1_s;
// Failures in a row after which the store counts as lost.
constexpr int failuresUntilLost = 2;
constexpr std::chrono::seconds releaseTimeout {2};

} // namespace

// Lock order: m_viewMutex and m_heartbeatMutex are leaves. All other members belong to the control
// worker; the thread of the links hands its calls over by the inbox.
class NodeControl::Impl
{
public:
    Impl(NodeOptions options, observe::Timeline &timeline, observe::Metrics &metrics,
         NodeCallbacks callbacks)
        : m_options(std::move(options)), m_callbacks(std::move(callbacks)), m_timeline(timeline),
          m_metrics(metrics), m_store(m_http, m_options.store, m_calls, m_options.storeTimeout),
          m_inbox([this](std::function<void()> task) { m_pool.spawn(0, std::move(task)); }),
          m_config(m_store, configHooks()),
          m_members(
              m_store,
              [this](const MemberName &to, const peer::Message &message) { send(to, message); }),
          m_judge(m_options.freshness), m_random(std::random_device {}())
    { }

    Result<void> start();
    void stop();
    void setLeaving();
    bool leavingConfirmed() const noexcept { return m_leavingConfirmed; }

    NodeViewPtr currentView() const
    {
        const std::lock_guard<std::mutex> lock(m_viewMutex);
        return m_view;
    }
    std::string status() const;
    void setExtraPeers(std::vector<MemberName> members);

    peer::PeerLinks &links() noexcept { return *m_links; }
    net::WorkerPool &pool() noexcept { return m_pool; }
    net::HttpClient &http() noexcept { return m_http; }
    net::StoreClient store() noexcept { return m_store; }
    const std::string &peerAddress() const noexcept { return m_self.peerAddress; }
    const NodeOptions &options() const noexcept { return m_options; }
    net::LeaseId lease() const noexcept { return m_registration->lease(); }
    net::CallCounts storeCalls() const noexcept { return m_calls.counts(); }

private:
    ConfigHooks configHooks();
    peer::LinkCallbacks linkCallbacks();
    MemberInfo describeSelf(const peer::PeerLinks &links) const;

    // Loops, each on a fiber of the control worker.
    void tickLoop();
    void leaseLoop();
    void configLoop();
    void memberLoop();
    void vmLoop();

    // Handlers of what the links report, on the control worker.
    void linkChanged(const peer::Hello &hello, peer::LinkState state);
    void heartbeatReceived(const MemberName &from, const peer::Heartbeat &heartbeat,
                           std::optional<Millis> askedAt);
    void messageReceived(const MemberName &from, const peer::Message &message);

    void send(const MemberName &to, const peer::Message &message)
    {
        static_cast<void>(m_links->send(to, message));
    }
    void configApplied(const Snapshot &snapshot);
    void fetchConfig();
    void storeAnswered(bool answered);
    bool isWatcher() const;
    bool ownCheckDue(Millis now) const;
    void pauseAfterFailure();
    void updatePeers();
    void stopExpecting(const MemberName &member);
    void forgetGoneMembers();
    void updateHeartbeat(Millis now);
    void updateView(Millis now);
    bool differs(const NodeView &view) const;
    void recordChanges(const NodeView &before, const NodeView &after);
    void exportMetrics(const NodeView &view);

    const NodeOptions m_options;
    const NodeCallbacks m_callbacks;
    observe::Timeline &m_timeline;
    observe::Metrics &m_metrics;
    const SteadyClock m_clock;

    net::WorkerPool m_pool {1};
    net::HttpClient m_http;
    net::CallCounter m_calls;
    net::StoreClient m_store;
    Inbox m_inbox;
    std::unique_ptr<peer::PeerLinks> m_links;
    MemberInfo m_self;
    std::optional<Registration> m_registration;
    ConfigSync m_config;
    MemberSync m_members;
    FreshnessJudge m_judge;
    VmList m_vms;
    std::mt19937_64 m_random;

    int m_storeFailures = 0;
    bool m_leaving = false;
    std::atomic<bool> m_leavingConfirmed {false};
    std::atomic<bool> m_stopped {false};
    std::vector<MemberName> m_extraPeers;
    std::vector<peer::PeerTarget> m_targets;
    // Peers that this daemon should reach: those it dials, and those that dialled it and have not
    // said goodbye.
    std::set<MemberName> m_expected;
    std::map<MemberName, MemberInfo> m_greeted;
    std::vector<MemberView> m_lastMembers;
    std::optional<Millis> m_viewAt;
    bool m_viewDue = true;

    mutable std::mutex m_viewMutex;
    NodeViewPtr m_view = std::make_shared<NodeView>();

    std::mutex m_heartbeatMutex;
    peer::Heartbeat m_heartbeat;
    std::optional<Millis> m_contactAt;
};

ConfigHooks NodeControl::Impl::configHooks()
{
    ConfigHooks hooks;
    hooks.send = [this](const MemberName &to, const peer::Message &message) { send(to, message); };
    hooks.confirmed = [this](Millis askedAt, ConfigVersion version) {
        m_judge.storeContact(askedAt, version);
    };
    hooks.applied = [this](const std::shared_ptr<const Snapshot> &snapshot) {
        configApplied(*snapshot);
    };
    hooks.warn = [this](std::string_view what, std::string_view detail) {
        m_timeline.record(what, "config", detail);
        m_metrics.counter("fescue_config_warnings_total", {{"kind", std::string(what)}})
            .Increment();
        observe::logChange(observe::LogLevel::Warning, what, {{"detail", detail}});
    };
    return hooks;
}

peer::LinkCallbacks NodeControl::Impl::linkCallbacks()
{
    peer::LinkCallbacks callbacks;
    callbacks.onMessage = [this](const MemberName &from, const peer::Message &message) {
        m_inbox.post([this, from, message] { messageReceived(from, message); });
    };
    callbacks.onLink = [this](const peer::Hello &hello, peer::LinkState state) {
        m_inbox.post([this, hello, state] { linkChanged(hello, state); });
    };
    callbacks.onHeartbeat = [this](const MemberName &from, const peer::Heartbeat &heartbeat,
                                   std::optional<Millis> askedAt) {
        m_inbox.post(
            [this, from, heartbeat, askedAt] { heartbeatReceived(from, heartbeat, askedAt); });
    };
    callbacks.heartbeat = [this] {
        const std::lock_guard<std::mutex> lock(m_heartbeatMutex);
        peer::Heartbeat heartbeat = m_heartbeat;
        if (m_contactAt)
            heartbeat.storeContactAgeMs = (m_clock.now() - *m_contactAt).count;
        return heartbeat;
    };
    return callbacks;
}

MemberInfo NodeControl::Impl::describeSelf(const peer::PeerLinks &links) const
{
    MemberInfo self;
    self.name = m_options.member;
    self.incarnation = m_options.incarnation;
    self.zone = m_options.zone;
    self.vm = m_options.vm;
    self.callerAddress = m_options.callerAddress;
    self.peerAddress = links.self().peerAddress;
    return self;
}

Result<void> NodeControl::Impl::start()
{
    peer::Hello hello;
    hello.member = m_options.member;
    hello.role = m_options.role;
    hello.incarnation = m_options.incarnation;
    hello.zone = m_options.zone;
    hello.vm = m_options.vm;
    hello.callerAddress = m_options.callerAddress;
    m_links = std::make_unique<peer::PeerLinks>(hello, m_options.links, linkCallbacks());
    const Result<std::uint16_t> port = m_links->listen(m_options.peerListen);
    if (!port)
        return tl::unexpected<Error>(port.error());
    m_self = describeSelf(*m_links);
    const std::string &httpAddress =
        m_options.operatorAddress.empty() ? m_options.callerAddress : m_options.operatorAddress;
    m_registration.emplace(m_store, m_self, httpAddress, m_options.leaseTtl,
                           [this](LeaseChange change, Millis sentAt) {
                               if (change == LeaseChange::Lost)
                                   m_timeline.record("lease-lost", m_self.name.text());
                               if (m_callbacks.onLease)
                                   m_callbacks.onLease(change, sentAt);
                           });
    m_links->start();
    m_pool.spawn(0, [this] { leaseLoop(); });
    m_pool.spawn(0, [this] { memberLoop(); });
    m_pool.spawn(0, [this] { configLoop(); });
    m_pool.spawn(0, [this] { tickLoop(); });
    if (m_options.vmList)
        m_pool.spawn(0, [this] { vmLoop(); });
    return {};
}

void NodeControl::Impl::stop()
{
    if (m_stopped.exchange(true))
        return;
    if (m_registration) {
        const std::shared_ptr<std::promise<void>> released = std::make_shared<std::promise<void>>();
        std::future<void> done = released->get_future();
        m_pool.spawn(0, [this, released] {
            m_registration->release();
            released->set_value();
        });
        done.wait_for(releaseTimeout);
    }
    if (m_links)
        m_links->stop();
    m_pool.stop();
    m_pool.join();
}

void NodeControl::Impl::setLeaving()
{
    m_pool.spawn(0, [this] {
        if (std::exchange(m_leaving, true))
            return;
        m_self.leaving = true;
        m_registration->setLeaving();
        updateHeartbeat(m_clock.now());
        m_viewDue = true;
        updateView(m_clock.now());
        storeAnswered(m_registration->keep(m_clock.now()));
        m_leavingConfirmed = m_registration->leavingConfirmed();
    });
}

void NodeControl::Impl::setExtraPeers(std::vector<MemberName> members)
{
    m_inbox.post([this, members = std::move(members)]() mutable {
        m_extraPeers = std::move(members);
        updatePeers();
    });
}

std::string NodeControl::Impl::status() const
{
    const NodeViewPtr view = currentView();
    const nlohmann::json out {
        {"member", m_options.member.text()},
        {"role", peer::toString(m_options.role)},
        {"zone", m_options.zone.text()},
        {"vm", m_options.vm.text()},
        {"incarnation", m_options.incarnation.value},
        {"config_version", view->snapshot->version.value},
        {"members", view->members.size()},
        {"freshness", toString(view->freshness)},
        {"ready", view->ready},
        {"leaving", view->leaving},
    };
    return out.dump();
}

void NodeControl::Impl::tickLoop()
{
    for (;;) {
        const Millis now = m_clock.now();
        m_judge.tick(now);
        m_members.table().purge(now);
        fetchConfig();
        updateHeartbeat(now);
        updateView(now);
        net::sleepFor(tickInterval);
    }
}

void NodeControl::Impl::leaseLoop()
{
    while (!m_stopped) {
        const bool kept = m_registration->keep(m_clock.now());
        m_leavingConfirmed = m_registration->leavingConfirmed();
        storeAnswered(kept || m_registration->superseded());
        if (kept)
            net::sleepFor(m_options.leaseRenewInterval);
        else
            pauseAfterFailure();
    }
}

void NodeControl::Impl::configLoop()
{
    for (;;) {
        const Millis now = m_clock.now();
        const bool watcher = isWatcher();
        if (!watcher && !ownCheckDue(now)) {
            net::sleepFor(tickInterval);
            continue;
        }
        const bool answered =
            m_config.checkStore(now, watcher ? m_options.configWatchWait : Millis {0});
        storeAnswered(answered);
        if (!answered || !watcher)
            pauseAfterFailure();
    }
}

void NodeControl::Impl::memberLoop()
{
    Millis polledAt {0};
    for (;;) {
        const Millis now = m_clock.now();
        const bool watcher = isWatcher();
        const bool pollDue = now - polledAt >= m_options.memberPollInterval;
        bool answered = true;
        if (m_members.needsList() || pollDue) {
            answered = m_members.list(now);
            polledAt = now;
        } else if (watcher) {
            answered = m_members.watch(now, m_options.memberWatchWait);
        } else {
            net::sleepFor(tickInterval);
            continue;
        }
        storeAnswered(answered);
        m_viewDue = true;
        if (!answered)
            pauseAfterFailure();
    }
}

void NodeControl::Impl::vmLoop()
{
    const net::VmListClient client(m_http, *m_options.vmList);
    for (;;) {
        const Result<net::VmList> list = client.fetch();
        if (list) {
            std::vector<VmListItem> items;
            items.reserve(list->vms.size());
            for (const net::Vm &vm : list->vms)
                items.push_back({vm.name, vm.zone, vm.state == net::VmState::Leaving});
            m_viewDue = m_vms.apply(m_clock.now(), list->revision, items) || m_viewDue;
        }
        net::sleepFor(m_options.vmListInterval);
    }
}

void NodeControl::Impl::pauseAfterFailure()
{
    std::uniform_int_distribution<std::int64_t> jitter(retryMin.count, retryMax.count);
    net::sleepFor(Millis {jitter(m_random)});
}

void NodeControl::Impl::storeAnswered(bool answered)
{
    if (answered) {
        m_storeFailures = 0;
        return;
    }
    if (++m_storeFailures != failuresUntilLost)
        return;
    m_members.storeLost();
    m_timeline.record("store-lost", m_self.name.text());
}

void NodeControl::Impl::linkChanged(const peer::Hello &hello, peer::LinkState state)
{
    const Millis now = m_clock.now();
    const bool up = state == peer::LinkState::Up;
    m_timeline.record(up ? "link-up" : "link-down", hello.member.text());
    if (up) {
        MemberInfo member;
        member.name = hello.member;
        member.incarnation = hello.incarnation;
        member.zone = hello.zone;
        member.vm = hello.vm;
        member.callerAddress = hello.callerAddress;
        member.peerAddress = hello.peerAddress;
        m_greeted.insert_or_assign(hello.member, member);
        m_expected.insert(hello.member);
        m_members.heartbeat(now, member, 0);
    } else {
        m_members.linkDown(now, hello.member);
    }
    if (state == peer::LinkState::Left)
        stopExpecting(hello.member);
    m_viewDue = true;
    if (m_callbacks.onLink)
        m_callbacks.onLink(hello, state);
}

void NodeControl::Impl::heartbeatReceived(const MemberName &from, const peer::Heartbeat &heartbeat,
                                          std::optional<Millis> askedAt)
{
    const Millis now = m_clock.now();
    const std::map<MemberName, MemberInfo>::iterator it = m_greeted.find(from);
    if (it == m_greeted.end())
        return;
    m_expected.insert(from);
    m_viewDue = m_viewDue || it->second.leaving != heartbeat.leaving;
    it->second.leaving = heartbeat.leaving;
    m_members.heartbeat(now, it->second, heartbeat.membersRevision);
    m_judge.versionExists(heartbeat.configVersion);
    m_config.peerHas(now, from, heartbeat.configVersion);
    fetchConfig();
    if (!askedAt)
        return;
    StoreVouch vouch;
    if (heartbeat.storeContactAgeMs >= 0)
        vouch.contactAge = Millis {heartbeat.storeContactAgeMs};
    vouch.version = heartbeat.contactVersion;
    m_judge.peerAnswered(from, *askedAt, vouch);
}

void NodeControl::Impl::messageReceived(const MemberName &from, const peer::Message &message)
{
    const Millis now = m_clock.now();
    if (const peer::VersionNotice *notice = std::get_if<peer::VersionNotice>(&message)) {
        m_judge.versionExists(notice->version);
        m_config.peerHas(now, from, notice->version);
        fetchConfig();
    } else if (const peer::ConfigRequest *ask = std::get_if<peer::ConfigRequest>(&message)) {
        m_config.requested(from, *ask);
    } else if (const peer::ConfigBody *body = std::get_if<peer::ConfigBody>(&message)) {
        m_config.received(*body);
    } else if (const peer::MembersRequest *list = std::get_if<peer::MembersRequest>(&message)) {
        m_members.requested(from, *list);
    } else if (const peer::MembersBody *members = std::get_if<peer::MembersBody>(&message)) {
        m_members.received(now, *members);
        m_viewDue = true;
    } else if (m_callbacks.onMessage) {
        m_callbacks.onMessage(from, message);
    }
}

void NodeControl::Impl::configApplied(const Snapshot &snapshot)
{
    const std::string version = std::to_string(snapshot.version.value);
    m_timeline.record("config-applied", version);
    observe::logChange("config-applied", {{"version", version}});
    static_cast<void>(m_links->broadcast(peer::VersionNotice {snapshot.version}));
    updateHeartbeat(m_clock.now());
    m_viewDue = true;
    // The caller first records what the store has confirmed by this.
    m_inbox.post([this] { updateView(m_clock.now()); });
}

void NodeControl::Impl::fetchConfig()
{
    if (!m_config.fetchDue(m_clock.now()))
        return;
    m_pool.spawn(0, [this] { storeAnswered(m_config.readStore(m_clock.now())); });
}

bool NodeControl::Impl::isWatcher() const
{
    std::vector<std::string_view> names;
    bool listed = false;
    for (const MemberView &member : m_lastMembers) {
        if (member.state != MemberState::Live)
            continue;
        names.push_back(member.info.name.text());
        listed = listed || member.info.name == m_self.name;
    }
    const std::size_t count =
        std::max(m_options.minWatchers, names.size() / m_options.membersPerWatcher);
    if (!listed || names.size() <= count)
        return true;
    const std::vector<std::size_t> order = rendezvousOrder("watchers", names);
    return std::any_of(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
        [this, &names](std::size_t index) { return names[index] == m_self.name.text(); });
}

bool NodeControl::Impl::ownCheckDue(Millis now) const
{
    const StoreVouch vouch = m_judge.ownVouch(now);
    return !vouch.contactAge || *vouch.contactAge >= m_options.ownCheckAfter;
}

void NodeControl::Impl::updatePeers()
{
    std::set<MemberName> wanted(m_extraPeers.begin(), m_extraPeers.end());
    for (MemberName &name : chooseNeighbours(m_self, m_lastMembers, m_options.neighbours))
        wanted.insert(std::move(name));
    std::vector<peer::PeerTarget> targets;
    for (const MemberView &member : m_lastMembers) {
        const bool other = member.info.name != m_self.name;
        if (other && member.state != MemberState::Gone && wanted.contains(member.info.name))
            targets.push_back(
                {member.info.name, member.info.peerAddress, member.info.incarnation, false});
    }
    if (!m_members.known()) {
        for (const std::string &address : m_options.seedPeers)
            targets.push_back({MemberName("seed " + address), address, Incarnation {}, true});
    }
    if (targets == m_targets)
        return;
    for (const peer::PeerTarget &target : m_targets) {
        if (!wanted.contains(target.member))
            stopExpecting(target.member);
    }
    for (const peer::PeerTarget &target : targets) {
        if (!target.anyMember)
            m_expected.insert(target.member);
    }
    m_targets = std::move(targets);
    m_links->setPeers(m_targets);
}

// Forgets a peer that this daemon no longer dials. If the peer dials this one, its next heartbeat
// makes it expected again.
void NodeControl::Impl::stopExpecting(const MemberName &member)
{
    m_expected.erase(member);
    m_judge.forgetPeer(member);
}

// Forgets everything about members that are gone, so that replaced daemons do not count as peers
// that cannot be reached.
void NodeControl::Impl::forgetGoneMembers()
{
    std::set<MemberName> known;
    for (const MemberView &member : m_lastMembers) {
        if (member.state != MemberState::Gone)
            known.insert(member.info.name);
    }
    const std::set<MemberName> expected = m_expected;
    for (const MemberName &member : expected) {
        if (!known.contains(member))
            stopExpecting(member);
    }
    std::erase_if(m_greeted, [&known](const std::pair<const MemberName, MemberInfo> &entry) {
        return !known.contains(entry.first);
    });
}

void NodeControl::Impl::updateHeartbeat(Millis now)
{
    const StoreVouch vouch = m_judge.ownVouch(now);
    const std::lock_guard<std::mutex> lock(m_heartbeatMutex);
    m_heartbeat.configVersion = m_config.inForce();
    m_heartbeat.contactVersion = vouch.version;
    m_heartbeat.membersRevision = m_members.revision();
    m_heartbeat.leaving = m_leaving;
    m_contactAt.reset();
    if (vouch.contactAge)
        m_contactAt = now - *vouch.contactAge;
}

void NodeControl::Impl::updateView(Millis now)
{
    const bool membersDue = m_viewDue || !m_viewAt || now - *m_viewAt >= viewInterval;
    if (membersDue) {
        m_viewAt = now;
        m_viewDue = false;
        m_members.table().heartbeat(now, m_self);
        std::vector<MemberView> members = m_members.table().members(now);
        if (members != m_lastMembers || m_targets.empty()) {
            m_lastMembers = std::move(members);
            forgetGoneMembers();
            updatePeers();
        }
    }
    const std::size_t expected = m_expected.size();
    NodeView next;
    next.freshness = m_judge.verdict(now, m_config.inForce(), expected);
    next.ready = m_config.ready(now, expected);
    next.leaving = m_leaving;
    next.snapshot = m_config.snapshot();
    const NodeViewPtr before = currentView();
    const bool same = next.freshness == before->freshness && next.ready == before->ready
        && next.leaving == before->leaving && next.snapshot == before->snapshot
        && (!membersDue
            || (before->members == m_lastMembers && before->vms.revision() == m_vms.revision()));
    if (same)
        return;
    next.members = m_lastMembers;
    next.vms = m_vms;
    const NodeViewPtr after = std::make_shared<const NodeView>(std::move(next));
    {
        const std::lock_guard<std::mutex> lock(m_viewMutex);
        m_view = after;
    }
    recordChanges(*before, *after);
    exportMetrics(*after);
    if (m_callbacks.onView)
        m_callbacks.onView(after);
}

void NodeControl::Impl::recordChanges(const NodeView &before, const NodeView &after)
{
    if (before.freshness != after.freshness) {
        m_timeline.record("freshness", toString(after.freshness));
        observe::logChange("freshness", {{"verdict", toString(after.freshness)}});
    }
    if (before.ready != after.ready) {
        m_timeline.record("ready", after.ready ? "yes" : "no");
        observe::logChange("ready", {{"ready", after.ready ? "yes" : "no"}});
    }
    if (before.leaving != after.leaving)
        m_timeline.record("leaving", m_self.name.text());
    if (before.members.size() != after.members.size())
        m_timeline.record("members", std::to_string(after.members.size()));
}

void NodeControl::Impl::exportMetrics(const NodeView &view)
{
    m_metrics.gauge("fescue_config_version").Set(static_cast<double>(view.snapshot->version.value));
    m_metrics.gauge("fescue_members").Set(static_cast<double>(view.members.size()));
    m_metrics.gauge("fescue_freshness").Set(static_cast<double>(view.freshness));
    m_metrics.gauge("fescue_ready").Set(view.ready ? 1 : 0);
}

NodeControl::NodeControl(NodeOptions options, observe::Timeline &timeline,
                         observe::Metrics &metrics, NodeCallbacks callbacks)
    : m_impl(std::make_unique<Impl>(std::move(options), timeline, metrics, std::move(callbacks)))
{ }

NodeControl::~NodeControl()
{
    m_impl->stop();
}

Result<void> NodeControl::start()
{
    return m_impl->start();
}

void NodeControl::stop()
{
    m_impl->stop();
}

void NodeControl::setLeaving()
{
    m_impl->setLeaving();
}

bool NodeControl::leavingConfirmed() const noexcept
{
    return m_impl->leavingConfirmed();
}

NodeViewPtr NodeControl::currentView() const
{
    return m_impl->currentView();
}

std::string NodeControl::status() const
{
    return m_impl->status();
}

void NodeControl::setExtraPeers(std::vector<MemberName> members)
{
    m_impl->setExtraPeers(std::move(members));
}

peer::PeerLinks &NodeControl::links() noexcept
{
    return m_impl->links();
}

net::WorkerPool &NodeControl::controlPool() noexcept
{
    return m_impl->pool();
}

net::HttpClient &NodeControl::httpClient() noexcept
{
    return m_impl->http();
}

const std::string &NodeControl::peerAddress() const noexcept
{
    return m_impl->peerAddress();
}

const NodeOptions &NodeControl::options() const noexcept
{
    return m_impl->options();
}

net::LeaseId NodeControl::lease() const noexcept
{
    return m_impl->lease();
}

net::StoreClient NodeControl::store() noexcept
{
    return m_impl->store();
}

net::CallCounts NodeControl::storeCalls() const noexcept
{
    return m_impl->storeCalls();
}

} // namespace fescue::node
