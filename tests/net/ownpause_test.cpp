#include "tests/net/nettest.h"
#include "tests/net/rawengine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <thread>

namespace fescue::net {

namespace {

using boost::asio::ip::tcp;

constexpr Millis limit = 400_ms;
// The worker does not run from shortly before a limit until shortly after it.
constexpr Millis pauseAfter = 250_ms;
constexpr Millis pauseTime = 400_ms;
constexpr std::string_view requestText = "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n";

void sleepThread(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

// Keeps a worker from running, as a stopped process does not run.
void pauseWorker(WorkerPool &pool)
{
    pool.spawn(0, [] { sleepThread(pauseTime); });
}

// A server whose idle and head limits are short, and a connection to it that the test writes to.
class OwnPause : public ::testing::Test
{
protected:
    OwnPause() : m_server(m_pool, anyPort, limits(), answer)
    {
        EXPECT_TRUE(m_server.start());
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), m_server.address().port});
    }

    ~OwnPause() override
    {
        m_pool.stop();
        m_pool.join();
    }
    OwnPause(const OwnPause &) = delete;
    OwnPause &operator=(const OwnPause &) = delete;

    static ServerLimits limits()
    {
        ServerLimits limits;
        limits.idleTimeout = limit;
        limits.headTimeout = limit;
        return limits;
    }

    static void answer(const HttpRequest &, ResponseWriter &writer)
    {
        static_cast<void>(writer.send({200, {}, "served"}));
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }

    // Returns what the server writes next; empty once it has closed the connection.
    std::string receive()
    {
        std::array<char, 4096> buf {};
        boost::system::error_code ec;
        const std::size_t n = m_socket.read_some(boost::asio::buffer(buf), ec);
        return std::string(buf.data(), n);
    }

    WorkerPool m_pool {1};

private:
    HttpServer m_server;
    boost::asio::io_context m_context;
    tcp::socket m_socket {m_context};
};

} // namespace

// Guards against a kept connection that is closed as idle with a request in it, because this
// process did not run when the request arrived (soak, seed 16).
TEST_F(OwnPause, RequestThatArrivedBeforeTheIdleLimitIsServed)
{
    send(requestText);
    ASSERT_TRUE(receive().starts_with("HTTP/1.1 200"));
    sleepThread(pauseAfter);
    pauseWorker(m_pool);
    sleepThread(50_ms);
    send(requestText);
    EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
}

// Guards against the same for the limit on the arrival of one request.
TEST_F(OwnPause, RequestThatWasCompleteBeforeItsLimitIsServed)
{
    send(requestText.substr(0, requestText.size() / 2));
    sleepThread(pauseAfter);
    pauseWorker(m_pool);
    sleepThread(50_ms);
    send(requestText.substr(requestText.size() / 2));
    EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
}

// Guards against an answer of a back end that is given up although it arrived in time.
TEST_F(OwnPause, AnswerThatArrivedBeforeTheTimeoutIsTaken)
{
    const test::RawEngine backEnd([](std::string_view, const test::RawEngine::Write &write) {
        sleepThread(pauseAfter + 50_ms);
        write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
        return false;
    });
    Result<HttpResponse> response = fail(ResultCode::Internal, "not run");
    std::thread pausing([this] {
        sleepThread(pauseAfter);
        pauseWorker(m_pool);
    });
    runOn(m_pool, 0, [&] {
        HttpClient client;
        response = client.request(backEnd.address(), HttpRequest {}, limit);
    });
    pausing.join();
    ASSERT_TRUE(response) << response.error().toString();
    EXPECT_EQ(response->status, 200);
}

} // namespace fescue::net
