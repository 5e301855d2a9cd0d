#pragma once

#include "fescue/core/parsenumber.h"
#include "fescue/net/opensockets.h"
#include "fescue/observe/log.h"
#include "fescue/observe/timeline.h"
#include "fescue/serving/entrydirectory.h"
#include "fescue/serving/periodictask.h"

namespace fescue::serving {

// Time for which callers may cache an answer of the directory. Short enough that they soon stop
// using a failed entry, long enough to keep the load of the queries low.
inline constexpr Millis directoryTtl = 2_s;
// Interval at which loads are sent to peers and unconfirmed endpoints are checked.
inline constexpr Millis tickInterval = 250_ms;
// The interval in a large system, in which each process receives datagrams from many others.
inline constexpr Millis largeTickInterval = 700_ms;
inline constexpr Millis drainPollInterval = 50_ms;
// A periodic task that is later than this shows that the process did not run.
inline constexpr Millis pauseTolerance = 100_ms;
// Time for reading what has arrived when a stop closes the front.
inline constexpr Millis settleTime = 100_ms;
// Retry-After of requests that have arrived in part when the process ends.
inline constexpr Millis minRetryDelayAtStop = 100_ms;

template <PlatformProtocol P>
EdgeDaemon<P>::EdgeDaemon(NodeSettings settings, net::WorkerPool &pool, Incarnation incarnation)
    : m_pool(&pool), m_self {settings.name,
                             incarnation,
                             settings.zone,
                             VmName(settings.name.text()),
                             settings.frontAddress.toString(),
                             settings.peerAddress.toString(),
                             false,
                             settings.linkMegabits},
      m_state(std::move(settings), pool, m_metrics), m_datagrams(pool.context(0), m_state),
      m_mover(m_state), m_handler(m_state, m_mover),
      m_store(m_state, m_self,
              {[this] { m_servers.setCallerLimits(m_state.routes->config().limits); },
               [this](const EndpointName &endpoint) { m_mover.evacuate(endpoint); },
               [this](std::span<const MemberView *const> to, std::string_view bytes) {
                   m_datagrams.send(to, DatagramKind::StoreUpdate, bytes);
               },
               [this](const ServiceName &service, const StoreChange &change) {
                   m_rollouts.orderChanged(service, change);
               },
               [this](const ServiceName &service, const StoreChange &change) {
                   m_rollouts.statusChanged(service, change);
               }}),
      m_rollouts(
          m_state, m_mover, m_self,
          {[this](const MemberInfo &member, std::string_view bytes) {
               m_datagrams.send(member, DatagramKind::Rollout, bytes);
           },
           [this](const std::string &key, const std::string &value, net::StoreRevision expected) {
               return m_store.writeRollout(key, value, expected);
           },
           [this] { return m_store.isRejected(); }}),
      m_leavingNotices(m_state, m_datagrams,
                       [this](const EndpointName &endpoint, std::optional<Millis> leavesIn) {
                           m_mover.evacuate(endpoint, leavesIn);
                       }),
      m_quarantineNotices(m_state, m_datagrams,
                          [this](const QuarantineNotice &notice) {
                              return m_handler.guard().handleNotice(notice);
                          }),
      m_loadReports(m_state, m_datagrams),
      m_slots(m_state, incarnation,
              [this](const MemberName &to, const std::string &bytes) {
                  return m_datagrams.send(to, DatagramKind::Slot, bytes);
              }),
      m_servers(pool, m_state,
                {[this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                     answerReady(request, writer);
                 },
                 [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                     answerMetrics(request, writer);
                 },
                 [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                     answerDirectory(request, writer);
                 },
                 [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                     answerPeer(request, writer);
                 },
                 [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                     m_handler.handle(request, writer);
                 }})
{
    connectParts();
    handleDatagrams();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::stopListening()
{
    m_servers.close();
    m_datagrams.close();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::countStartWaits(std::string_view missing, std::uint64_t n)
{
    m_metrics.counter("fescue_start_waits_total", {{"for", std::string(missing)}})
        .Increment(static_cast<double>(n));
}

template <PlatformProtocol P>
void EdgeDaemon<P>::connectParts()
{
    m_state.notifyPeers = [this] { sendGossip(); };
    m_state.acquireSlot = [this](const SlotWish &wish) { return m_slots.acquire(wish); };
    m_state.giveBackSlot = [this](const ServiceName &service, const SlotGrant &grant, SlotUse use) {
        m_slots.giveBack(service, grant, use);
    };
    m_state.endpointAnnouncedLeaving = [this](const EndpointIncarnation &leavingEndpoint,
                                              std::optional<Millis> leavesIn) {
        m_leavingNotices.announced(leavingEndpoint, leavesIn);
    };
    m_state.reportLoadChange = [this](const EndpointName &endpoint, bool added,
                                      const EndpointLoad &load) {
        m_loadReports.sendChange(endpoint, added, load);
    };
    m_state.zoneWentOut = [this](const ZoneName &zone) { m_mover.replaceCopiesIn(zone); };
    m_state.sendQuarantineNotice = [this](const QuarantineNotice &notice) {
        m_quarantineNotices.send(notice, true);
    };
    m_state.claimTrial = [this](const QuarantineEntry &entry) { return m_store.claimTrial(entry); };
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleDatagrams()
{
    m_datagrams.setHandler(DatagramKind::Gossip,
                           [this](std::string_view bytes) { return handleGossip(bytes); });
    m_datagrams.setHandler(DatagramKind::StoreUpdate,
                           [this](std::string_view bytes) { return handleStoreUpdate(bytes); });
    m_datagrams.setHandler(DatagramKind::Rollout, [this](std::string_view bytes) {
        return m_rollouts.handleNotice(bytes);
    });
    m_datagrams.setHandler(DatagramKind::Slot,
                           [this](std::string_view bytes) { return m_slots.handle(bytes); });
}

template <PlatformProtocol P>
Result<void> EdgeDaemon<P>::start()
{
    if (Result<void> listening = m_servers.listen(m_datagrams.open()); !listening)
        return listening;
    m_state.members.heartbeat(ServingState::now(), m_self);
    m_store.start();
    m_rollouts.start();
    m_pool->spawn(net::currentWorker(), [this] { tick(); });
    m_pool->spawn(net::currentWorker(), [this] { m_mover.pollEngines(); });
    const NodeSettings &settings = m_state.settings;
    observe::logChange("started",
                       {{"zone", settings.zone.text()},
                        {"front", settings.frontAddress.toString()},
                        {"directory", settings.directoryAddress.toString()},
                        {"store", settings.storeAddress.toString()},
                        {"incarnation", m_self.incarnation.value}});
    return {};
}

template <PlatformProtocol P>
bool EdgeDaemon<P>::ready() const noexcept
{
    return m_state.routes != nullptr && !m_state.stop.hasBegun();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::answerReady(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const int status = !P::isReadyCheck(request) ? 404 : ready() ? 200 : 503;
    static_cast<void>(writer.send({status, {}, {}}));
}

template <PlatformProtocol P>
void EdgeDaemon<P>::answerDirectory(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const std::optional<ZoneName> zone = P::decodeResolution(request);
    if (!zone) {
        static_cast<void>(writer.send({404, {}, {}}));
        return;
    }
    const std::vector<MemberView> members = m_state.members.members(ServingState::now());
    const std::vector<std::string> addresses = resolveEntries(*zone, members);
    const bool known = m_state.routes != nullptr && !addresses.empty();
    const Millis ttl = std::min(directoryTtl, m_state.settings.deploymentLimits.directoryTtlLimit);
    static_cast<void>(
        writer.send(known ? P::encodeResolution(addresses, ttl) : net::HttpResponse {503, {}, {}}));
}

template <PlatformProtocol P>
void EdgeDaemon<P>::answerMetrics(const net::HttpRequest &, net::ResponseWriter &writer)
{
    const double version =
        m_state.routes ? static_cast<double>(m_state.routes->version().value) : 0;
    m_metrics.gauge("fescue_config_version").Set(version);
    m_metrics.gauge("fescue_ready").Set(ready() ? 1 : 0);
    m_metrics.gauge("fescue_open_requests").Set(static_cast<double>(m_state.open));
    m_metrics.gauge("fescue_generations_open").Set(static_cast<double>(m_state.runs.size()));
    m_metrics.gauge("fescue_quarantined_entries")
        .Set(static_cast<double>(m_state.quarantine.activeCount()));
    const net::ByteBudget &bodies = *m_state.bodyBudget;
    m_metrics.gauge("fescue_body_bytes_held").Set(static_cast<double>(bodies.used()));
    m_metrics.gauge("fescue_body_bytes_peak").Set(static_cast<double>(bodies.peak()));
    m_metrics.gauge("fescue_body_bytes_limit").Set(static_cast<double>(bodies.limit()));
    m_metrics.gauge("fescue_bodies_refused").Set(static_cast<double>(bodies.refusals()));
    m_metrics.gauge("fescue_caller_connections")
        .Set(static_cast<double>(m_servers.front().openConnections()));
    m_metrics.gauge("fescue_caller_connections_limit")
        .Set(static_cast<double>(m_state.clientBuffers.callers));
    m_metrics.gauge("fescue_caller_connections_refused")
        .Set(static_cast<double>(m_servers.refusedConnections()));
    m_metrics.gauge("fescue_connections_displaced")
        .Set(static_cast<double>(m_servers.displacedConnections()));
    m_metrics.gauge("fescue_sockets").Set(static_cast<double>(net::openSockets()));
    m_metrics.gauge("fescue_sockets_limit").Set(static_cast<double>(m_state.socketLimits.all));
    m_metrics.gauge("fescue_log_lines_dropped")
        .Set(static_cast<double>(observe::droppedLogLines()));
    m_servers.sendHeld(
        writer, {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.serialize()});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::tick()
{
    repeatUntilStopped(m_state.metrics, "tick", [this] {
        const Millis now = ServingState::now();
        m_servers.logRefusals(now);
        m_state.members.heartbeat(now, m_self);
        expireEndpoints(now);
        m_state.members.purge(now);
        const std::vector<MemberView> members = m_state.members.members(now);
        m_state.coldShares.recordMembers(now, members);
        m_state.updatePaces();
        purgeState(now);
        sendGossip();
        m_loadReports.sendZoneLoads(members);
        m_slots.tick(now);
        m_state.quarantine.purge(now);
        m_quarantineNotices.tick();
        const Millis pause = m_state.isLarge() ? largeTickInterval : tickInterval;
        m_lastTickAt = ServingState::now();
        m_nextTickAt = m_lastTickAt + pause;
        net::sleepFor(pause);
    });
}

template <PlatformProtocol P>
void EdgeDaemon<P>::expireEndpoints(Millis now)
{
    for (const EndpointName &endpoint : m_state.endpoints.tick(now)) {
        observe::logChange("endpoint",
                           {{"endpoint", endpoint.text()},
                            {"state", "leaving"},
                            {"reason", "missing after the store recovered"}});
        m_mover.evacuate(endpoint);
    }
    for (const ZoneName &zone : m_state.endpoints.expireRetainedZoneOrders(now)) {
        observe::logChange(
            "zone-in",
            {{"zone", zone.text()},
             {"reason", "the order was not written again after the store was restored"}});
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::purgeState(Millis now)
{
    m_state.health.purge(now);
    m_state.coldRateLimiter.purge(now);
    for (EndpointPauses *pauses : {&m_state.pauses, &m_state.refusingEndpoints,
                                   &m_state.ownRefusals, &m_state.pressedEndpoints})
        pauses->purge(now);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendGossip()
{
    const std::uint64_t version = m_state.routes ? m_state.routes->version().value : 0;
    const std::string gossip =
        encodeGossip({m_self,
                      {version},
                      m_state.ledger.own(),
                      m_state.ownRetries(),
                      m_state.endpoints.recentLeavingNotices(ServingState::now()),
                      m_state.ownRefusals.paused(ServingState::now()),
                      m_state.prefixes.takeReport(),
                      m_state.accountUse.own(ServingState::now())});
    const std::vector<MemberView> members = m_state.members.members(ServingState::now());
    // In a large system loads are sent within a zone only: entries prefer endpoints of their zone.
    const bool all = !m_state.isLarge();
    std::vector<const MemberView *> receivers;
    for (const MemberView &member : members) {
        if (all || member.info.zone == m_self.zone)
            receivers.push_back(&member);
        else
            m_state.members.stopExpecting(ServingState::now(), member.info.name);
    }
    m_datagrams.send(receivers, DatagramKind::Gossip, gossip);
}

template <PlatformProtocol P>
bool EdgeDaemon<P>::handleStoreUpdate(std::string_view bytes)
{
    const Result<StoreUpdate> update = decodeStoreUpdate(bytes);
    if (update)
        m_store.handleStoreUpdate(*update);
    return update.has_value();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::answerPeer(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.target.starts_with(quarantinePath)) {
        QuarantineAnswer answer = answerQuarantine(m_state.quarantine, request, ServingState::now(),
                                                   Millis {observe::wallMillisNow()});
        if (!answer.released.empty())
            m_quarantineNotices.send({.entries = std::move(answer.released)}, true);
        static_cast<void>(writer.send(answer.response));
        return;
    }
    if (request.target != storeCopyPath) {
        static_cast<void>(writer.send({404, {}, {}}));
        return;
    }
    const std::optional<std::uint64_t> revision =
        parseNumber<std::uint64_t>(request.queryValue("after").value_or(std::string()));
    // Processes of earlier releases send no era.
    const std::optional<std::uint64_t> era =
        parseNumber<std::uint64_t>(request.queryValue("era").value_or("0"));
    if (!revision || !era) {
        static_cast<void>(writer.send({400, {}, {}}));
        return;
    }
    const CopyScope scope =
        request.queryValue("part") == std::string("held") ? CopyScope::Retained : CopyScope::All;
    m_servers.sendHeld(writer, {200, {}, encodeCopy(m_store.copy({*revision, *era}, scope))});
}

template <PlatformProtocol P>
bool EdgeDaemon<P>::handleGossip(std::string_view bytes)
{
    const Result<Gossip> gossip = decodeGossip(bytes);
    if (!gossip)
        return false;
    const Millis now = ServingState::now();
    if (!m_state.members.heartbeat(now, gossip->member)) {
        m_datagramsFromTooMany.Increment();
        return true;
    }
    m_state.ledger.peerReported(now, gossip->member.name, gossip->loads);
    m_state.accountUse.peerReported(now, gossip->member.name, gossip->accountUse);
    for (const ServiceRetries &retries : gossip->retries) {
        if (m_state.routes != nullptr && m_state.routes->findService(retries.service) != nullptr)
            m_state.retryBudgetOf(retries.service)
                .peerReported(now, gossip->member.name, retries.used);
    }
    m_state.prefixes.peerReported(now, gossip->prefixReads);
    for (const EndpointIncarnation &endpoint : gossip->refusingEndpoints) {
        if (m_state.endpoints.find(endpoint.endpoint) != nullptr)
            m_state.recordPeerRefusal(endpoint);
    }
    m_store.handlePeerConfigVersion(gossip->member.name, gossip->configVersion);
    m_leavingNotices.apply(gossip->leaving, std::nullopt, gossip->member.name.text());
    return true;
}

template <PlatformProtocol P>
Millis EdgeDaemon<P>::earliestSignalTime(Millis now) const noexcept
{
    const bool wasPaused = m_nextTickAt > Millis {0} && now > m_nextTickAt + pauseTolerance;
    return wasPaused ? m_lastTickAt : now;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::drain(Millis signalledAt)
{
    StopPlan &plan = m_state.stop;
    plan.begin(signalledAt, m_state.settings.deploymentLimits.stopGrace);
    m_self.leaving = true;
    m_state.members.heartbeat(ServingState::now(), m_self);
    observe::logChange("stopping",
                       {{"open", m_state.open},
                        {"runs", m_state.runs.size()},
                        {"delay_ms", (ServingState::now() - signalledAt).count},
                        {"ends_in_ms", (plan.endAt() - ServingState::now()).count}});
    m_servers.front().closeAfterAnswers();
    sendGossip();
    // On a fiber of its own: a store that does not answer must not delay the stop.
    m_pool->spawn(net::currentWorker(), [this] { m_store.announceLeaving(); });
    const net::HttpServer &front = m_servers.front();
    while (!plan.mayClose(ServingState::now(), m_state.open + front.partialRequests()))
        net::sleepFor(drainPollInterval);
    closeFront();
    observe::logChange("stopped",
                       {{"open", m_state.open},
                        {"partial", front.partialRequests()},
                        {"took_ms", (ServingState::now() - signalledAt).count}});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::closeFront()
{
    m_state.stop.close();
    net::HttpServer &front = m_servers.front();
    front.stopAccepting();
    front.refusePartialRequests({503, ResultCode::ShuttingDown, RunState::NotRun,
                                 "this entry is shutting down", minRetryDelayAtStop});
    // Requests that were in the kernel's buffers are answered as well.
    net::sleepFor(settleTime);
    const Millis until = m_state.stop.endAt();
    while (ServingState::now() < until && front.activeRequests() + front.partialRequests() > 0)
        net::sleepFor(drainPollInterval);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::reload(const NodeSettings &settings, std::string_view reason)
{
    const bool moved = settings.frontAddress != m_state.settings.frontAddress
        || settings.storeAddress != m_state.settings.storeAddress
        || settings.zone != m_state.settings.zone;
    m_state.settings.deploymentLimits = settings.deploymentLimits;
    observe::logChange("reloaded", {{"trigger", reason}, {"needs_restart", moved ? "yes" : "no"}});
}

} // namespace fescue::serving
