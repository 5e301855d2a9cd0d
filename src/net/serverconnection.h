#pragma once

#include "fescue/net/httpserver.h"
#include "net/tcpsocket.h"

#include <atomic>
#include <functional>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fescue::net {

// One connection of a caller: reads requests and writes their answers, one after the other.
class ServerConnection
{
public:
    // What the connections of a server share.
    struct ServerState
    {
        // Every answer whose head is sent from now on is the last of its connection.
        std::atomic<bool> lastAnswers {false};
        // Connections that have received a part of a request and not refused it.
        std::atomic<std::size_t> receiving {0};
        // Makes arriving requests of another peer give way to one that needs so many bytes more.
        // Returns false where none has to. Their memory is free after a while.
        std::function<bool(const ServerConnection &, std::size_t)> makeMemory;
    };

    ServerConnection(TcpSocket socket, const ServerLimits &limits, ServerState &state);

    // Reads the next request. Answers a malformed one itself. Returns false where the connection
    // is at its end.
    [[nodiscard]] bool readRequest(HttpRequest &request);
    // Ends the answer of a handler that has returned. Returns true where another request may
    // follow.
    [[nodiscard]] bool endRequest();
    void setLimits(const ServerLimits &limits) noexcept { m_limits = limits; }
    // Answers a request that has arrived in part with the refusal, now and later, instead of
    // waiting for its rest.
    void refusePartialRequests(const Problem &refusal);
    // The same for the request that is arriving now. Later ones are not concerned.
    void refuseArrivingRequest(const Problem &refusal);
    // Makes the current answer the last one.
    void closeAfterAnswer() noexcept { m_keepAlive = false; }
    // Releases the memory of the last request, which must be gone, and that of buffers that it
    // made grow.
    void releaseRequest();
    // Closes the connection so that the peer can still read what was sent: reads on for a while,
    // but keeps nothing.
    void closeGracefully();
    void closeGracefully(Millis drainTime);
    void close() noexcept { m_socket.close(); }
    // True while no byte of a request has come since the last answer.
    [[nodiscard]] bool isIdle() { return m_idle && !m_socket.readable(); }

    // True while a request arrives in part.
    [[nodiscard]] bool isReceiving() const noexcept { return m_isReceiving; }
    // True where the connection holds memory that it can give up: a request arrives in part that
    // has not been told to end, or none does.
    [[nodiscard]] bool mayGiveWay()
    {
        return releasableBytes() > 0 && (m_isReceiving ? refusalOfPartial() == nullptr : isIdle());
    }
    // Memory of the budget that the request and its window hold.
    [[nodiscard]] std::size_t heldBytes() const noexcept
    {
        return (m_memory ? m_memory->bytes() : 0) + (m_windowMemory ? m_windowMemory->bytes() : 0);
    }

    // How much of that is free soon after the connection was told to give way. The window of an
    // arriving request lasts until its peer has closed.
    [[nodiscard]] std::size_t releasableBytes() const noexcept
    {
        return m_isReceiving ? (m_memory ? m_memory->bytes() : 0) : heldBytes();
    }

    Result<void> send(const HttpResponse &response);
    Result<void> startStream(int status, std::span<const Header> headers);
    Result<void> write(std::string_view data);
    Result<void> finish();
    void abort() noexcept;
    [[nodiscard]] bool peerClosed() { return m_socket.peerClosed(); }
    [[nodiscard]] bool started() const noexcept { return m_phase != Phase::Waiting; }
    [[nodiscard]] Address remoteAddress() const { return m_socket.remoteAddress(); }
    [[nodiscard]] Millis connectedAt() const noexcept { return m_connectedAt; }

private:
    // Counts one while it exists.
    class Count
    {
    public:
        explicit Count(std::atomic<std::size_t> &counter) noexcept : m_counter(&counter)
        {
            m_counter->fetch_add(1);
        }
        ~Count() { m_counter->fetch_sub(1); }
        Count(const Count &) = delete;
        Count &operator=(const Count &) = delete;

    private:
        std::atomic<std::size_t> *m_counter;
    };

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class Phase : std::uint8_t
    {
        // No byte of the answer has been sent.
        Waiting,
        Streaming,
        Finished,
        Failed,
    };

    // Reads a whole request into the parser.
    [[nodiscard]] bool parseRequest();
    // Takes a request out of the parser, which it ends.
    void takeRequest(HttpRequest &request);
    // Returns the memory of what has arrived of a request, and of a body by its announced length.
    [[nodiscard]] std::size_t requestMemory();
    [[nodiscard]] bool reserveRequest();
    // Reserves it where it has to be made free by requests of another peer.
    [[nodiscard]] bool reserveFromOthers(Millis deadline);
    // Lets the peer send more of a large body ahead, if there is memory for it.
    void widenWindow();
    [[nodiscard]] bool readMore(Millis deadline);
    // Decides with the head of an answer whether the connection goes on, so that a peer that was
    // told so is never cut off with its next request.
    [[nodiscard]] bool decideKeepAlive() noexcept;
    void confirmContinue();
    void refuse(const Problem &problem);
    // Returns the refusal of a request that has arrived in part, or null if its rest is awaited.
    [[nodiscard]] const Problem *refusalOfPartial() const noexcept;
    [[nodiscard]] Result<void> checkWritten(const IoOutcome &outcome);
    [[nodiscard]] Millis writeDeadline() const noexcept;

    TcpSocket m_socket;
    ServerLimits m_limits;
    ServerState *m_state;
    bool m_isReceiving = false;
    // In ServerState::receiving.
    std::optional<Count> m_receivingCount;
    std::optional<Problem> m_partialRefusal;
    // Ends with the request that is arriving.
    std::optional<Problem> m_arrivingRefusal;
    boost::beast::flat_buffer m_buffer;
    // The request that is being read.
    std::optional<Parser> m_parser;
    // Memory that its head takes, once that is whole.
    std::size_t m_headMemory = 0;
    std::optional<ByteReservation> m_memory;
    // Memory of a widened window. A window cannot be taken back, so this lasts as long as the
    // connection.
    std::optional<ByteReservation> m_windowMemory;
    Millis m_connectedAt = steadyNow();
    Phase m_phase = Phase::Waiting;
    bool m_keepAlive = true;
    bool m_idle = false;
    bool m_chunked = true;
    // The request is a HEAD, whose answer has no body.
    bool m_headOnly = false;
    unsigned m_version = 11;
};

} // namespace fescue::net
