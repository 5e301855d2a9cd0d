#include "tests/net/nettest.h"

#include <array>
#include <chrono>
#include <deque>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace fescue::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Ends a test that would hang.
constexpr std::chrono::seconds hangGuard {10};
constexpr int callers = 8;

// A caller that writes and reads raw bytes.
class Caller
{
public:
    explicit Caller(const Address &address) : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address(address.ip), address.port});
    }

    void write(std::string_view bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }
    // All that comes until the server closes the connection.
    [[nodiscard]] std::string readAll()
    {
        std::string answer;
        boost::system::error_code ignored;
        asio::read(m_socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }
    // The head of the next answer, which has no body.
    [[nodiscard]] std::string readHead()
    {
        std::string head;
        boost::system::error_code ec;
        std::array<char, 1> buf {};
        while (!ec && !head.ends_with("\r\n\r\n")) {
            if (m_socket.read_some(asio::buffer(buf), ec) > 0)
                head += buf.front();
        }
        return head;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

class EndInOrder : public ::testing::TestWithParam<std::size_t>
{
protected:
    EndInOrder() { EXPECT_TRUE(server.start()); }

    // Occupies every worker until the promise is set, so that no connection is accepted or read.
    void occupyWorkers()
    {
        for (std::size_t i = 0; i < pool.size(); ++i)
            pool.spawn(i, [this] { released.wait(); });
    }

    [[nodiscard]] bool endsInTime() const
    {
        const std::chrono::steady_clock::time_point limit =
            std::chrono::steady_clock::now() + hangGuard;
        while (!server.ended() && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return server.ended();
    }

    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    WorkerPool pool {GetParam()};
    HttpServer server {pool, anyPort, {}, [](const HttpRequest &, ResponseWriter &writer) {
                           static_cast<void>(writer.send({}));
                       }};
};

constexpr std::string_view wholeRequest = "GET / HTTP/1.1\r\nHost: s\r\n\r\n";

// Guards against a process that ends while the kernel holds connections whose calls are sent, but
// not accepted: their callers saw the connection close without an answer.
TEST_P(EndInOrder, ConnectionsThatTheKernelHoldsAreAnswered)
{
    occupyWorkers();
    std::deque<Caller> waiting;
    for (int i = 0; i < callers; ++i)
        waiting.emplace_back(server.address()).write(wholeRequest);
    server.endInOrder();
    EXPECT_FALSE(server.ended());
    release.set_value();
    for (Caller &caller : waiting)
        EXPECT_TRUE(caller.readAll().starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(endsInTime());
}

// Guards against a process that ends while a call is half read: its caller saw the connection
// close without an answer.
TEST_P(EndInOrder, RequestThatIsHalfReadIsAnswered)
{
    std::deque<Caller> reading;
    for (int i = 0; i < callers; ++i) {
        reading.emplace_back(server.address()).write(wholeRequest);
        EXPECT_TRUE(reading.back().readHead().starts_with("HTTP/1.1 200"));
        reading.back().write(wholeRequest.substr(0, 10));
    }
    server.endInOrder();
    // Longer than the time after which idle connections are closed.
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    EXPECT_FALSE(server.ended());
    for (Caller &caller : reading)
        caller.write(wholeRequest.substr(10));
    for (Caller &caller : reading) {
        const std::string answer = caller.readAll();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    }
    EXPECT_TRUE(endsInTime());
}

// Guards against an end that waits for callers which keep their connections without using them.
TEST_P(EndInOrder, IdleConnectionsDoNotHoldUpTheEnd)
{
    std::deque<Caller> idle;
    for (int i = 0; i < callers; ++i) {
        idle.emplace_back(server.address()).write(wholeRequest);
        EXPECT_TRUE(idle.back().readHead().starts_with("HTTP/1.1 200"));
    }
    idle.emplace_back(server.address());
    server.endInOrder();
    EXPECT_TRUE(endsInTime());
}

INSTANTIATE_TEST_SUITE_P(Workers, EndInOrder, ::testing::Values(1U, 2U));

} // namespace

} // namespace fescue::net
