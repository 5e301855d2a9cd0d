#include "fescue/net/httpserver.h"

#include "fescue/net/listenerror.h"
#include "fescue/net/opensockets.h"
#include "net/connectiontable.h"
#include "net/memoryshares.h"
#include "net/serverconnection.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fescue::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Pause after accepting failed, for example because the process has no free descriptors.
constexpr Millis acceptPause = 20_ms;
// Time for a request to come on an open connection while the server ends.
constexpr Millis lastRequestTime = 500_ms;
// The fiber that accepts, and the end of the listener.
constexpr int listenerParts = 2;
// How long a refused connection may take to end. Short, since it holds a descriptor.
constexpr Millis refusedTime = 100_ms;
// Beyond their limit, connections are accepted only to be refused: at most the limit divided by
// this at a time. The others wait in the kernel's queue.
constexpr std::size_t refusingDivisor = 8;
// Bytes of answers that the kernel holds for a connection and has not sent yet. What is on its way
// is not counted, so that answers use the whole bandwidth of a long path.
constexpr int maxUnsentBytes = 64 * 1024;

} // namespace

// What the fibers of a server use; lives as long as the last of them.
struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared>
{
    Shared(WorkerPool &workerPool, Address listenAddress, ServerLimits serverLimits,
           Handler requestHandler)
        : pool(workerPool), listen(std::move(listenAddress)), limits(std::move(serverLimits)),
          handler(std::move(requestHandler)), acceptor(workerPool.context(0)),
          connections(workerPool.size())
    {
        connectionState.makeMemory = [this](const ServerConnection &asking, std::size_t wanted) {
            return makeMemory(asking, wanted);
        };
    }

    Result<void> bind();
    void acceptAll();
    // Hands over the connections that the kernel has set up already, and closes the listener.
    void closeAcceptor();
    // Bounds what the kernel holds for each connection. The connections take over what the listener
    // has. A kernel that has no such options goes on with its own choice.
    void limitBuffers(const ServerLimits &now);
    void dispatch(tcp::socket socket, std::size_t worker);
    // Closes the connections of the current worker on which no request has begun.
    void closeIdle();
    void serve(tcp::socket socket);
    void serveRequests(ServerConnection &connection);
    void runHandler(const HttpRequest &request, ServerConnection &connection);
    void refuseConnection(ServerConnection &connection);
    // Ends a connection of the current worker in favour of one from an IP number. Returns false
    // where none may be ended.
    [[nodiscard]] bool makeRoom(const std::string &ip);
    // Refuses arriving requests and closes idle connections of the peer that has to give way to one
    // that needs so many bytes more. Returns false where none has to.
    [[nodiscard]] bool makeMemory(const ServerConnection &asking, std::size_t wanted);
    // Calls a function with each connection of the current worker.
    template <typename F>
    void forEachConnection(F function) const;
    [[nodiscard]] bool mayAccept() const;
    // The limits of the next request.
    [[nodiscard]] ServerLimits limitsNow() const;
    // Nothing while requests may take their time to arrive.
    [[nodiscard]] std::optional<Problem> partialRefusal() const;

    WorkerPool &pool;
    Address listen;
    // Guards limits and refusalOfPartial.
    mutable std::mutex limitsMutex;
    ServerLimits limits;
    std::optional<Problem> refusalOfPartial;
    Handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> accepting {false};
    std::atomic<bool> ending {false};
    // Parts of the listener that may still hand over a connection.
    std::atomic<int> listening {0};
    std::atomic<std::size_t> open {0};
    std::atomic<std::size_t> active {0};
    ServerConnection::ServerState connectionState;
    std::atomic<std::uint64_t> refused {0};
    // By worker; each table is used by its worker only.
    std::vector<ConnectionTable> connections;
    std::atomic<std::uint64_t> displaced {0};
};

// An accepted connection, counted as open from its acceptance on.
class HttpServer::Accepted
{
public:
    Accepted(std::shared_ptr<Shared> shared, tcp::socket socket) noexcept
        : m_shared(std::move(shared)), m_socket(std::move(socket))
    {
        m_shared->open.fetch_add(1);
    }
    ~Accepted() { m_shared->open.fetch_sub(1); }
    Accepted(const Accepted &) = delete;
    Accepted &operator=(const Accepted &) = delete;

    void serve() { m_shared->serve(std::move(m_socket)); }

private:
    std::shared_ptr<Shared> m_shared;
    tcp::socket m_socket;
};

Result<void> HttpServer::Shared::bind()
{
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(listen.ip, ec);
    if (ec)
        return fail(ResultCode::SettingsInvalid, "\"" + listen.ip + "\" is not an IP number");
    const tcp::endpoint local(ip, listen.port);
    const ServerLimits now = limitsNow();
    acceptor.open(local.protocol(), ec);
    if (!ec)
        limitBuffers(now);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(local, ec);
    if (!ec)
        acceptor.listen(now.backlog > 0 ? now.backlog : asio::socket_base::max_listen_connections,
                        ec);
    if (ec) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return tl::unexpected<Error>(listenError(listen, ec));
    }
    listen.port = acceptor.local_endpoint(ec).port();
    accepting = true;
    listening = listenerParts;
    return {};
}

void HttpServer::Shared::limitBuffers(const ServerLimits &now)
{
    if (now.receiveBufferBytes == 0)
        return;
    boost::system::error_code ec;
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(static_cast<int>(now.receiveBufferBytes)), ec);
    const bool unsentLimited =
        ::setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes,
                     sizeof(maxUnsentBytes))
        == 0;
    if (ec || !unsentLimited)
        std::fprintf(stderr, "the kernel's buffers at %s cannot be limited: %s\n",
                     listen.toString().c_str(), ec ? ec.message().c_str() : std::strerror(errno));
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
    listening.fetch_sub(1);
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
    listening.fetch_sub(1);
}

void HttpServer::Shared::dispatch(tcp::socket socket, std::size_t worker)
{
    const std::shared_ptr<Accepted> accepted =
        std::make_shared<Accepted>(shared_from_this(), std::move(socket));
    pool.spawn(worker, [accepted] { accepted->serve(); });
}

void HttpServer::Shared::closeIdle()
{
    forEachConnection([](ServerConnection &connection) {
        if (connection.isIdle())
            connection.close();
    });
}

template <typename F>
void HttpServer::Shared::forEachConnection(F function) const
{
    for (const std::pair<const std::string, ConnectionTable::Group> &entry :
         connections[currentWorker()].groups()) {
        for (ServerConnection *connection : entry.second)
            function(*connection);
    }
}

bool HttpServer::Shared::makeRoom(const std::string &ip)
{
    const ConnectionTable::Group *group = connections[currentWorker()].largestBeside(ip);
    if (group == nullptr)
        return false;
    const Problem problem {503, ResultCode::NoCapacity, RunState::NotRun,
                           "too many connections are open", 1_s};
    ServerConnection *receiving = nullptr;
    for (ServerConnection *connection : *group) {
        if (connection->isIdle()) {
            connection->close();
            displaced.fetch_add(1);
            return true;
        }
        if (connection->isReceiving())
            receiving = connection;
    }
    if (receiving == nullptr)
        return false;
    receiving->refuseArrivingRequest(problem);
    displaced.fetch_add(1);
    return true;
}

bool HttpServer::Shared::makeMemory(const ServerConnection &asking, std::size_t wanted)
{
    std::vector<PeerMemory> peers;
    const std::map<std::string, ConnectionTable::Group> &groups =
        connections[currentWorker()].groups();
    for (const std::pair<const std::string, ConnectionTable::Group> &entry : groups) {
        PeerMemory peer {entry.first};
        for (ServerConnection *connection : entry.second) {
            peer.held += connection->heldBytes();
            peer.releasable += connection->mayGiveWay() ? connection->releasableBytes() : 0;
        }
        peers.push_back(std::move(peer));
    }
    const PeerMemory *peer = peerGivingWay(peers, asking.remoteAddress().ip, wanted);
    if (peer == nullptr)
        return false;
    const Problem problem {503, ResultCode::NoCapacity, RunState::NotRun,
                           "the memory is needed for requests of other callers", 1_s};
    std::size_t released = 0;
    for (ServerConnection *connection : groups.find(peer->ip)->second) {
        if (released >= wanted)
            break;
        if (!connection->mayGiveWay())
            continue;
        released += connection->releasableBytes();
        if (connection->isReceiving())
            connection->refuseArrivingRequest(problem);
        else
            connection->close();
        displaced.fetch_add(1);
    }
    return true;
}

void HttpServer::Shared::serve(tcp::socket socket)
{
    const ServerLimits now = limitsNow();
    ServerConnection connection(TcpSocket(std::move(socket)), now, connectionState);
    if (const std::optional<Problem> refusal = partialRefusal())
        connection.refusePartialRequests(*refusal);
    const std::string ip = connection.remoteAddress().ip;
    if (open > now.maxConnections && !makeRoom(ip)) {
        refuseConnection(connection);
        return;
    }
    ConnectionTable &registry = connections[currentWorker()];
    registry.insert(ip, &connection);
    try {
        serveRequests(connection);
    } catch (const WorkerStopped &) {
        // The connection ends with its worker.
    } catch (const std::exception &e) {
        std::fprintf(stderr, "a connection to %s failed: %s\n", listen.toString().c_str(),
                     e.what());
    }
    registry.erase(ip, &connection);
}

void HttpServer::Shared::serveRequests(ServerConnection &connection)
{
    bool goOn = true;
    while (goOn) {
        {
            // A string that is assigned an empty one keeps its memory, so each request has its own.
            HttpRequest request;
            if (!connection.readRequest(request))
                return;
            runHandler(request, connection);
        }
        connection.releaseRequest();
        goOn = connection.endRequest();
        connection.setLimits(limitsNow());
    }
}

void HttpServer::Shared::runHandler(const HttpRequest &request, ServerConnection &connection)
{
    active.fetch_add(1);
    try {
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

ServerLimits HttpServer::Shared::limitsNow() const
{
    const std::lock_guard<std::mutex> lock(limitsMutex);
    ServerLimits now = limits;
    if (ending)
        now.idleTimeout = std::min(now.idleTimeout, lastRequestTime);
    return now;
}

std::optional<Problem> HttpServer::Shared::partialRefusal() const
{
    const std::lock_guard<std::mutex> lock(limitsMutex);
    return refusalOfPartial;
}

bool HttpServer::Shared::mayAccept() const
{
    const ServerLimits now = limitsNow();
    const std::size_t most = now.maxConnections;
    const bool hasSocket = now.maxProcessSockets == 0 || openSockets() < now.maxProcessSockets;
    return hasSocket && open <= most + most / refusingDivisor;
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
    closeAfterAnswers();
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
    m_shared->connectionState.lastAnswers = true;
}

void HttpServer::refusePartialRequests(const Problem &refusal)
{
    {
        const std::lock_guard<std::mutex> lock(m_shared->limitsMutex);
        m_shared->refusalOfPartial = refusal;
    }
    for (std::size_t i = 0; i < m_shared->pool.size(); ++i) {
        asio::post(m_shared->pool.context(i), [weak = std::weak_ptr<Shared>(m_shared), refusal] {
            const std::shared_ptr<Shared> shared = weak.lock();
            if (!shared)
                return;
            shared->forEachConnection([&refusal](ServerConnection &connection) {
                connection.refusePartialRequests(refusal);
            });
        });
    }
}

void HttpServer::endInOrder()
{
    if (m_shared->ending.exchange(true))
        return;
    closeAfterAnswers();
    stopAccepting();
    for (std::size_t i = 0; i < m_shared->pool.size(); ++i) {
        m_shared->pool.spawn(i, [shared = m_shared] {
            sleepFor(lastRequestTime);
            shared->closeIdle();
        });
    }
}

bool HttpServer::ended() const noexcept
{
    return m_shared->ending && m_shared->listening == 0 && m_shared->open == 0;
}

void HttpServer::closeConnections()
{
    for (std::size_t i = 0; i < m_shared->pool.size(); ++i) {
        asio::post(m_shared->pool.context(i), [weak = std::weak_ptr<Shared>(m_shared)] {
            const std::shared_ptr<Shared> shared = weak.lock();
            if (!shared)
                return;
            shared->forEachConnection([](ServerConnection &connection) { connection.close(); });
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

std::uint64_t HttpServer::displacedConnections() const noexcept
{
    return m_shared->displaced;
}

std::size_t HttpServer::activeRequests() const noexcept
{
    return m_shared->active;
}

std::size_t HttpServer::partialRequests() const noexcept
{
    return m_shared->connectionState.receiving;
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
