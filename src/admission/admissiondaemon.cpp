#include "admissiondaemon.h"

#include "fescue/node/daemonsupport.h"
#include "fescue/node/operatorroutes.h"

#include <optional>
#include <string>
#include <utility>

namespace fescue::admission {

namespace {

constexpr Millis tickInterval = 50_ms;
// The lease bounds how long the endpoints of a daemon that died stay without an authority.
constexpr Millis ownerLeaseTtl = 3_s;
constexpr Millis ownerLeaseRenewInterval = 1_s;

} // namespace

AdmissionDaemon::AdmissionDaemon(const DaemonSettings &settings)
    : m_settings(settings), m_incarnation {static_cast<std::uint64_t>(observe::wallMillisNow())},
      m_timeline(settings.name.text()), m_pool(1)
{ }

AdmissionDaemon::~AdmissionDaemon()
{
    m_serving = false;
    if (m_node)
        m_node->stop();
    m_server.reset();
    m_pool.stop();
    m_pool.join();
}

node::NodeOptions AdmissionDaemon::nodeOptions() const
{
    node::NodeOptions options = node::nodeOptions(m_settings, peer::Role::Admission, m_incarnation);
    options.operatorAddress = m_server->address().toString();
    options.leaseTtl = ownerLeaseTtl;
    options.leaseRenewInterval = ownerLeaseRenewInterval;
    return options;
}

Result<void> AdmissionDaemon::start()
{
    m_server = std::make_unique<net::HttpServer>(
        m_pool, node::toAddress(m_settings.listen), node::serverLimits(m_settings.limits),
        [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
            serve(request, writer);
        });
    Result<void> listening = m_server->start();
    if (!listening)
        return listening;

    node::NodeCallbacks callbacks;
    callbacks.onView = [this](const node::NodeViewPtr &view) { takeView(view); };
    callbacks.onMessage = [this](const MemberName &from, const peer::Message &message) {
        handleMessage(from, message);
    };
    callbacks.onLink = [this](const peer::Hello &hello, peer::LinkState state) {
        linkChanged(hello, state);
    };
    callbacks.onLease = [this](node::LeaseChange change, Millis sentAt) {
        leaseChanged(change, sentAt);
    };
    m_node = std::make_unique<node::NodeControl>(nodeOptions(), m_timeline, m_metrics,
                                                 std::move(callbacks));
    OwnershipLimits ownership;
    ownership.leaseTtl = ownerLeaseTtl;
    m_context = std::make_unique<KeeperContext>(KeeperContext {*m_node,
                                                               m_timeline,
                                                               m_metrics,
                                                               {m_settings.name, m_incarnation},
                                                               ownership,
                                                               CreditSettings {}});
    Result<void> started = m_node->start();
    if (!started)
        return started;
    m_serving = true;
    m_node->controlPool().spawn(0, [this] { tickLoop(); });
    return {};
}

void AdmissionDaemon::tickLoop()
{
    for (;;) {
        const Millis now = SteadyClock {}.now();
        std::size_t owned = 0;
        for (const std::pair<const EndpointName, std::shared_ptr<EndpointKeeper>> &entry :
             m_keepers) {
            entry.second->tick(now);
            owned += entry.second->holdsKey() ? 1 : 0;
        }
        m_owned = owned;
        m_metrics.gauge("fescue_endpoints_owned").Set(static_cast<double>(owned));
        net::sleepFor(tickInterval);
    }
}

void AdmissionDaemon::leaseChanged(node::LeaseChange change, Millis sentAt)
{
    m_leasedAt.reset();
    if (change != node::LeaseChange::Lost)
        m_leasedAt = sentAt;
    for (const std::pair<const EndpointName, std::shared_ptr<EndpointKeeper>> &entry : m_keepers)
        entry.second->leaseChanged(change, sentAt);
}

void AdmissionDaemon::takeView(const node::NodeViewPtr &view)
{
    if (view->snapshot != m_snapshot) {
        m_snapshot = view->snapshot;
        configureEndpoints(*view);
    }
    const Millis now = SteadyClock {}.now();
    for (const std::pair<const EndpointName, std::shared_ptr<EndpointKeeper>> &entry : m_keepers) {
        const MemberInfo *authority = view->authorityOf(entry.first);
        const bool wanted = authority && authority->name == m_settings.name && !view->leaving;
        entry.second->applyView(now, *view, wanted);
    }
}

void AdmissionDaemon::configureEndpoints(const node::NodeView &view)
{
    const Millis now = SteadyClock {}.now();
    std::map<EndpointName, std::shared_ptr<EndpointKeeper>> next;
    for (const Endpoint &endpoint : view.snapshot->endpoints) {
        const auto old = m_keepers.find(endpoint.name);
        if (old != m_keepers.end() && old->second->endpoint().fencing == endpoint.fencing) {
            old->second->configure(endpoint);
            next.insert(m_keepers.extract(old));
            continue;
        }
        const Service *service = view.snapshot->findService(endpoint.service);
        const ServiceKind kind = service ? service->kind : ServiceKind::Model;
        const std::shared_ptr<EndpointKeeper> keeper =
            std::make_shared<EndpointKeeper>(*m_context, endpoint, kind);
        if (m_leasedAt)
            keeper->leaseChanged(node::LeaseChange::Renewed, *m_leasedAt);
        next.emplace(endpoint.name, keeper);
    }
    for (const std::pair<const EndpointName, std::shared_ptr<EndpointKeeper>> &entry : m_keepers)
        entry.second->release(now);
    m_keepers.swap(next);
}

void AdmissionDaemon::handleMessage(const MemberName &from, const peer::Message &message)
{
    if (const peer::CreditDemands *demands = std::get_if<peer::CreditDemands>(&message)) {
        answerDemands(from, *demands);
    } else if (const peer::EndpointEvent *event = std::get_if<peer::EndpointEvent>(&message)) {
        const auto it = m_keepers.find(event->endpoint);
        if (it != m_keepers.end())
            it->second->event(*event);
    }
}

void AdmissionDaemon::answerDemands(const MemberName &from, const peer::CreditDemands &message)
{
    peer::CreditGrants answer;
    for (EntryDemand demand : message.demands) {
        const auto it = m_keepers.find(demand.endpoint);
        if (it == m_keepers.end())
            continue;
        demand.member = from;
        std::optional<CreditGrant> grant = it->second->answer(SteadyClock {}.now(), demand);
        if (grant)
            answer.grants.push_back(std::move(*grant));
    }
    static_cast<void>(m_node->links().send(from, answer));
}

void AdmissionDaemon::linkChanged(const peer::Hello &hello, peer::LinkState state)
{
    if (state != peer::LinkState::Left)
        return;
    for (const std::pair<const EndpointName, std::shared_ptr<EndpointKeeper>> &entry : m_keepers)
        entry.second->memberLeft(hello.member);
}

void AdmissionDaemon::leave()
{
    m_node->setLeaving();
}

void AdmissionDaemon::serve(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const node::OperatorSources sources {
        m_metrics, m_timeline, [this] { return m_serving && m_node->currentView()->ready; },
        [this] { return m_serving ? m_node->status() : std::string("{\"ready\":false}"); }};
    std::optional<net::HttpResponse> answer = node::answerOperator(request, sources);
    if (!answer)
        answer = net::problemResponse(
            {404, ResultCode::NoSuchRoute, RunState::NotRun, "no route for " + request.target, {}});
    static_cast<void>(writer.send(*answer));
}

} // namespace fescue::admission
