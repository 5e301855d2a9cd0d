#include "tests/net/nettest.h"
#include "tests/net/rawserver.h"

#include <array>

namespace fescue::net {

namespace {

using test::RawServer;

// What a client may take from a server whose answer has no end: its limits and what lies in the
// sockets' buffers.
constexpr std::size_t mostTaken = std::size_t {12} * 1024 * 1024;
// What a faulty server would write if the client let it.
constexpr std::size_t mostOffered = std::size_t {64} * 1024 * 1024;
constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Servers whose bytes come without end until the client closes.
class EndlessBytes : public ::testing::Test
{
protected:
    // Calls the server and returns the code of the failure, Ok where there is none.
    ResultCode call(const RawServer &server, Millis timeout = 5_s)
    {
        ResultCode code = ResultCode::Ok;
        runOn(m_pool, 0, [&] {
            const Result<HttpResponse> response =
                m_client.request(server.address(), HttpRequest {}, timeout);
            code = response ? ResultCode::Ok : response.error().code;
            m_lastStatus = response ? response->status : 0;
        });
        return code;
    }

    // Sends `start` and then `piece` without end. The client gives up, and takes little of it.
    void expectGivenUp(std::string_view start, std::string_view piece)
    {
        RawServer server([start, piece](RawServer &s) {
            s.write(start);
            s.writeEndlessly(piece, mostOffered);
        });
        EXPECT_EQ(call(server), ResultCode::BackEndProtocol);
        EXPECT_LT(server.written(), mostTaken);
    }

    static ClientLimits limits()
    {
        ClientLimits limits;
        limits.maxBodyBytes = 100'000;
        return limits;
    }

    int m_lastStatus = 0;
    WorkerPool m_pool {1};
    HttpClient m_client {limits()};
};

TEST_F(EndlessBytes, HeadWithoutALineEnd)
{
    expectGivenUp("", "x");
}

TEST_F(EndlessBytes, HeadOfEndlessFields)
{
    expectGivenUp("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
}

TEST_F(EndlessBytes, InterimAnswersWithoutAnAnswer)
{
    expectGivenUp("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(EndlessBytes, BodyWithoutALength)
{
    expectGivenUp("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x");
}

TEST_F(EndlessBytes, BodyOfEndlessChunks)
{
    expectGivenUp(chunkedHead, "4\r\nabcd\r\n");
}

TEST_F(EndlessBytes, ChunkExtensionWithoutALineEnd)
{
    expectGivenUp(std::string(chunkedHead) + "4;a=", "x");
}

TEST_F(EndlessBytes, TrailerOfEndlessFields)
{
    expectGivenUp(std::string(chunkedHead) + "4\r\nabcd\r\n0\r\n", "X-Field: value\r\n");
}

TEST_F(EndlessBytes, HeadThatGetsAByteNowAndThenEndsAtTheTimeout)
{
    RawServer server([](RawServer &s) {
        while (s.write("x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    EXPECT_EQ(call(server, 300_ms), ResultCode::BackEndTimeout);
}

TEST_F(EndlessBytes, BodyThatGetsAByteNowAndThenEndsAtTheTimeout)
{
    RawServer server([](RawServer &s) {
        s.write("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n");
        while (s.write("x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    EXPECT_EQ(call(server, 300_ms), ResultCode::BackEndTimeout);
}

TEST_F(EndlessBytes, InterimAnswersBeforeAnAnswerAreSkipped)
{
    RawServer server([](RawServer &s) {
        s.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 0\r\n\r\n");
    });
    EXPECT_EQ(call(server), ResultCode::Ok);
    EXPECT_EQ(m_lastStatus, 200);
}

TEST_F(EndlessBytes, RequestWithAnEndlessChunkExtensionIsRefused)
{
    std::atomic<int> requests {0};
    HttpServer server(m_pool, anyPort, {},
                      [&requests](const HttpRequest &, ResponseWriter &) { ++requests; });
    ASSERT_TRUE(server.start());
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.address().port});
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;a=";
    const std::string bytes(16384, 'x');
    boost::system::error_code ec;
    std::size_t written = boost::asio::write(socket, boost::asio::buffer(head), ec);
    while (!ec && written < mostOffered)
        written += boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    EXPECT_TRUE(ec);
    EXPECT_LT(written, mostTaken);
    EXPECT_EQ(requests, 0);
}

} // namespace

} // namespace fescue::net
