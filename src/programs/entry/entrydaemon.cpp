#include "entrydaemon.h"

#include "fescue/node/daemonsupport.h"

#include <utility>

namespace fescue::entry {

namespace {

constexpr Millis admissionTickInterval = 20_ms;

} // namespace

EntryDaemon::EntryDaemon(const DaemonSettings &settings)
    : m_settings(settings), m_incarnation {static_cast<std::uint64_t>(observe::wallMillisNow())},
      m_timeline(settings.name.text()), m_pool(settings.workers),
      m_claims(m_client, node::toAddress(settings.store), m_claimCalls, settings.storeTimeout),
      m_admission(settings.name), m_parts {settings.name, m_incarnation, {},        {},
                                           m_views,       m_admission,   m_budgets, m_streams,
                                           m_pool,        m_client,      m_claims,  m_metrics,
                                           m_timeline},
      m_gateway(m_parts, m_intake, [this] { return status(); })
{ }

EntryDaemon::~EntryDaemon()
{
    m_statusSource = nullptr;
    if (m_node)
        m_node->stop();
    m_server.reset();
    // A fiber that waits for a decision ends only with one.
    m_admission.close();
    m_pool.stop();
    m_pool.join();
}

Result<void> EntryDaemon::start()
{
    m_server = std::make_unique<net::HttpServer>(
        m_pool, node::toAddress(m_settings.listen), node::serverLimits(m_settings.limits),
        [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
            m_gateway.handle(request, writer);
        });
    Result<void> listening = m_server->start();
    if (!listening)
        return listening;

    node::NodeCallbacks callbacks;
    callbacks.onView = [this](const node::NodeViewPtr &view) { takeView(view); };
    callbacks.onMessage = [this](const MemberName &from, const peer::Message &message) {
        if (m_credits)
            m_credits->handleMessage(from, message);
    };
    m_node = std::make_unique<node::NodeControl>(nodeOptions(), m_timeline, m_metrics,
                                                 std::move(callbacks));
    node::CreditClientHooks hooks;
    hooks.demands = [this](Millis) { return m_admission.demands(); };
    hooks.granted = [this](const CreditGrant &grant) { m_admission.grantReceived(grant); };
    m_credits = std::make_unique<node::CreditClient>(*m_node, std::move(hooks));
    Result<void> started = m_node->start();
    if (!started)
        return started;
    m_statusSource = m_node.get();
    m_credits->start();
    m_pool.spawn(0, [this] { pumpAdmission(); });
    return {};
}

node::NodeOptions EntryDaemon::nodeOptions() const
{
    node::NodeOptions options = node::nodeOptions(m_settings, peer::Role::Entry, m_incarnation);
    options.callerAddress = m_server->address().toString();
    return options;
}

// Runs on the control worker, so one view at a time.
void EntryDaemon::takeView(const node::NodeViewPtr &view)
{
    const gateway::GatewayViewPtr previous = m_views.current();
    const std::shared_ptr<gateway::GatewayView> next = std::make_shared<gateway::GatewayView>();
    next->snapshot = view->snapshot;
    next->members = view->members;
    next->vms = view->vms;
    next->freshness = view->freshness;
    next->ready = view->ready;
    gateway::completeView(*next, m_settings.zone, *previous);
    m_views.publish(next);
    if (next->snapshot != previous->snapshot)
        m_admission.applyServices(next->snapshot->services, next->snapshot->accounts);
    m_admission.setEligible(next->eligible);
}

void EntryDaemon::pumpAdmission()
{
    while (!net::stopRequested()) {
        m_admission.tick();
        if (m_admission.queued() > 0)
            m_credits->flush();
        net::sleepFor(admissionTickInterval);
    }
}

void EntryDaemon::leaveDirectory(Deadline lastCallEnd)
{
    m_intake.endAt(lastCallEnd);
    m_node->setLeaving();
}

void EntryDaemon::refuseNew()
{
    m_intake.close();
}

void EntryDaemon::refuseWaiting()
{
    m_admission.close();
}

void EntryDaemon::closeConnections()
{
    m_server->endInOrder();
}

std::size_t EntryDaemon::open() const noexcept
{
    return m_gateway.open();
}

Millis EntryDaemon::directoryTtl() const
{
    return m_views.current()->snapshot->directoryTtl;
}

node::ListenAddresses EntryDaemon::addresses() const
{
    return {m_server->address().toString(), m_node->peerAddress()};
}

std::string EntryDaemon::status() const
{
    const node::NodeControl *source = m_statusSource;
    return source == nullptr ? "{\"ready\":false}" : source->status();
}

} // namespace fescue::entry
