#include "net/tcpsocket.h"

#include "fescue/net/opensockets.h"

#include <atomic>
#include <utility>

#include <boost/asio/ip/address.hpp>

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fescue::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::atomic<std::size_t> socketCount {0};

} // namespace

std::size_t openSockets() noexcept
{
    return socketCount;
}

CountedSocket::CountedSocket() noexcept
{
    socketCount.fetch_add(1);
}

void CountedSocket::release() noexcept
{
    if (std::exchange(m_isCounted, false))
        socketCount.fetch_sub(1);
}

TcpSocket::TcpSocket(tcp::socket socket) : m_socket(std::move(socket))
{
    prepare();
}

void TcpSocket::prepare()
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

IoOutcome TcpSocket::connect(const Address &address, Millis deadline)
{
    IoOutcome outcome;
    const asio::ip::address ip = asio::ip::make_address(address.ip, outcome.ec);
    if (outcome.ec)
        return outcome;
    const tcp::endpoint remote(ip, address.port);
    outcome = awaitIo(m_socket, deadline, [this, &remote](auto handler) {
        m_socket.async_connect(
            remote, [handler](const boost::system::error_code &ec) mutable { handler(ec, 0); });
    });
    if (outcome.ok())
        prepare();
    return outcome;
}

bool TcpSocket::wasForOther(const IoOutcome &outcome) const noexcept
{
    return outcome.ec == asio::error::operation_aborted && !outcome.timedOut && m_socket.is_open()
        && !stopRequested();
}

IoOutcome TcpSocket::readSome(asio::mutable_buffer buf, Millis deadline)
{
    IoOutcome outcome;
    m_readInterrupted = false;
    do {
        outcome = awaitIo(m_socket, deadline,
                          [this, buf](auto handler) { m_socket.async_read_some(buf, handler); });
    } while (wasForOther(outcome) && !m_readInterrupted);
    return outcome;
}

IoOutcome TcpSocket::waitWritable(Millis deadline)
{
    IoOutcome outcome;
    do {
        outcome = awaitIo(m_socket, deadline, [this](auto handler) {
            m_socket.async_wait(tcp::socket::wait_write, handler);
        });
    } while (wasForOther(outcome));
    return outcome;
}

bool TcpSocket::peerClosed()
{
    char byte = 0;
    const ssize_t n =
        ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool TcpSocket::readable()
{
    char byte = 0;
    const ssize_t n =
        ::recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void TcpSocket::setSendTimeout(Millis span)
{
    const unsigned int milliseconds = static_cast<unsigned int>(span.count);
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof(milliseconds));
}

void TcpSocket::setResetOnClose(bool resets) noexcept
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void TcpSocket::setReceiveBuffer(std::size_t bytes) noexcept
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
    const int window = static_cast<int>(bytes);
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof(window));
}

void TcpSocket::interruptRead() noexcept
{
    m_readInterrupted = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void TcpSocket::shutdownSend() noexcept
{
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpSocket::close() noexcept
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_count.release();
}

Address TcpSocket::remoteAddress() const
{
    boost::system::error_code ec;
    const tcp::endpoint remote = m_socket.remote_endpoint(ec);
    if (ec)
        return {};
    return {remote.address().to_string(), remote.port()};
}

} // namespace fescue::net
