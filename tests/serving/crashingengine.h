#pragma once

#include "fescue/net/endpointaddress.h"

#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace fescue::test {

// An engine that streams three events to each request, one request at a time. It terminates when it
// begins to answer a request whose head contains `crashingText`: its port refuses connections from
// then on, and the connection ends without an answer.
class CrashingEngine
{
public:
    explicit CrashingEngine(std::string crashingText)
        : m_crashingText(std::move(crashingText)),
          m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_port(m_acceptor.local_endpoint().port()), m_thread([this] { serve(); })
    { }

    ~CrashingEngine()
    {
        m_stopping = true;
        // Wakes the thread if it waits for a connection.
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket socket(m_context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), m_port}, ec);
        socket.close(ec);
        m_thread.join();
    }
    CrashingEngine(const CrashingEngine &) = delete;
    CrashingEngine &operator=(const CrashingEngine &) = delete;

    [[nodiscard]] net::Address address() const { return {"127.0.0.1", m_port}; }
    [[nodiscard]] bool crashed() const noexcept { return m_crashed; }

private:
    void serve()
    {
        while (!m_stopping && !m_crashed) {
            boost::system::error_code ec;
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, ec);
            if (!ec)
                answer(socket);
        }
    }

    void answer(boost::asio::ip::tcp::socket &socket)
    {
        boost::system::error_code ec;
        std::string head;
        std::array<char, 4096> buf {};
        while (!ec && head.find("\r\n\r\n") == std::string::npos)
            head.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
        if (head.find(m_crashingText) != std::string::npos) {
            m_crashed = true;
            m_acceptor.close(ec);
            return;
        }
        constexpr std::string_view response =
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n";
        boost::asio::write(socket, boost::asio::buffer(response), ec);
    }

    std::string m_crashingText;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping {false};
    std::atomic<bool> m_crashed {false};
    std::thread m_thread;
};

} // namespace fescue::test
