#pragma once

#include "fescue/net/endpointaddress.h"

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace fescue::test {

// A server of one connection that writes bytes without any regard for the protocol.
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    // `script` runs on a thread of its own once the head of a request has arrived. The connection
    // closes when it returns.
    explicit RawServer(std::function<void(RawServer &)> script)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_socket(m_context), m_thread([this, script = std::move(script)] { serve(script); })
    { }

    ~RawServer()
    {
        // Wakes a thread that still waits for its connection.
        boost::system::error_code ec;
        Socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ec);
        socket.close(ec);
        m_thread.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] net::Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    // Bytes that the client took before it closed the connection.
    [[nodiscard]] std::size_t written() const noexcept { return m_written; }

    // False once the client has closed the connection.
    bool write(std::string_view bytes)
    {
        boost::system::error_code ec;
        m_written += boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
        return !ec;
    }
    // Writes a piece again and again until the client closes, or until `most` bytes were taken.
    void writeEndlessly(std::string_view piece, std::size_t most)
    {
        std::string many;
        while (many.size() < 16384)
            many += piece;
        while (m_written < most && write(many)) { }
    }

private:
    void serve(const std::function<void(RawServer &)> &script)
    {
        boost::system::error_code ec;
        m_acceptor.accept(m_socket, ec);
        std::array<char, 4096> buf {};
        if (!ec && m_socket.read_some(boost::asio::buffer(buf), ec) > 0)
            script(*this);
        m_socket.close(ec);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Socket m_socket;
    std::atomic<std::size_t> m_written {0};
    std::thread m_thread;
};

} // namespace fescue::test
