#pragma once

#include "fescue/net/endpointaddress.h"

#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace fescue::test {

// An engine on a loopback port that writes its answers as they are scripted, without any framing of
// its own, on as many connections as are opened.
class RawEngine
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Write = std::function<void(std::string_view)>;
    // Gets the head of the next request of a connection. Returns true if the connection is kept for
    // a further request. Runs on a thread of its own for each connection.
    using Script = std::function<bool(std::string_view head, const Write &write)>;

    explicit RawEngine(Script script)
        : m_script(std::move(script)),
          m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this] { accept(); })
    { }

    // All scripts have to end, and the peers to close their connections, before the engine does.
    ~RawEngine()
    {
        m_ending = true;
        // Wakes the thread that waits for connections.
        boost::system::error_code ec;
        Socket socket(m_context);
        socket.connect(m_acceptor.local_endpoint(), ec);
        m_thread.join();
        for (std::thread &connection : m_connections)
            connection.join();
    }
    RawEngine(const RawEngine &) = delete;
    RawEngine &operator=(const RawEngine &) = delete;

    [[nodiscard]] net::Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    // Number of connections that were opened.
    [[nodiscard]] std::size_t connections() const noexcept { return m_opened; }

private:
    void accept()
    {
        while (true) {
            boost::system::error_code ec;
            Socket socket(m_context);
            m_acceptor.accept(socket, ec);
            if (ec || m_ending)
                return;
            ++m_opened;
            m_connections.emplace_back(
                [this, peer = std::move(socket)]() mutable { serve(std::move(peer)); });
        }
    }

    void serve(Socket socket)
    {
        boost::system::error_code ec;
        const Write write = [&socket](std::string_view bytes) {
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        };
        std::array<char, 4096> buf {};
        bool isKept = true;
        while (isKept && !m_ending) {
            const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            isKept = n > 0 && m_script(std::string_view(buf.data(), n), write);
        }
        // A reader gets all bytes and then the end of the connection.
        socket.shutdown(Socket::shutdown_send, ec);
        while (!ec && socket.read_some(boost::asio::buffer(buf), ec) > 0) { }
    }

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_ending {false};
    std::atomic<std::size_t> m_opened {0};
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace fescue::test
