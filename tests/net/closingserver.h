#pragma once

#include "fescue/net/endpointaddress.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fescue::test {

// A server that resets each connection as soon as it has accepted it.
class ClosingServer
{
public:
    ClosingServer()
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}), m_thread([this] {
              accept();
              m_context.run();
          })
    { }

    ~ClosingServer()
    {
        m_context.stop();
        m_thread.join();
    }
    ClosingServer(const ClosingServer &) = delete;
    ClosingServer &operator=(const ClosingServer &) = delete;

    [[nodiscard]] net::Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &ec, boost::asio::ip::tcp::socket socket) {
                if (ec)
                    return;
                boost::system::error_code ignored;
                socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
                accept();
            });
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace fescue::test
