#pragma once

#include "fescue/serving/gossip.h"
#include "fescue/serving/gossipsocket.h"
#include "fescue/serving/quarantineroutes.h"
#include "fescue/serving/requesthandler.h"
#include "fescue/serving/rolloutcontroller.h"
#include "fescue/serving/slotdesk.h"
#include "fescue/serving/storesession.h"

#include <memory>

namespace fescue::serving {

// An entry process of a platform. Serves callers, the directory, the readiness check and the
// metrics, and follows the platform's store. Runs entirely on the one worker of the pool.
template <PlatformProtocol P>
class EdgeDaemon
{
public:
    EdgeDaemon(NodeSettings settings, net::WorkerPool &pool, Incarnation incarnation);

    // Opens the listening sockets and starts the background fibers. Must be called on the worker.
    // Fails if an address cannot be bound; may then be called again, and goes on with what is
    // missing. The readiness check is answered from the first call on, if its address can be bound.
    [[nodiscard]] Result<void> start();
    // Closes the listening sockets of a daemon that has not started.
    void stopListening();
    // Returns the earliest time at which a signal that is handled at `now` may have come: where the
    // process was paused, it may have waited since the last moment at which the process ran.
    [[nodiscard]] Millis earliestSignalTime(Millis now) const noexcept;
    // Announces that this process leaves, waits for open requests and returns when the process may
    // exit. `signalledAt` is the time at which the stop was requested: the grace period counts from
    // then. Must be called on the worker.
    void drain(Millis signalledAt);
    // Applies changed settings. Logs whether some of them take effect only after a restart.
    // `reason` names the trigger of the reload in the log.
    void reload(const NodeSettings &settings, std::string_view reason);

    // Returns the number of requests that are being served.
    [[nodiscard]] std::size_t openRequests() const noexcept { return m_state.open; }
    // Counts waits of this process' start, by what was missing.
    void countStartWaits(std::string_view missing, std::uint64_t n);

private:
    void addServers();
    // Binds the addresses that are not bound yet. The front is the last, so that callers reach only
    // a process that has all others.
    [[nodiscard]] Result<void> listen();
    [[nodiscard]] net::HttpServer &addServer(const net::Address &address,
                                             net::HttpServer::Handler handler);
    void answerDirectory(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerReady(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerMetrics(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] bool ready() const noexcept;
    // Ends the taking of calls: refuses what arrives from now on.
    void closeFront();
    void applyLimits();
    void tick();
    // Returns the limits of the servers that forward nothing.
    [[nodiscard]] net::ServerLimits sideLimits() const;
    // Sends an answer whose body counts as held until the caller has taken it.
    void sendHeld(net::ResponseWriter &writer, const net::HttpResponse &answer);
    // Returns the limits of the server for callers.
    [[nodiscard]] net::ServerLimits frontLimits(const CallerLimits &limits) const;
    // Connections that were refused, and that had to make room, at all addresses.
    [[nodiscard]] std::uint64_t refusedConnections() const;
    [[nodiscard]] std::uint64_t displacedConnections() const;
    // Logs from time to time how many callers were refused for want of memory or descriptors.
    void logRefusals(Millis now);
    void answerPeer(const net::HttpRequest &request, net::ResponseWriter &writer);
    void sendGossip();
    void sendStoreUpdate(std::span<const MemberView *const> to, std::string_view bytes);
    // Moves the generations of an endpoint that announced leaving, and notifies the other
    // processes.
    void endpointAnnouncedLeaving(const EndpointIncarnation &leavingEndpoint,
                                  std::optional<Millis> leavesIn);
    // Notifies the other processes of leaving endpoints. In a large system, other zones are
    // notified through their relays.
    void sendLeavingNotice(std::vector<EndpointIncarnation> leavingEndpoints,
                           std::optional<Millis> leavesIn, bool toOtherZones);
    void handleLeavingNotice(std::string_view bytes);
    // In a large system, reports new load on an endpoint to the processes of other zones, and
    // removed load to all.
    void sendLoadChange(const EndpointName &endpoint, bool added, const EndpointLoad &load);
    void handleLoadChange(std::string_view bytes);
    // In a large system, if this process is a relay, sends the load sum of this zone to the relays
    // of other zones, and the sums of other zones to the members of this zone.
    void sendZoneLoads(std::span<const MemberView> members);
    void handleZoneLoads(std::string_view bytes);
    // Applies the leaving notices of a peer; returns those that were new to this process.
    [[nodiscard]] std::vector<EndpointIncarnation>
    applyLeavingNotices(std::span<const EndpointIncarnation> notices,
                        std::optional<Millis> leavesIn, std::string_view from);
    // Sends news about crashes and quarantined parts to the other processes, now and with the next
    // ticks, since datagrams may be lost. In a large system, other zones receive them through their
    // relays.
    void sendQuarantineNotice(const QuarantineNotice &notice, bool toOtherZones);
    void sendQuarantineDatagrams(const QuarantineNotice &notice, bool toOtherZones);
    // Repeats recent notices, and sends all entries at a longer interval, for processes that have
    // started meanwhile.
    void repeatQuarantineNotices();
    void handleQuarantineNotice(std::string_view bytes);
    // Sends a datagram to a member other than this process. Returns false if that fails.
    bool sendTo(const MemberInfo &member, const std::string &datagram);
    bool sendSlotMessage(const MemberName &to, const std::string &bytes);
    void handleSlotMessage(std::string_view bytes);
    void handleDatagram(std::string_view bytes);
    void handleGossip(std::string_view bytes);
    void handleStoreUpdate(std::string_view bytes);

    net::WorkerPool *m_pool;
    MemberInfo m_self;
    observe::Metrics m_metrics;
    ServingState m_state;
    GenerationMover<P> m_mover;
    RequestHandler<P> m_handler;
    StoreSession<P> m_store;
    RolloutController<P> m_rollouts;
    GossipSocket m_gossip;
    SlotDesk m_slots;
    std::vector<std::unique_ptr<net::HttpServer>> m_servers;
    net::HttpServer *m_front = nullptr;
    // Servers whose addresses are not bound yet, the front last.
    std::vector<net::HttpServer *> m_notListening;
    bool m_gossipOpen = false;
    // A notice that is sent again.
    struct RepeatedNotice
    {
        QuarantineNotice notice;
        bool toOtherZones = false;
        int repeatsLeft = 0;
    };
    std::vector<RepeatedNotice> m_repeatedNotices;
    std::uint64_t m_ticks = 0;
    Millis m_lastTickAt {0};
    Millis m_nextTickAt {0};
    // Refusals for want of room that have been logged.
    std::uint64_t m_bodiesRefused = 0;
    std::uint64_t m_callersRefused = 0;
    std::uint64_t m_displaced = 0;
    Millis m_refusalsLoggedAt {0};
    observe::Counter &m_datagramsSent = m_metrics.counter("fescue_datagrams_sent_total");
    observe::Counter &m_datagramsNotSent = m_metrics.counter("fescue_datagrams_not_sent_total");
    observe::Counter &m_datagramsMalformed = m_metrics.counter("fescue_datagrams_malformed_total");
    observe::Counter &m_datagramsFromTooMany =
        m_metrics.counter("fescue_datagrams_from_too_many_total");
    observe::Counter &m_loadsBeyondBounds = m_metrics.counter("fescue_loads_beyond_bounds_total");
};

} // namespace fescue::serving

#include "fescue/serving/edgedaemon.inl"
