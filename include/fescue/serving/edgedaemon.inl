#pragma once

#include "fescue/core/parsenumber.h"
#include "fescue/net/opensockets.h"
#include "fescue/observe/log.h"
#include "fescue/observe/timeline.h"
#include "fescue/serving/descriptorshare.h"
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
// First bytes of the datagrams between entry processes; they identify the kind of message.
inline const std::string gossipKind = "G";
inline const std::string storeUpdateKind = "N";
inline const std::string leavingKind = "L";
inline const std::string zoneLoadsKind = "Z";
inline const std::string quarantineKind = "Q";
inline const std::string loadChangeKind = "C";
inline const std::string rolloutKind = "R";
inline const std::string slotKind = "S";
// Number of ticks with which a notice about crashes and quarantined parts is sent again.
inline constexpr int quarantineRepeats = 2;
// Number of ticks between two messages with all quarantine entries.
inline constexpr std::uint64_t ticksPerQuarantineSync = 4;
// Memory for the requests at the address of readiness.
inline constexpr std::size_t readyRequestBytes = std::size_t {1024} * 1024;
// Longest body of a request to an address that does not forward. No request there needs more.
inline constexpr std::uint64_t maxSideBodyBytes = std::uint64_t {64} * 1024;
// Shortest time between two log lines about callers that were refused for want of room.
inline constexpr Millis refusalLogInterval = 1_s;
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
      m_state(std::move(settings), pool, m_metrics), m_mover(m_state), m_handler(m_state, m_mover),
      m_store(m_state, m_self,
              {[this] { applyLimits(); },
               [this](const EndpointName &endpoint) { m_mover.evacuate(endpoint); },
               [this](std::span<const MemberView *const> to, std::string_view bytes) {
                   sendStoreUpdate(to, bytes);
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
               sendTo(member, rolloutKind + std::string(bytes));
           },
           [this](const std::string &key, const std::string &value, net::StoreRevision expected) {
               return m_store.writeRollout(key, value, expected);
           },
           [this] { return m_store.isRejected(); }}),
      m_gossip(pool.context(0), [this](std::string_view bytes) { handleDatagram(bytes); }),
      m_slots(m_state, incarnation, [this](const MemberName &to, const std::string &bytes) {
          return sendSlotMessage(to, bytes);
      })
{ }

template <PlatformProtocol P>
net::HttpServer &EdgeDaemon<P>::addServer(const net::Address &address,
                                          net::HttpServer::Handler handler)
{
    m_servers.push_back(
        std::make_unique<net::HttpServer>(*m_pool, address, sideLimits(), std::move(handler)));
    m_notListening.push_back(m_servers.back().get());
    return *m_servers.back();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::addServers()
{
    using Request = net::HttpRequest;
    using Writer = net::ResponseWriter;
    const NodeSettings &settings = m_state.settings;
    net::HttpServer &ready =
        addServer(settings.readyAddress,
                  [this](const Request &request, Writer &writer) { answerReady(request, writer); });
    // Callers that use up the memory for requests must not make this process look unready.
    net::ServerLimits readyLimits = sideLimits();
    readyLimits.bodyBudget = std::make_shared<net::ByteBudget>(readyRequestBytes);
    ready.setLimits(readyLimits);
    static_cast<void>(
        addServer(settings.metricsAddress, [this](const Request &request, Writer &writer) {
            answerMetrics(request, writer);
        }));
    static_cast<void>(
        addServer(settings.directoryAddress, [this](const Request &request, Writer &writer) {
            answerDirectory(request, writer);
        }));
    static_cast<void>(
        addServer(settings.peerAddress,
                  [this](const Request &request, Writer &writer) { answerPeer(request, writer); }));
    m_front = &addServer(settings.frontAddress, [this](const Request &request, Writer &writer) {
        m_handler.handle(request, writer);
    });
    m_front->setLimits(frontLimits({}));
}

template <PlatformProtocol P>
Result<void> EdgeDaemon<P>::listen()
{
    if (m_servers.empty())
        addServers();
    Result<void> outcome;
    if (!m_gossipOpen) {
        outcome = m_gossip.open(m_state.settings.peerAddress);
        m_gossipOpen = outcome.has_value();
    }
    std::vector<net::HttpServer *> failed;
    for (net::HttpServer *server : m_notListening) {
        const bool mustWait = server == m_front && !outcome;
        const Result<void> started = mustWait ? outcome : server->start();
        if (started)
            continue;
        failed.push_back(server);
        if (outcome)
            outcome = started;
    }
    m_notListening = std::move(failed);
    return outcome;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::stopListening()
{
    m_front = nullptr;
    m_notListening.clear();
    m_servers.clear();
    m_gossip.close();
    m_gossipOpen = false;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::countStartWaits(std::string_view missing, std::uint64_t n)
{
    m_metrics.counter("fescue_start_waits_total", {{"for", std::string(missing)}})
        .Increment(static_cast<double>(n));
}

template <PlatformProtocol P>
Result<void> EdgeDaemon<P>::start()
{
    const NodeSettings &settings = m_state.settings;
    if (Result<void> listening = listen(); !listening)
        return listening;
    m_state.members.heartbeat(ServingState::now(), m_self);
    m_state.notifyPeers = [this] { sendGossip(); };
    m_state.acquireSlot = [this](const SlotWish &wish) { return m_slots.acquire(wish); };
    m_state.giveBackSlot = [this](const ServiceName &service, const SlotGrant &grant, SlotUse use) {
        m_slots.giveBack(service, grant, use);
    };
    m_state.endpointAnnouncedLeaving = [this](const EndpointIncarnation &leavingEndpoint,
                                              std::optional<Millis> leavesIn) {
        endpointAnnouncedLeaving(leavingEndpoint, leavesIn);
    };
    m_state.reportLoadChange = [this](const EndpointName &endpoint, bool added,
                                      const EndpointLoad &load) {
        sendLoadChange(endpoint, added, load);
    };
    m_state.zoneWentOut = [this](const ZoneName &zone) { m_mover.replaceCopiesIn(zone); };
    m_state.sendQuarantineNotice = [this](const QuarantineNotice &notice) {
        sendQuarantineNotice(notice, true);
    };
    m_state.claimTrial = [this](const QuarantineEntry &entry) { return m_store.claimTrial(entry); };
    m_store.start();
    m_rollouts.start();
    m_pool->spawn(net::currentWorker(), [this] { tick(); });
    m_pool->spawn(net::currentWorker(), [this] { m_mover.pollEngines(); });
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
        .Set(static_cast<double>(m_front->openConnections()));
    m_metrics.gauge("fescue_caller_connections_limit")
        .Set(static_cast<double>(m_state.clientBuffers.callers));
    m_metrics.gauge("fescue_caller_connections_refused")
        .Set(static_cast<double>(refusedConnections()));
    m_metrics.gauge("fescue_connections_displaced")
        .Set(static_cast<double>(displacedConnections()));
    m_metrics.gauge("fescue_sockets").Set(static_cast<double>(net::openSockets()));
    m_metrics.gauge("fescue_sockets_limit").Set(static_cast<double>(m_state.socketLimits.all));
    m_metrics.gauge("fescue_log_lines_dropped")
        .Set(static_cast<double>(observe::droppedLogLines()));
    sendHeld(writer, {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.serialize()});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::applyLimits()
{
    m_front->setLimits(frontLimits(m_state.routes->config().limits));
}

template <PlatformProtocol P>
std::uint64_t EdgeDaemon<P>::refusedConnections() const
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<net::HttpServer> &server : m_servers)
        sum += server->refusedConnections();
    return sum;
}

template <PlatformProtocol P>
std::uint64_t EdgeDaemon<P>::displacedConnections() const
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<net::HttpServer> &server : m_servers)
        sum += server->displacedConnections();
    return sum;
}

template <PlatformProtocol P>
net::ServerLimits EdgeDaemon<P>::sideLimits() const
{
    net::ServerLimits server;
    server.maxConnections = sideConnections(m_state.settings.maxDescriptors, openFileLimit());
    server.maxProcessSockets = m_state.socketLimits.all;
    server.bodyBudget = m_state.bodyBudget;
    server.maxBodyBytes = maxSideBodyBytes;
    const ClientBuffers &buffers = m_state.clientBuffers;
    server.receiveBufferBytes = buffers.sideBytes;
    server.backlog = buffers.backlog;
    return server;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendHeld(net::ResponseWriter &writer, const net::HttpResponse &answer)
{
    net::ByteReservation memory(*m_state.bodyBudget);
    if (memory.reserve(answer.body.size())) {
        static_cast<void>(writer.send(answer));
        return;
    }
    m_state.bodyBudget->countRefusal();
    static_cast<void>(writer.send({503, {}, {}}));
}

template <PlatformProtocol P>
net::ServerLimits EdgeDaemon<P>::frontLimits(const CallerLimits &limits) const
{
    net::ServerLimits server;
    const ClientBuffers &buffers = m_state.clientBuffers;
    server.maxConnections = buffers.callers;
    server.receiveBufferBytes = buffers.frontBytes;
    server.backlog = buffers.backlog;
    server.maxProcessSockets = m_state.socketLimits.callers;
    server.bodyBudget = m_state.bodyBudget;
    server.maxHeadBytes = limits.maxHeadBytes;
    server.maxBodyBytes = limits.maxBodyBytes;
    server.idleTimeout = limits.idleTimeout;
    server.headTimeout = limits.headTimeout;
    return server;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::logRefusals(Millis now)
{
    const net::ByteBudget &bodies = *m_state.bodyBudget;
    const std::uint64_t bodiesRefused = bodies.refusals();
    const std::uint64_t callersRefused = refusedConnections();
    const std::uint64_t displaced = displacedConnections();
    const bool isNew = bodiesRefused != m_bodiesRefused || callersRefused != m_callersRefused
        || displaced != m_displaced;
    if (!isNew || now - m_refusalsLoggedAt < refusalLogInterval)
        return;
    m_refusalsLoggedAt = now;
    observe::logChange("no-room",
                       {{"bodies_refused", bodiesRefused - m_bodiesRefused},
                        {"body_bytes", bodies.used()},
                        {"body_bytes_peak", bodies.peak()},
                        {"body_bytes_limit", bodies.limit()},
                        {"callers_refused", callersRefused - m_callersRefused},
                        {"displaced", displaced - m_displaced},
                        {"connections", m_front->openConnections()},
                        {"sockets", net::openSockets()}});
    m_bodiesRefused = bodiesRefused;
    m_callersRefused = callersRefused;
    m_displaced = displaced;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::tick()
{
    repeatUntilStopped(m_state.metrics, "tick", [this] {
        const Millis now = ServingState::now();
        logRefusals(now);
        m_state.members.heartbeat(now, m_self);
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
        m_state.members.purge(now);
        const std::vector<MemberView> members = m_state.members.members(now);
        m_state.coldShares.recordMembers(now, members);
        m_state.updatePaces();
        m_state.health.purge(now);
        m_state.coldRateLimiter.purge(now);
        for (EndpointPauses *pauses : {&m_state.pauses, &m_state.refusingEndpoints,
                                       &m_state.ownRefusals, &m_state.pressedEndpoints})
            pauses->purge(now);
        sendGossip();
        sendZoneLoads(members);
        m_slots.tick(now);
        m_state.quarantine.purge(now);
        repeatQuarantineNotices();
        const Millis pause = m_state.isLarge() ? largeTickInterval : tickInterval;
        m_lastTickAt = ServingState::now();
        m_nextTickAt = m_lastTickAt + pause;
        net::sleepFor(pause);
    });
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendGossip()
{
    const std::uint64_t version = m_state.routes ? m_state.routes->version().value : 0;
    const std::string datagram = gossipKind
        + encodeGossip({m_self,
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
    for (const MemberView &member : members) {
        if (all || member.info.zone == m_self.zone)
            sendTo(member.info, datagram);
        else
            m_state.members.stopExpecting(ServingState::now(), member.info.name);
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendStoreUpdate(std::span<const MemberView *const> to, std::string_view bytes)
{
    const std::string datagram = storeUpdateKind + std::string(bytes);
    for (const MemberView *member : to)
        sendTo(member->info, datagram);
}

template <PlatformProtocol P>
bool EdgeDaemon<P>::sendTo(const MemberInfo &member, const std::string &datagram)
{
    if (member.name == m_self.name)
        return false;
    const Result<net::Address> address = net::parseAddress(member.peerAddress);
    const bool sent = address && m_gossip.send(*address, datagram);
    (sent ? m_datagramsSent : m_datagramsNotSent).Increment();
    return sent;
}

template <PlatformProtocol P>
bool EdgeDaemon<P>::sendSlotMessage(const MemberName &to, const std::string &bytes)
{
    const MemberInfo *member = m_state.members.find(ServingState::now(), to);
    return member != nullptr && sendTo(*member, slotKind + bytes);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleSlotMessage(std::string_view bytes)
{
    if (!m_slots.handle(bytes))
        m_datagramsMalformed.Increment();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleDatagram(std::string_view bytes)
{
    if (bytes.starts_with(gossipKind))
        handleGossip(bytes.substr(gossipKind.size()));
    else if (bytes.starts_with(storeUpdateKind))
        handleStoreUpdate(bytes.substr(storeUpdateKind.size()));
    else if (bytes.starts_with(leavingKind))
        handleLeavingNotice(bytes.substr(leavingKind.size()));
    else if (bytes.starts_with(zoneLoadsKind))
        handleZoneLoads(bytes.substr(zoneLoadsKind.size()));
    else if (bytes.starts_with(loadChangeKind))
        handleLoadChange(bytes.substr(loadChangeKind.size()));
    else if (bytes.starts_with(quarantineKind))
        handleQuarantineNotice(bytes.substr(quarantineKind.size()));
    else if (bytes.starts_with(slotKind))
        handleSlotMessage(bytes.substr(slotKind.size()));
    else if (bytes.starts_with(rolloutKind)) {
        if (!m_rollouts.handleNotice(bytes.substr(rolloutKind.size())))
            m_datagramsMalformed.Increment();
    } else
        m_datagramsMalformed.Increment();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::endpointAnnouncedLeaving(const EndpointIncarnation &leavingEndpoint,
                                             std::optional<Millis> leavesIn)
{
    m_mover.evacuate(leavingEndpoint.endpoint, leavesIn);
    sendLeavingNotice({leavingEndpoint}, leavesIn, true);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendLeavingNotice(std::vector<EndpointIncarnation> leavingEndpoints,
                                      std::optional<Millis> leavesIn, bool toOtherZones)
{
    const std::string datagram =
        leavingKind + encodeLeavingNotice({m_self.zone, std::move(leavingEndpoints), leavesIn});
    const std::vector<MemberView> members = m_state.members.members(ServingState::now());
    const bool all = !m_state.isLarge();
    const std::set<MemberName> relays =
        !all && toOtherZones ? FeedPolicy::relays(m_self.name, members) : std::set<MemberName>();
    for (const MemberView &member : members) {
        const bool sameZone = member.info.zone == m_self.zone;
        if (all || sameZone || relays.contains(member.info.name))
            sendTo(member.info, datagram);
    }
}

template <PlatformProtocol P>
std::vector<EndpointIncarnation>
EdgeDaemon<P>::applyLeavingNotices(std::span<const EndpointIncarnation> notices,
                                   std::optional<Millis> leavesIn, std::string_view from)
{
    std::vector<EndpointIncarnation> newNotices;
    for (const EndpointIncarnation &notice : notices) {
        if (!m_state.endpoints.announcedLeaving(ServingState::now(), notice))
            continue;
        observe::logChange("endpoint",
                           {{"endpoint", notice.endpoint.text()},
                            {"state", "leaving"},
                            {"peer", from},
                            {"reason", "announced to a peer"}});
        m_mover.evacuate(notice.endpoint, leavesIn);
        newNotices.push_back(notice);
    }
    return newNotices;
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleLeavingNotice(std::string_view bytes)
{
    const Result<LeavingNotice> received = decodeLeavingNotice(bytes);
    if (!received) {
        m_datagramsMalformed.Increment();
        return;
    }
    std::vector<EndpointIncarnation> newNotices =
        applyLeavingNotices(received->endpoints, received->leavesIn, received->fromZone.text());
    // In a large system only the relays of a zone receive notices from other zones, so they forward
    // them.
    if (!newNotices.empty() && received->fromZone != m_self.zone && m_state.isLarge())
        sendLeavingNotice(std::move(newNotices), received->leavesIn, false);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendLoadChange(const EndpointName &endpoint, bool added,
                                   const EndpointLoad &load)
{
    if (!m_state.reportsLoadChanges())
        return;
    const std::string datagram =
        loadChangeKind + encodeLoadChange({m_self.name, m_self.zone, endpoint, added, load});
    for (const MemberView &member : m_state.members.members(ServingState::now())) {
        // The processes of this zone receive new load with the gossip.
        if (!added || member.info.zone != m_self.zone)
            sendTo(member.info, datagram);
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleLoadChange(std::string_view bytes)
{
    const Result<LoadChange> change = decodeLoadChange(bytes);
    if (!change) {
        m_datagramsMalformed.Increment();
        return;
    }
    if (change->fromZone != m_self.zone) {
        if (!m_state.ledger.zoneChanged(ServingState::now(), *change))
            m_loadsBeyondBounds.Increment();
    } else if (!change->added) {
        m_state.ledger.peerRemoved(change->from, change->endpoint, change->load);
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendZoneLoads(std::span<const MemberView> members)
{
    if (!m_state.isLarge())
        return;
    const std::set<MemberName> relays = FeedPolicy::relays(m_self.name, members);
    if (!relays.contains(m_self.name))
        return;
    const Millis now = ServingState::now();
    const ZoneLoads sum {m_self.zone, Millis {0}, m_state.ledger.sum(now)};
    const std::vector<std::string> toOthers = encodeZoneLoads({&sum, 1});
    const std::vector<std::string> toZone = encodeZoneLoads(m_state.ledger.zones(now));
    for (const MemberView &member : members) {
        const bool sameZone = member.info.zone == m_self.zone;
        if (!sameZone && !relays.contains(member.info.name))
            continue;
        for (const std::string &text : sameZone ? toZone : toOthers)
            sendTo(member.info, zoneLoadsKind + text);
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleZoneLoads(std::string_view bytes)
{
    const Result<ZoneLoads> received = decodeZoneLoads(bytes);
    if (!received) {
        m_datagramsMalformed.Increment();
        return;
    }
    // The processes of this zone report their loads directly.
    if (received->zone != m_self.zone
        && !m_state.ledger.zoneReported(ServingState::now(), received->zone, received->age,
                                        received->loads))
        m_loadsBeyondBounds.Increment();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendQuarantineNotice(const QuarantineNotice &notice, bool toOtherZones)
{
    sendQuarantineDatagrams(notice, toOtherZones);
    m_repeatedNotices.push_back({notice, toOtherZones, quarantineRepeats});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::sendQuarantineDatagrams(const QuarantineNotice &notice, bool toOtherZones)
{
    QuarantineNotice own = notice;
    own.fromZone = m_self.zone;
    const std::vector<std::string> messages = encodeQuarantineNotice(own, ServingState::now());
    const std::vector<MemberView> members = m_state.members.members(ServingState::now());
    const bool all = !m_state.isLarge();
    const std::set<MemberName> relays =
        !all && toOtherZones ? FeedPolicy::relays(m_self.name, members) : std::set<MemberName>();
    for (const MemberView &member : members) {
        const bool sameZone = member.info.zone == m_self.zone;
        if (!all && !sameZone && !relays.contains(member.info.name))
            continue;
        for (const std::string &message : messages)
            sendTo(member.info, quarantineKind + message);
    }
}

template <PlatformProtocol P>
void EdgeDaemon<P>::repeatQuarantineNotices()
{
    for (RepeatedNotice &repeated : m_repeatedNotices) {
        --repeated.repeatsLeft;
        sendQuarantineDatagrams(repeated.notice, repeated.toOtherZones);
    }
    std::erase_if(m_repeatedNotices,
                  [](const RepeatedNotice &repeated) { return repeated.repeatsLeft <= 0; });
    const bool isSyncDue = ++m_ticks % ticksPerQuarantineSync == 0;
    QuarantineNotice all;
    if (isSyncDue)
        all.entries = m_state.quarantine.entries();
    if (!all.empty())
        sendQuarantineDatagrams(all, false);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleQuarantineNotice(std::string_view bytes)
{
    const Result<QuarantineNotice> received = decodeQuarantineNotice(bytes, ServingState::now());
    if (!received) {
        m_datagramsMalformed.Increment();
        return;
    }
    const QuarantineNotice news = m_handler.guard().handleNotice(*received);
    // In a large system only the relays of a zone receive notices from other zones, so they forward
    // them.
    if (!news.empty() && received->fromZone != m_self.zone && m_state.isLarge())
        sendQuarantineNotice(news, false);
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleStoreUpdate(std::string_view bytes)
{
    const Result<StoreUpdate> update = decodeStoreUpdate(bytes);
    if (update)
        m_store.handleStoreUpdate(*update);
    else
        m_datagramsMalformed.Increment();
}

template <PlatformProtocol P>
void EdgeDaemon<P>::answerPeer(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.target.starts_with(quarantinePath)) {
        QuarantineAnswer answer = answerQuarantine(m_state.quarantine, request, ServingState::now(),
                                                   Millis {observe::wallMillisNow()});
        if (!answer.released.empty())
            sendQuarantineNotice({.entries = std::move(answer.released)}, true);
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
    sendHeld(writer, {200, {}, encodeCopy(m_store.copy({*revision, *era}, scope))});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::handleGossip(std::string_view bytes)
{
    const Result<Gossip> gossip = decodeGossip(bytes);
    if (!gossip) {
        m_datagramsMalformed.Increment();
        return;
    }
    const Millis now = ServingState::now();
    if (!m_state.members.heartbeat(now, gossip->member)) {
        m_datagramsFromTooMany.Increment();
        return;
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
    static_cast<void>(
        applyLeavingNotices(gossip->leaving, std::nullopt, gossip->member.name.text()));
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
    m_front->closeAfterAnswers();
    sendGossip();
    // On a fiber of its own: a store that does not answer must not delay the stop.
    m_pool->spawn(net::currentWorker(), [this] { m_store.announceLeaving(); });
    while (!plan.mayClose(ServingState::now(), m_state.open + m_front->partialRequests()))
        net::sleepFor(drainPollInterval);
    closeFront();
    observe::logChange("stopped",
                       {{"open", m_state.open},
                        {"partial", m_front->partialRequests()},
                        {"took_ms", (ServingState::now() - signalledAt).count}});
}

template <PlatformProtocol P>
void EdgeDaemon<P>::closeFront()
{
    m_state.stop.close();
    m_front->stopAccepting();
    m_front->refusePartialRequests({503, ResultCode::ShuttingDown, RunState::NotRun,
                                    "this entry is shutting down", minRetryDelayAtStop});
    // Requests that were in the kernel's buffers are answered as well.
    net::sleepFor(settleTime);
    const Millis until = m_state.stop.endAt();
    while (ServingState::now() < until
           && m_front->activeRequests() + m_front->partialRequests() > 0)
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
