#include "fescue/serving/edgeservers.h"

#include "fescue/net/opensockets.h"
#include "fescue/observe/log.h"
#include "fescue/serving/descriptorshare.h"

namespace fescue::serving {

namespace {

// Memory for the requests at the address of readiness.
constexpr std::size_t readyRequestBytes = std::size_t {1024} * 1024;
// Longest body of a request to an address that does not forward. No request there needs more.
constexpr std::uint64_t maxSideBodyBytes = std::uint64_t {64} * 1024;
// Shortest time between two log lines about callers that were refused for want of room.
constexpr Millis refusalLogInterval = 1_s;

} // namespace

EdgeServers::EdgeServers(net::WorkerPool &pool, ServingState &state, Handlers handlers)
    : m_pool(&pool), m_state(&state), m_handlers(std::move(handlers))
{ }

net::HttpServer &EdgeServers::addServer(const net::Address &address,
                                        const net::HttpServer::Handler &handler)
{
    m_servers.push_back(std::make_unique<net::HttpServer>(*m_pool, address, sideLimits(), handler));
    m_notListening.push_back(m_servers.back().get());
    return *m_servers.back();
}

void EdgeServers::addServers()
{
    const NodeSettings &settings = m_state->settings;
    net::HttpServer &ready = addServer(settings.readyAddress, m_handlers.ready);
    // Callers that use up the memory for requests must not make this process look unready.
    net::ServerLimits readyLimits = sideLimits();
    readyLimits.bodyBudget = std::make_shared<net::ByteBudget>(readyRequestBytes);
    ready.setLimits(readyLimits);
    static_cast<void>(addServer(settings.metricsAddress, m_handlers.metrics));
    static_cast<void>(addServer(settings.directoryAddress, m_handlers.directory));
    static_cast<void>(addServer(settings.peerAddress, m_handlers.peer));
    m_front = &addServer(settings.frontAddress, m_handlers.front);
    setCallerLimits({});
}

Result<void> EdgeServers::listen(Result<void> others)
{
    if (m_servers.empty())
        addServers();
    Result<void> outcome = std::move(others);
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

void EdgeServers::close()
{
    m_front = nullptr;
    m_notListening.clear();
    m_servers.clear();
}

void EdgeServers::setCallerLimits(const CallerLimits &limits)
{
    m_front->setLimits(frontLimits(limits));
}

std::uint64_t EdgeServers::refusedConnections() const
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<net::HttpServer> &server : m_servers)
        sum += server->refusedConnections();
    return sum;
}

std::uint64_t EdgeServers::displacedConnections() const
{
    std::uint64_t sum = 0;
    for (const std::unique_ptr<net::HttpServer> &server : m_servers)
        sum += server->displacedConnections();
    return sum;
}

net::ServerLimits EdgeServers::sideLimits() const
{
    net::ServerLimits server;
    server.maxConnections = sideConnections(m_state->settings.maxDescriptors, openFileLimit());
    server.maxProcessSockets = m_state->socketLimits.all;
    server.bodyBudget = m_state->bodyBudget;
    server.maxBodyBytes = maxSideBodyBytes;
    const ClientBuffers &buffers = m_state->clientBuffers;
    server.receiveBufferBytes = buffers.sideBytes;
    server.backlog = buffers.backlog;
    return server;
}

net::ServerLimits EdgeServers::frontLimits(const CallerLimits &limits) const
{
    net::ServerLimits server;
    const ClientBuffers &buffers = m_state->clientBuffers;
    server.maxConnections = buffers.callers;
    server.receiveBufferBytes = buffers.frontBytes;
    server.backlog = buffers.backlog;
    server.maxProcessSockets = m_state->socketLimits.callers;
    server.bodyBudget = m_state->bodyBudget;
    server.maxHeadBytes = limits.maxHeadBytes;
    server.maxBodyBytes = limits.maxBodyBytes;
    server.idleTimeout = limits.idleTimeout;
    server.headTimeout = limits.headTimeout;
    return server;
}

void EdgeServers::sendHeld(net::ResponseWriter &writer, const net::HttpResponse &answer)
{
    net::ByteReservation memory(*m_state->bodyBudget);
    if (memory.reserve(answer.body.size())) {
        static_cast<void>(writer.send(answer));
        return;
    }
    m_state->bodyBudget->countRefusal();
    static_cast<void>(writer.send({503, {}, {}}));
}

void EdgeServers::logRefusals(Millis now)
{
    const net::ByteBudget &bodies = *m_state->bodyBudget;
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

} // namespace fescue::serving
