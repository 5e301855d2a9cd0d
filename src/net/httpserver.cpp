#include "fescue/net/httpserver.h"

#include "net/serverconnection.h"

#include <atomic>
#include <cstdio>
#include <mutex>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

namespace fescue::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Pause after accepting failed, for example because the process has no free descriptors.
constexpr Millis acceptPause = 20_ms;
// How long a refused connection may take to end. Short, since it holds a descriptor.
constexpr Millis refusedTime = 100_ms;
// Beyond their limit, connections are accepted only to be refused: at most the limit divided by
// this at a time. The others wait in the kernel's queue.
constexpr std::size_t refusingDivisor = 8;

} // namespace

// What the fibers of a server use; lives as long as the last of them.
struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared>
{
    Shared(WorkerPool &workerPool, Address listenAddress, ServerLimits serverLimits,
           Handler requestHandler)
        : pool(workerPool), listen(std::move(listenAddress)), limits(std::move(serverLimits)),
          handler(std::move(requestHandler)), acceptor(workerPool.context(0)),
          connections(workerPool.size())
    { }

    Result<void> bind();
    void acceptAll();
    // Hands over the connections that the kernel has set up already, and closes the listener.
    void closeAcceptor();
    void dispatch(tcp::socket socket, std::size_t worker);
    void serve(tcp::socket socket);
    void serveRequests(ServerConnection &connection);
    void runHandler(const HttpRequest &request, ServerConnection &connection);
    void refuseConnection(ServerConnection &connection);
    [[nodiscard]] bool mayAccept() const;
    [[nodiscard]] ServerLimits currentLimits() const;
    [[nodiscard]] bool keepsConnections() const noexcept { return accepting && !lastAnswers; }

    WorkerPool &pool;
    Address listen;
    // Guards limits.
    mutable std::mutex limitsMutex;
    ServerLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> accepting {false};
    std::atomic<bool> lastAnswers {false};
    std::atomic<std::size_t> open {0};
    std::atomic<std::size_t> active {0};
    std::atomic<std::uint64_t> refused {0};
    // By worker; each set is used by its worker only.
    std::vector<std::unordered_set<ServerConnection *>> connections;
};

Result<void> HttpServer::Shared::bind()
{
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(listen.ip, ec);
    if (ec)
        return fail(ResultCode::SettingsInvalid, "\"" + listen.ip + "\" is not an IP number");
    const tcp::endpoint local(ip, listen.port);
    acceptor.open(local.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(local, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec == asio::error::address_in_use) {
        return fail(ResultCode::AddressInUse,
                    "another process listens on " + listen.toString()
                        + "; stop it or choose another port");
    }
    if (ec) {
        return fail(ResultCode::SettingsInvalid,
                    "cannot listen on " + listen.toString() + ": " + ec.message());
    }
    listen.port = acceptor.local_endpoint(ec).port();
    accepting = true;
    return {};
}

void HttpServer::Shared::acceptAll()
{
    std::size_t worker = 0;
    while (accepting) {
        if (!mayAccept()) {
            sleepFor(acceptPause);
            continue;
        }
        worker = (worker + 1) % pool.size();
        tcp::socket socket(pool.context(worker));
        const IoOutcome outcome = awaitIo(acceptor, noDeadline, [this, &socket](auto done) {
            acceptor.async_accept(socket, done);
        });
        if (outcome.ok())
            dispatch(std::move(socket), worker);
        else if (accepting)
            sleepFor(acceptPause);
    }
}

void HttpServer::Shared::closeAcceptor()
{
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    for (std::size_t i = 0; !ec; ++i) {
        const std::size_t worker = i % pool.size();
        tcp::socket socket(pool.context(worker));
        acceptor.accept(socket, ec);
        if (!ec)
            dispatch(std::move(socket), worker);
    }
    acceptor.close(ec);
}

void HttpServer::Shared::dispatch(tcp::socket socket, std::size_t worker)
{
    const std::shared_ptr<tcp::socket> accepted = std::make_shared<tcp::socket>(std::move(socket));
    open.fetch_add(1);
    pool.spawn(worker, [self = shared_from_this(), accepted] {
        self->serve(std::move(*accepted));
        self->open.fetch_sub(1);
    });
}

void HttpServer::Shared::serve(tcp::socket socket)
{
    const ServerLimits now = currentLimits();
    ServerConnection connection(TcpSocket(std::move(socket)), now);
    if (open > now.maxConnections) {
        refuseConnection(connection);
        return;
    }
    std::unordered_set<ServerConnection *> &registry = connections[currentWorker()];
    registry.insert(&connection);
    try {
        serveRequests(connection);
    } catch (const WorkerStopped &) {
        // The connection ends with its worker.
    }
    registry.erase(&connection);
}

void HttpServer::Shared::serveRequests(ServerConnection &connection)
{
    HttpRequest request;
    bool goOn = true;
    while (goOn && connection.readRequest(request)) {
        runHandler(request, connection);
        if (!keepsConnections())
            connection.closeAfterAnswer();
        goOn = connection.endRequest();
        request = {};
        connection.releaseBody();
        connection.setLimits(currentLimits());
    }
}

void HttpServer::Shared::runHandler(const HttpRequest &request, ServerConnection &connection)
{
    active.fetch_add(1);
    try {
        if (!keepsConnections())
            connection.closeAfterAnswer();
        ResponseWriter writer(connection);
        handler(request, writer);
    } catch (const WorkerStopped &) {
        active.fetch_sub(1);
        throw;
    } catch (const std::exception &e) {
        std::fprintf(stderr, "the handler of %s %s failed: %s\n", request.method.c_str(),
                     request.target.c_str(), e.what());
        if (connection.started())
            connection.abort();
    }
    active.fetch_sub(1);
}

ServerLimits HttpServer::Shared::currentLimits() const
{
    const std::lock_guard<std::mutex> lock(limitsMutex);
    return limits;
}

bool HttpServer::Shared::mayAccept() const
{
    const std::size_t most = currentLimits().maxConnections;
    return open <= most + most / refusingDivisor;
}

void HttpServer::Shared::refuseConnection(ServerConnection &connection)
{
    refused.fetch_add(1);
    const Problem problem {503, ResultCode::NoCapacity, RunState::NotRun,
                           "too many connections are open", 1_s};
    connection.closeAfterAnswer();
    static_cast<void>(connection.send(problemResponse(problem)));
    connection.closeGracefully(refusedTime);
}

HttpServer::HttpServer(WorkerPool &pool, const Address &listen, ServerLimits limits,
                       Handler handler)
    : m_shared(std::make_shared<Shared>(pool, listen, std::move(limits), std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    stopAccepting();
    closeConnections();
}

Result<void> HttpServer::start()
{
    Result<void> bound = m_shared->bind();
    if (bound)
        m_shared->pool.spawn(0, [shared = m_shared] { shared->acceptAll(); });
    return bound;
}

Address HttpServer::address() const
{
    return m_shared->listen;
}

void HttpServer::stopAccepting()
{
    if (!m_shared->accepting.exchange(false))
        return;
    asio::post(m_shared->pool.context(0), [weak = std::weak_ptr<Shared>(m_shared)] {
        const std::shared_ptr<Shared> shared = weak.lock();
        if (shared)
            shared->closeAcceptor();
    });
}

void HttpServer::setLimits(const ServerLimits &limits)
{
    const std::lock_guard<std::mutex> lock(m_shared->limitsMutex);
    m_shared->limits = limits;
}

void HttpServer::closeAfterAnswers()
{
    m_shared->lastAnswers = true;
}

void HttpServer::closeConnections()
{
    for (std::size_t i = 0; i < m_shared->pool.size(); ++i) {
        asio::post(m_shared->pool.context(i), [weak = std::weak_ptr<Shared>(m_shared), i] {
            const std::shared_ptr<Shared> shared = weak.lock();
            if (!shared)
                return;
            for (ServerConnection *connection : shared->connections[i])
                connection->close();
        });
    }
}

std::size_t HttpServer::openConnections() const noexcept
{
    return m_shared->open;
}

std::uint64_t HttpServer::refusedConnections() const noexcept
{
    return m_shared->refused;
}

std::size_t HttpServer::activeRequests() const noexcept
{
    return m_shared->active;
}

Result<void> ResponseWriter::send(const HttpResponse &response)
{
    return m_connection->send(response);
}

Result<void> ResponseWriter::startStream(int status, std::span<const Header> headers)
{
    return m_connection->startStream(status, headers);
}

Result<void> ResponseWriter::write(std::string_view data)
{
    return m_connection->write(data);
}

Result<void> ResponseWriter::finish()
{
    return m_connection->finish();
}

void ResponseWriter::abort() noexcept
{
    m_connection->abort();
}

bool ResponseWriter::callerGone()
{
    return m_connection->peerClosed();
}

bool ResponseWriter::started() const noexcept
{
    return m_connection->started();
}

Millis ResponseWriter::connectedAt() const noexcept
{
    return m_connection->connectedAt();
}

Address ResponseWriter::remoteAddress() const
{
    return m_connection->remoteAddress();
}

} // namespace fescue::net
