#pragma once

#include "fescue/net/httpserver.h"
#include "fescue/serving/servingstate.h"

#include <memory>
#include <vector>

namespace fescue::serving {

// The HTTP servers of an entry process, one for each of its addresses.
class EdgeServers
{
public:
    struct Handlers
    {
        net::HttpServer::Handler ready;
        net::HttpServer::Handler metrics;
        net::HttpServer::Handler directory;
        net::HttpServer::Handler peer;
        // Requests to forward.
        net::HttpServer::Handler front;
    };

    EdgeServers(net::WorkerPool &pool, ServingState &state, Handlers handlers);

    // Binds the addresses that are not bound yet. The front is the last, so that callers reach only
    // a process that has all others; it is not bound if `others` failed. Returns the first failure.
    [[nodiscard]] Result<void> listen(Result<void> others);
    void close();
    // The server for callers. Must not be called before listen().
    [[nodiscard]] net::HttpServer &front() noexcept { return *m_front; }
    void setCallerLimits(const CallerLimits &limits);
    // Sends an answer whose body counts as held until the caller has taken it.
    void sendHeld(net::ResponseWriter &writer, const net::HttpResponse &answer);
    // Connections that were refused, and that had to make room, at all addresses.
    [[nodiscard]] std::uint64_t refusedConnections() const;
    [[nodiscard]] std::uint64_t displacedConnections() const;
    // Logs from time to time how many callers were refused for want of memory or descriptors.
    void logRefusals(Millis now);

private:
    void addServers();
    [[nodiscard]] net::HttpServer &addServer(const net::Address &address,
                                             const net::HttpServer::Handler &handler);
    // Returns the limits of the servers that forward nothing.
    [[nodiscard]] net::ServerLimits sideLimits() const;
    // Returns the limits of the server for callers.
    [[nodiscard]] net::ServerLimits frontLimits(const CallerLimits &limits) const;

    net::WorkerPool *m_pool;
    ServingState *m_state;
    Handlers m_handlers;
    std::vector<std::unique_ptr<net::HttpServer>> m_servers;
    net::HttpServer *m_front = nullptr;
    // Servers whose addresses are not bound yet, the front last.
    std::vector<net::HttpServer *> m_notListening;
    // Refusals for want of room that have been logged.
    std::uint64_t m_bodiesRefused = 0;
    std::uint64_t m_callersRefused = 0;
    std::uint64_t m_displaced = 0;
    Millis m_refusalsLoggedAt {0};
};

} // namespace fescue::serving
