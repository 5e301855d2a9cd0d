#include "fescue/serving/gossipsocket.h"

#include "fescue/net/listenerror.h"
#include "fescue/observe/log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

namespace fescue::serving {

using boost::asio::ip::udp;

GossipSocket::GossipSocket(boost::asio::io_context &context, Receiver receiver)
    : m_socket(context), m_receiver(std::move(receiver))
{ }

Result<void> GossipSocket::open(const net::Address &address)
{
    boost::system::error_code ec;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(address.ip, ec);
    if (ec)
        return fail(ResultCode::SettingsInvalid, "\"" + address.ip + "\" is not an IP address");
    const udp::endpoint local(ip, address.port);
    m_socket.open(local.protocol(), ec);
    if (!ec)
        m_socket.bind(local, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        return tl::unexpected<Error>(net::listenError(address, ec));
    }
    receive();
    return {};
}

net::Address GossipSocket::address() const
{
    const udp::endpoint local = m_socket.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void GossipSocket::close() noexcept
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void GossipSocket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code &ec, std::size_t n) {
                                    if (ec == boost::asio::error::operation_aborted)
                                        return;
                                    // Other errors concern a single datagram, such as one to a
                                    // peer's closed port.
                                    if (!ec)
                                        handle(std::string_view(m_buffer.data(), n));
                                    receive();
                                });
}

void GossipSocket::handle(std::string_view bytes)
{
    try {
        m_receiver(bytes);
    } catch (const std::exception &e) {
        observe::logChange(observe::LogLevel::Error, "datagram-failed",
                           {{"bytes", bytes.size()}, {"reason", std::string_view(e.what())}});
    }
}

bool GossipSocket::send(const net::Address &peer, std::string_view bytes)
{
    boost::system::error_code ec;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(peer.ip, ec);
    if (!ec)
        m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                         udp::endpoint(ip, peer.port), 0, ec);
    return !ec;
}

} // namespace fescue::serving
