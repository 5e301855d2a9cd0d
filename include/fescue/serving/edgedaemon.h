#pragma once

#include "fescue/serving/gossip.h"
#include "fescue/serving/gossipsocket.h"
#include "fescue/serving/requesthandler.h"
#include "fescue/serving/storesession.h"

#include <memory>

namespace fescue::serving {

// One entry process on a platform: serves callers, the directory, the readiness check and the
// metrics, and follows the platform's store. Everything runs on the one worker of the pool.
template <PlatformProtocol P>
class EdgeDaemon
{
public:
    EdgeDaemon(NodeSettings settings, net::WorkerPool &pool, Incarnation incarnation);

    // Listens and starts to work; call on the worker.
    [[nodiscard]] Result<void> start();
    // Leaves the directory, ends what is open and returns when the process may exit; call on the
    // worker.
    void drain();
    // Takes settings that have changed. What cannot change while the process runs is logged.
    // `reason` says for the log what showed the change.
    void reload(const NodeSettings &settings, std::string_view reason);

private:
    [[nodiscard]] net::HttpServer &addServer(const net::Address &address,
                                             net::HttpServer::Handler handler);
    void answerDirectory(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerReady(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerMetrics(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] bool ready() const noexcept;
    void applyLimits();
    void tick();
    void answerPeer(const net::HttpRequest &request, net::ResponseWriter &writer);
    void sendGossip();
    void sendNews(std::span<const MemberView *const> to, std::string_view bytes);
    // Moves the generations of an endpoint that said that it leaves, and tells the other processes.
    void endpointSaidLeaving(const EndpointIncarnation &life, std::optional<Millis> leavesIn);
    // In a large system, other zones are told through their relays.
    void tellLeaving(std::vector<EndpointIncarnation> lives, std::optional<Millis> leavesIn,
                     bool toOtherZones);
    void takeLeaving(std::string_view bytes);
    // In a large system, tells the sum of this zone to the relays of others, and their sums to this
    // zone, where this process is a relay.
    void tellZoneLoads(std::span<const MemberView> members);
    void takeZoneLoads(std::string_view bytes);
    // Takes the word of a peer; returns what was news here.
    [[nodiscard]] std::vector<EndpointIncarnation>
    takeNotices(std::span<const EndpointIncarnation> notices, std::optional<Millis> leavesIn,
                std::string_view from);
    // Sends a datagram of one kind to a member; false where that fails.
    bool sendTo(const MemberInfo &member, const std::string &datagram);
    void takeDatagram(std::string_view bytes);
    void takeGossip(std::string_view bytes);
    void takeNews(std::string_view bytes);

    net::WorkerPool *m_pool;
    MemberInfo m_self;
    observe::Metrics m_metrics;
    ServingState m_state;
    GenerationMover<P> m_mover;
    RequestHandler<P> m_handler;
    StoreSession<P> m_store;
    GossipSocket m_gossip;
    std::vector<std::unique_ptr<net::HttpServer>> m_servers;
    net::HttpServer *m_front = nullptr;
    observe::Counter &m_sent = m_metrics.counter("fescue_datagrams_sent_total");
    observe::Counter &m_notSent = m_metrics.counter("fescue_datagrams_not_sent_total");
    observe::Counter &m_malformed = m_metrics.counter("fescue_datagrams_malformed_total");
};

} // namespace fescue::serving

#include "fescue/serving/edgedaemon.inl"
