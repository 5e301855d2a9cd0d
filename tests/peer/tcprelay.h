#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fescue::testing {

// Passes bytes between TCP connections, until it is told to lose track of those that are open:
// then they stay open and nothing passes, while new connections work.
class TcpRelay
{
public:
    explicit TcpRelay(std::uint16_t targetPort)
        : m_target(boost::asio::ip::address_v4::loopback(), targetPort),
          m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~TcpRelay()
    {
        m_io.stop();
        m_thread.join();
    }

    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    // Loses track of the connections that are open now.
    void freezeOpen() { ++m_epoch; }

    // Connections that were accepted since the start.
    [[nodiscard]] int accepted() const { return m_accepted; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Pair
    {
        Pair(boost::asio::io_context &io, int openedIn) : left(io), right(io), epoch(openedIn) { }

        Socket left;
        Socket right;
        int epoch;
        std::array<char, 16384> fromLeft {};
        std::array<char, 16384> fromRight {};
    };

    void accept()
    {
        const std::shared_ptr<Pair> pair = std::make_shared<Pair>(m_io, 0);
        m_acceptor.async_accept(pair->left, [this, pair](boost::system::error_code ec) {
            if (ec)
                return;
            ++m_accepted;
            pair->epoch = m_epoch;
            pair->right.connect(m_target, ec);
            m_pairs.push_back(pair);
            if (!ec) {
                pump(pair, pair->left, pair->right, pair->fromLeft);
                pump(pair, pair->right, pair->left, pair->fromRight);
            }
            accept();
        });
    }

    void pump(const std::shared_ptr<Pair> &pair, Socket &from, Socket &to,
              std::array<char, 16384> &buf)
    {
        from.async_read_some(
            boost::asio::buffer(buf),
            [this, pair, &from, &to, &buf](boost::system::error_code ec, std::size_t n) {
                if (pair->epoch != m_epoch)
                    return;
                boost::system::error_code ignored;
                if (ec) {
                    to.shutdown(Socket::shutdown_send, ignored);
                    return;
                }
                boost::asio::write(to, boost::asio::buffer(buf, n), ignored);
                pump(pair, from, to, buf);
            });
    }

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    std::atomic<int> m_epoch {0};
    std::atomic<int> m_accepted {0};
    std::thread m_thread;
};

} // namespace fescue::testing
