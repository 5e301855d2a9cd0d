#include "net/serverconnection.h"
#include "tests/net/nettest.h"

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <sys/ioctl.h>

namespace fescue::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string firstHalf = "GET / HTTP/1.1\r\nHost: ";
const std::string secondHalf = "a\r\n\r\n";
const Problem noRoom {503, ResultCode::NoCapacity, RunState::NotRun, "no room", 1_s};

// Returns the status line of the next answer, whose head ends the buffer.
std::string readAnswer(tcp::socket &socket)
{
    std::string head;
    std::array<char, 1> buf {};
    boost::system::error_code ec;
    while (!ec && !head.ends_with("\r\n\r\n")) {
        if (socket.read_some(asio::buffer(buf), ec) > 0)
            head += buf.front();
    }
    return head.substr(0, head.find('\r'));
}

// Guards against a connection that refuses later requests because one of them was to make room for
// another caller's connection, and had just arrived in full.
TEST(PartialRequest, RefusalForWantOfRoomEndsWithTheRequest)
{
    WorkerPool pool(1);
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept(pool.context(0));
    tcp::socket *const socket = &accepted;
    ServerConnection::ServerState state;
    std::optional<ServerConnection> connection;
    std::promise<void> closed;
    const int descriptor = accepted.native_handle();
    pool.spawn(0, [&] {
        connection.emplace(TcpSocket(std::move(*socket)), ServerLimits {}, state);
        HttpRequest request;
        while (connection->readRequest(request)) {
            static_cast<void>(connection->send({}));
            static_cast<void>(connection->endRequest());
        }
        connection->close();
        closed.set_value();
    });
    const auto isReceiving = [&] { return connection && connection->isReceiving(); };
    asio::write(peer, asio::buffer(firstHalf));
    runOn(pool, 0, [&] {
        while (!isReceiving())
            sleepFor(1_ms);
        asio::write(peer, asio::buffer(secondHalf));
        // Until the rest has been read, and the fiber that reads it has not run yet.
        int unread = 1;
        while (unread > 0 && isReceiving()) {
            boost::this_fiber::yield();
            ASSERT_EQ(ioctl(descriptor, FIONREAD, &unread), 0);
        }
        ASSERT_TRUE(isReceiving());
        connection->refuseArrivingRequest(noRoom);
    });
    EXPECT_EQ(readAnswer(peer), "HTTP/1.1 200 OK");
    asio::write(peer, asio::buffer(firstHalf));
    // A connection that refuses the request at once does not receive for long.
    runOn(pool, 0, [&] {
        for (int n = 0; n < 1000 && !isReceiving(); ++n)
            sleepFor(1_ms);
    });
    boost::system::error_code ignored;
    asio::write(peer, asio::buffer(secondHalf), ignored);
    EXPECT_EQ(readAnswer(peer), "HTTP/1.1 200 OK");
    peer.close();
    closed.get_future().get();
}

// Guards against a request that was told to end, as others need its memory, and still counts as one
// that may give way, or goes on to ask others for theirs.
TEST(PartialRequest, RefusedRequestNeitherGivesWayNorAsksOthers)
{
    constexpr std::size_t budgetBytes = 400'000;
    constexpr std::size_t stepBytes = 1'000;
    WorkerPool pool(1);
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept(pool.context(0));
    ServerLimits limits;
    limits.bodyBudget = std::make_shared<ByteBudget>(budgetBytes);
    ByteReservation others(*limits.bodyBudget);
    ServerConnection::ServerState state;
    std::optional<ServerConnection> connection;
    std::promise<void> closed;
    int asked = 0;
    bool gaveWayBefore = false;
    bool givesWayAfter = true;
    state.makeMemory = [&](const ServerConnection &, std::size_t) {
        if (++asked == 1) {
            gaveWayBefore = connection->mayGiveWay();
            connection->refuseArrivingRequest(noRoom);
            givesWayAfter = connection->mayGiveWay();
        }
        return true;
    };
    pool.spawn(0, [&] {
        connection.emplace(TcpSocket(std::move(accepted)), limits, state);
        HttpRequest request;
        EXPECT_FALSE(connection->readRequest(request));
        connection->close();
        closed.set_value();
    });
    const std::string part = "9c40\r\n" + std::string(40'000, 'x') + "\r\n";
    asio::write(peer, asio::buffer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + part));
    runOn(pool, 0, [&] {
        while (!connection || connection->heldBytes() < 40'000)
            sleepFor(1_ms);
        while (others.reserve(stepBytes)) { }
    });
    asio::write(peer, asio::buffer(part));
    EXPECT_EQ(readAnswer(peer), "HTTP/1.1 503 Service Unavailable");
    peer.close();
    closed.get_future().get();
    EXPECT_EQ(asked, 1);
    EXPECT_TRUE(gaveWayBefore);
    EXPECT_FALSE(givesWayAfter);
}

// Guards against a stop that waits for callers whose requests it has refused.
TEST(PartialRequest, RefusedRequestIsNotCountedWhileItIsDrained)
{
    WorkerPool pool(1);
    HttpServer server(pool, anyPort, {}, [](const HttpRequest &, ResponseWriter &writer) {
        static_cast<void>(writer.send({}));
    });
    ASSERT_TRUE(server.start());
    asio::io_context context;
    tcp::socket peer(context);
    peer.connect({asio::ip::make_address(server.address().ip), server.address().port});
    asio::write(peer, asio::buffer(firstHalf));
    while (server.partialRequests() == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    server.refusePartialRequests(noRoom);
    EXPECT_EQ(readAnswer(peer), "HTTP/1.1 503 Service Unavailable");
    while (server.partialRequests() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(server.openConnections(), 1U);
}

} // namespace

} // namespace fescue::net
