#pragma once

#include "fescue/net/bytebudget.h"
#include "fescue/net/endpointaddress.h"
#include "fescue/net/httptypes.h"
#include "fescue/net/workerpool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace fescue::net {

class ServerConnection;

struct ServerLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    std::size_t maxConnections = 20000;
    // Connections of the whole process at which no more are accepted for now; no limit if 0.
    std::size_t maxProcessSockets = 0;
    // Longest time without a request on a kept connection.
    Millis idleTimeout = 60_s;
    // Longest time from the first byte of a request to its last.
    Millis headTimeout = 10_s;
    // Longest time that one write may wait for the peer to take the bytes.
    Millis writeTimeout = 10_s;
    // Memory for the bodies of requests, from their arrival until they have been answered; shared
    // with other uses. No limit if null.
    std::shared_ptr<ByteBudget> bodyBudget;
    // Size of the kernel's receive buffer of each connection; the kernel's own choice if 0. A large
    // body gets a larger one, paid for from the budget. Read when the server starts.
    std::size_t receiveBufferBytes = 0;
    // Connections that may wait to be accepted; the kernel's limit if 0. Read when the server
    // starts.
    int backlog = 0;
};

// Writes the answer to one request. Used by fibers of the connection's worker only.
class ResponseWriter
{
public:
    explicit ResponseWriter(ServerConnection &connection) noexcept : m_connection(&connection) { }

    // Sends a whole answer. Errors: LinkClosed, LinkSilent after the write timeout.
    Result<void> send(const HttpResponse &response);
    // Starts an answer of unknown length; chunked for HTTP/1.1, ended by close for HTTP/1.0.
    Result<void> startStream(int status, std::span<const Header> headers);
    // Sends data as one chunk; waits until the kernel has taken all of it, for at most the write
    // timeout. After an error the connection is closed when the handler returns.
    Result<void> write(std::string_view data);
    // Ends a stream.
    Result<void> finish();
    // Ends the answer and makes the server close the connection without an end mark, so that the
    // peer sees a cut stream.
    void abort() noexcept;
    // True where the peer has closed its end. Does not wait.
    [[nodiscard]] bool callerGone();
    // True once any byte of an answer may have been sent.
    [[nodiscard]] bool started() const noexcept;
    // Where the caller connected from.
    [[nodiscard]] Address remoteAddress() const;
    // When the connection was accepted, by the monotonic clock.
    [[nodiscard]] Millis connectedAt() const noexcept;

private:
    ServerConnection *m_connection;
};

// An HTTP/1.1 server. The first worker accepts and hands the connections to all workers in turn;
// each connection has one fiber, which runs the handler for one request after the other.
//
// A malformed request is answered with 400, a head over its limit with 431, a body over its limit
// with 413, each as problem details, and the connection is closed. So is a request for which no
// memory is left, with 503 before its body is read.
//
// At the limit of connections, one more makes room for itself if its peer holds less than half as
// many as the peer that holds most: a connection of that peer on which no request is being served
// is closed. Otherwise it is refused with 503.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &, ResponseWriter &)>;

    HttpServer(WorkerPool &pool, const Address &listen, ServerLimits limits, Handler handler);
    // Stops accepting and closes all connections. The handler may still run until its next wait;
    // what it refers to must live until the pool has joined.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Listens. May be called again after a failure. Errors: AddressInUse, AddressUnavailable,
    // SettingsInvalid.
    [[nodiscard]] Result<void> start();
    // The address with the port that the kernel chose.
    [[nodiscard]] Address address() const;
    // Closes the listening socket; open connections go on, and are closed after their next answer.
    void stopAccepting();
    // Replaces the limits. Connections take them over with their next request.
    void setLimits(const ServerLimits &limits);
    // Goes on accepting, but makes each connection end after its next answer. An answer whose head
    // has been sent is not the last one.
    void closeAfterAnswers();
    // Answers requests that have arrived in part with the refusal instead of waiting for the rest.
    void refusePartialRequests(const Problem &refusal);
    // Stops listening and ends every connection with the answer to the request that is being read
    // or served. The connections that the kernel has set up already are taken; one on which no
    // request comes is closed soon.
    void endInOrder();
    // True once the server has stopped listening and all of its connections have ended.
    [[nodiscard]] bool ended() const noexcept;
    // Closes every connection at once.
    void closeConnections();
    [[nodiscard]] std::size_t openConnections() const noexcept;
    // Connections that were refused because of the limit of open ones.
    [[nodiscard]] std::uint64_t refusedConnections() const noexcept;
    // Connections that were closed to make room for those of other peers.
    [[nodiscard]] std::uint64_t displacedConnections() const noexcept;
    // Requests whose handler has not returned.
    [[nodiscard]] std::size_t activeRequests() const noexcept;
    // Requests that have arrived in part.
    [[nodiscard]] std::size_t partialRequests() const noexcept;

private:
    struct Shared;
    class Accepted;
    std::shared_ptr<Shared> m_shared;
};

} // namespace fescue::net
