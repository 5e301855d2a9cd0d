#pragma once

#include "fescue/config/settings.h"
#include "fescue/gateway/gateway.h"
#include "fescue/net/httpserver.h"
#include "fescue/net/workerpool.h"
#include "fescue/node/creditclient.h"
#include "fescue/node/daemonprogram.h"
#include "fescue/node/nodecontrol.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace fescue::entry {

// One entry daemon: the callers' interface over the control part that both daemons share.
class EntryDaemon
{
public:
    explicit EntryDaemon(const DaemonSettings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    // Listens and starts. Errors: AddressInUse, SettingsInvalid.
    [[nodiscard]] Result<void> start();

    // Leaves the directory. Requests are still served, but calls that could not end by then.
    void leaveDirectory(Deadline lastCallEnd);
    // True once the store has confirmed that this entry is leaving.
    [[nodiscard]] bool leftDirectory() const noexcept { return m_node->leavingConfirmed(); }
    // Refuses new requests from now on; open ones go on.
    void refuseNew();
    // Refuses the requests that wait for capacity.
    void refuseWaiting();
    // Stops listening, and ends each connection with its next answer.
    void closeConnections();
    // True once every connection has ended after closeConnections().
    [[nodiscard]] bool connectionsClosed() const noexcept { return m_server->ended(); }
    // Requests and outcomes that are not finished.
    [[nodiscard]] std::size_t open() const noexcept;
    [[nodiscard]] Millis directoryTtl() const;

    [[nodiscard]] node::ListenAddresses addresses() const;

private:
    void takeView(const node::NodeViewPtr &view);
    void pumpAdmission();
    [[nodiscard]] std::string status() const;
    [[nodiscard]] node::NodeOptions nodeOptions() const;

    DaemonSettings m_settings;
    Incarnation m_incarnation;
    observe::Timeline m_timeline;
    observe::Metrics m_metrics;
    net::WorkerPool m_pool;
    net::HttpClient m_client;
    net::CallCounter m_claimCalls;
    net::StoreClient m_claims;
    gateway::GatewayViews m_views;
    gateway::AdmissionGate m_admission;
    gateway::RetryBudgets m_budgets;
    gateway::AccountStreams m_streams;
    gateway::GatewayParts m_parts;
    gateway::Intake m_intake;
    gateway::Gateway m_gateway;
    std::unique_ptr<net::HttpServer> m_server;
    std::unique_ptr<node::NodeControl> m_node;
    std::unique_ptr<node::CreditClient> m_credits;
    // Set once m_node may be used by requests.
    std::atomic<node::NodeControl *> m_statusSource {nullptr};
};

} // namespace fescue::entry
