#pragma once

#include "endpointkeeper.h"

#include "fescue/config/settings.h"
#include "fescue/net/httpserver.h"
#include "fescue/net/workerpool.h"
#include "fescue/node/daemonprogram.h"
#include "fescue/node/nodecontrol.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fescue::admission {

// One admission daemon: the authority on the endpoints that it owns, over the control part that
// both daemons share. The table of endpoints belongs to the control worker.
class AdmissionDaemon
{
public:
    explicit AdmissionDaemon(const DaemonSettings &settings);
    ~AdmissionDaemon();
    AdmissionDaemon(const AdmissionDaemon &) = delete;
    AdmissionDaemon &operator=(const AdmissionDaemon &) = delete;

    // Listens and starts. Errors: AddressInUse, SettingsInvalid.
    [[nodiscard]] Result<void> start();

    // Tells the others, and hands all endpoints over.
    void leave();
    // Endpoints that this daemon holds the key of.
    [[nodiscard]] std::size_t owned() const noexcept { return m_owned; }

    [[nodiscard]] net::Address httpAddress() const { return m_server->address(); }
    [[nodiscard]] const std::string &peerAddress() const { return m_node->peerAddress(); }
    [[nodiscard]] node::ListenAddresses addresses() const
    {
        return {httpAddress().toString(), peerAddress()};
    }

private:
    void serve(const net::HttpRequest &request, net::ResponseWriter &writer);
    void tickLoop();
    void leaseChanged(node::LeaseChange change, Millis sentAt);
    void takeView(const node::NodeViewPtr &view);
    void configureEndpoints(const node::NodeView &view);
    void handleMessage(const MemberName &from, const peer::Message &message);
    void answerDemands(const MemberName &from, const peer::CreditDemands &message);
    void linkChanged(const peer::Hello &hello, peer::LinkState state);
    [[nodiscard]] node::NodeOptions nodeOptions() const;

    DaemonSettings m_settings;
    Incarnation m_incarnation;
    observe::Timeline m_timeline;
    observe::Metrics m_metrics;
    net::WorkerPool m_pool;
    std::unique_ptr<net::HttpServer> m_server;
    std::unique_ptr<node::NodeControl> m_node;
    std::unique_ptr<KeeperContext> m_context;
    std::map<EndpointName, std::shared_ptr<EndpointKeeper>> m_keepers;
    // Configuration that the table was made from.
    std::shared_ptr<const Snapshot> m_snapshot;
    // When the latest request that granted or renewed the lease was sent.
    std::optional<Millis> m_leasedAt;
    std::atomic<std::size_t> m_owned {0};
    std::atomic<bool> m_serving {false};
};

} // namespace fescue::admission
