#pragma once

#include "fescue/serving/edgeservers.h"
#include "fescue/serving/gossip.h"
#include "fescue/serving/leavingnotices.h"
#include "fescue/serving/loadreports.h"
#include "fescue/serving/memberdatagrams.h"
#include "fescue/serving/quarantinenotices.h"
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
    // Passes what one part of the process finds out to the others that need it.
    void connectParts();
    void handleDatagrams();
    void answerDirectory(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerReady(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerMetrics(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answerPeer(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] bool ready() const noexcept;
    // Ends the taking of calls: refuses what arrives from now on.
    void closeFront();
    void tick();
    // Removes endpoints, and restores zones, that the restored store has not written in time.
    void expireEndpoints(Millis now);
    void purgeState(Millis now);
    void sendGossip();
    [[nodiscard]] bool handleGossip(std::string_view bytes);
    [[nodiscard]] bool handleStoreUpdate(std::string_view bytes);

    net::WorkerPool *m_pool;
    MemberInfo m_self;
    observe::Metrics m_metrics;
    ServingState m_state;
    MemberDatagrams m_datagrams;
    GenerationMover<P> m_mover;
    RequestHandler<P> m_handler;
    StoreSession<P> m_store;
    RolloutController<P> m_rollouts;
    LeavingNotices m_leavingNotices;
    QuarantineNotices m_quarantineNotices;
    LoadReports m_loadReports;
    SlotDesk m_slots;
    EdgeServers m_servers;
    Millis m_lastTickAt {0};
    Millis m_nextTickAt {0};
    observe::Counter &m_datagramsFromTooMany =
        m_metrics.counter("fescue_datagrams_from_too_many_total");
};

} // namespace fescue::serving

#include "fescue/serving/edgedaemon.inl"
