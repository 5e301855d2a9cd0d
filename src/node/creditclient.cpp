#include "fescue/node/creditclient.h"

#include "fescue/node/nodecontrol.h"

#include <atomic>
#include <map>
#include <set>
#include <utility>

namespace fescue::node {

// What was sent belongs to the control worker.
class CreditClient::Impl : public std::enable_shared_from_this<CreditClient::Impl>
{
public:
    Impl(NodeControl &node, CreditClientHooks hooks, CreditClientOptions options)
        : m_node(node), m_hooks(std::move(hooks)), m_options(options)
    { }

    void loop()
    {
        while (!m_stopped) {
            sendDue();
            net::sleepFor(m_options.checkInterval);
        }
    }

    // Marks a flush as pending. False where one is pending already.
    [[nodiscard]] bool beginFlush() { return !m_stopped && !m_flushing.exchange(true); }

    void flush()
    {
        m_flushing = false;
        if (!m_stopped)
            sendDue();
    }

    void stop() noexcept { m_stopped = true; }

    void received(const peer::CreditGrants &message)
    {
        for (CreditGrant grant : message.grants) {
            if (m_stopped)
                return;
            grant.member = m_node.options().member;
            m_hooks.granted(grant);
        }
    }

    NodeControl &node() noexcept { return m_node; }

private:
    struct Sent
    {
        MemberName authority;
        EntryDemand demand;
    };

    void sendDue();
    [[nodiscard]] bool isDue(const EntryDemand &demand, const MemberName &authority,
                             Millis now) const;
    void updateLinks(std::set<MemberName> authorities);

    NodeControl &m_node;
    const CreditClientHooks m_hooks;
    const CreditClientOptions m_options;
    const SteadyClock m_clock;
    std::atomic<bool> m_flushing {false};
    std::atomic<bool> m_stopped {false};
    std::map<EndpointName, Sent> m_sent;
    std::set<MemberName> m_authorities;
};

void CreditClient::Impl::sendDue()
{
    const Millis now = m_clock.now();
    const NodeViewPtr view = m_node.currentView();
    std::map<MemberName, peer::CreditDemands> due;
    std::set<MemberName> authorities;
    for (EntryDemand &demand : m_hooks.demands(now)) {
        const MemberInfo *authority = view->authorityOf(demand.endpoint);
        if (!authority)
            continue;
        authorities.insert(authority->name);
        if (isDue(demand, authority->name, now))
            due[authority->name].demands.push_back(std::move(demand));
    }
    updateLinks(std::move(authorities));
    for (std::pair<const MemberName, peer::CreditDemands> &entry : due) {
        if (!m_node.links().send(entry.first, entry.second))
            continue;
        for (EntryDemand &demand : entry.second.demands) {
            const EndpointName endpoint = demand.endpoint;
            m_sent.insert_or_assign(endpoint, Sent {entry.first, std::move(demand)});
        }
    }
}

bool CreditClient::Impl::isDue(const EntryDemand &demand, const MemberName &authority,
                               Millis now) const
{
    const std::map<EndpointName, Sent>::const_iterator it = m_sent.find(demand.endpoint);
    if (it == m_sent.end() || it->second.authority != authority)
        return true;
    const EntryDemand &last = it->second.demand;
    const bool wantsMore = demand.queuedWanted > last.queuedWanted
        || demand.minimumTokensWanted > last.minimumTokensWanted;
    const Millis age = now - last.sentAt;
    return age >= m_options.refreshInterval || (wantsMore && age >= m_options.coalesceInterval);
}

void CreditClient::Impl::updateLinks(std::set<MemberName> authorities)
{
    if (authorities == m_authorities)
        return;
    m_authorities = std::move(authorities);
    m_node.setExtraPeers({m_authorities.begin(), m_authorities.end()});
}

CreditClient::CreditClient(NodeControl &node, CreditClientHooks hooks, CreditClientOptions options)
    : m_impl(std::make_shared<Impl>(node, std::move(hooks), options))
{ }

CreditClient::~CreditClient()
{
    m_impl->stop();
}

void CreditClient::start()
{
    m_impl->node().controlPool().spawn(0, [impl = m_impl] { impl->loop(); });
}

void CreditClient::stop()
{
    m_impl->stop();
}

void CreditClient::flush()
{
    if (m_impl->beginFlush())
        m_impl->node().controlPool().spawn(0, [impl = m_impl] { impl->flush(); });
}

void CreditClient::report(const peer::EndpointEvent &event)
{
    const NodeViewPtr view = m_impl->node().currentView();
    if (const MemberInfo *authority = view->authorityOf(event.endpoint))
        static_cast<void>(m_impl->node().links().send(authority->name, event));
}

bool CreditClient::handleMessage(const MemberName &, const peer::Message &message)
{
    const peer::CreditGrants *grants = std::get_if<peer::CreditGrants>(&message);
    if (!grants)
        return false;
    m_impl->received(*grants);
    return true;
}

} // namespace fescue::node
