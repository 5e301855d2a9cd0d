#pragma once

#include "fescue/net/endpointaddress.h"
#include "net/worker.h"

#include <algorithm>
#include <cstddef>
#include <span>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace fescue::net {

// How an operation of a socket ended.
struct IoOutcome
{
    boost::system::error_code ec;
    std::size_t bytes = 0;
    bool timedOut = false;

    [[nodiscard]] bool ok() const noexcept { return !ec && !timedOut; }
};

// Starts an asynchronous operation and suspends the fiber until its handler has run. The owner is
// the socket or acceptor, which is cancelled at the deadline.
template <typename Owner, typename Initiate>
[[nodiscard]] IoOutcome awaitIo(Owner &owner, Millis deadline, Initiate initiate)
{
    IoOutcome outcome;
    Wait wait;
    wait.operation = &owner;
    wait.cancel = [](void *operation) {
        boost::system::error_code ignored;
        static_cast<Owner *>(operation)->cancel(ignored);
    };
    initiate([&outcome, &wait](const boost::system::error_code &ec, std::size_t bytes = 0) {
        outcome.ec = ec;
        outcome.bytes = bytes;
        Worker::complete(wait);
    });
    Worker::current()->suspendUntilDone(wait, deadline);
    outcome.timedOut = wait.timedOut && outcome.ec == boost::asio::error::operation_aborted;
    return outcome;
}

// Counts a socket of this process from its construction until it is released.
class CountedSocket
{
public:
    CountedSocket() noexcept;
    ~CountedSocket() { release(); }
    CountedSocket(CountedSocket &&other) noexcept
        : m_isCounted(std::exchange(other.m_isCounted, false))
    { }
    CountedSocket &operator=(CountedSocket &&) = delete;

    void release() noexcept;

private:
    bool m_isCounted = true;
};

// A connected TCP socket of the current worker, used by at most one reading and one writing fiber.
class TcpSocket
{
public:
    explicit TcpSocket(boost::asio::io_context &context) : m_socket(context) { }
    explicit TcpSocket(boost::asio::ip::tcp::socket socket);

    [[nodiscard]] IoOutcome connect(const Address &address, Millis deadline);
    // Reads what is there, or waits for it. End of file is boost::asio::error::eof.
    [[nodiscard]] IoOutcome readSome(boost::asio::mutable_buffer buf, Millis deadline);
    // Writes all of the buffers. Makes one call of the kernel where it takes everything at once.
    template <typename Buffers>
    [[nodiscard]] IoOutcome writeAll(const Buffers &buffers, Millis deadline);

    // True where the peer has closed its end or the connection has failed. Does not wait.
    [[nodiscard]] bool peerClosed();
    // True where bytes can be read, the peer has closed, or the connection has failed.
    [[nodiscard]] bool readable();
    // Makes the kernel fail the connection when sent bytes stay unacknowledged for the span.
    void setSendTimeout(Millis span);
    // Makes the end of the connection a reset instead of an orderly close, also if the process
    // dies.
    void setResetOnClose(bool resets) noexcept;
    // Sets the size of the kernel's receive buffer, and lets the peer send as much ahead. Beyond
    // 64 KB the peer may not know it.
    void setReceiveBuffer(std::size_t bytes) noexcept;
    // Makes a read that waits end at once. Later reads wait as usual.
    void interruptRead() noexcept;
    void shutdownSend() noexcept;
    void close() noexcept;
    [[nodiscard]] bool isOpen() const noexcept { return m_socket.is_open(); }
    [[nodiscard]] Address remoteAddress() const;

private:
    void prepare();
    // True where an aborted operation was meant for the other direction and has to be repeated.
    [[nodiscard]] bool wasForOther(const IoOutcome &outcome) const noexcept;
    [[nodiscard]] IoOutcome waitWritable(Millis deadline);

    boost::asio::ip::tcp::socket m_socket;
    CountedSocket m_count;
    bool m_readInterrupted = false;
};

template <typename Buffers>
IoOutcome TcpSocket::writeAll(const Buffers &buffers, Millis deadline)
{
    const std::size_t total = boost::asio::buffer_size(buffers);
    IoOutcome outcome;
    outcome.bytes = m_socket.write_some(buffers, outcome.ec);
    if (outcome.bytes == total || (outcome.ec && outcome.ec != boost::asio::error::would_block))
        return outcome;
    // What the kernel did not take is written from one piece to the next.
    std::size_t skip = outcome.bytes;
    outcome.bytes = total;
    for (auto it = boost::asio::buffer_sequence_begin(buffers);
         it != boost::asio::buffer_sequence_end(buffers); ++it) {
        boost::asio::const_buffer piece(*it);
        const std::size_t skipped = std::min(skip, piece.size());
        skip -= skipped;
        piece += skipped;
        while (piece.size() > 0) {
            const std::size_t n = m_socket.write_some(piece, outcome.ec);
            piece += n;
            if (!outcome.ec)
                continue;
            if (outcome.ec != boost::asio::error::would_block)
                return outcome;
            const IoOutcome writable = waitWritable(deadline);
            if (!writable.ok())
                return writable;
        }
    }
    outcome.ec = {};
    return outcome;
}

} // namespace fescue::net
