#include "tests/net/rawanswer.h"

#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace fescue::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A server that records the targets and bodies of the requests that reach its handler.
class RequestFraming : public testing::TestWithParam<const char *>
{
protected:
    RequestFraming() { EXPECT_TRUE(m_server.start()); }

    // Sends bytes and returns all that comes back until the server closes the connection.
    std::string exchange(const std::string &bytes)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.address().port});
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(bytes), ec);
        socket.shutdown(tcp::socket::shutdown_send, ec);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

    std::vector<std::string> handled()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_handled;
    }

private:
    void handle(const HttpRequest &request, ResponseWriter &writer)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_handled.push_back(request.target + ' ' + request.body);
        }
        static_cast<void>(writer.send({}));
    }

    std::mutex m_mutex;
    std::vector<std::string> m_handled;
    WorkerPool m_pool {1};
    HttpServer m_server {
        m_pool, anyPort, ServerLimits {},
        [this](const HttpRequest &request, ResponseWriter &writer) { handle(request, writer); }};
};

// Guards against running a caller's body as a request of its own, and its request without a body,
// because the length of the body cannot be told.
TEST_P(RequestFraming, LengthThatCannotBeToldIsRefused)
{
    const std::string inner = "POST /inner HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    const std::string answer =
        exchange(std::string("POST /outer ") + GetParam() + "\r\n\r\n" + inner);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_TRUE(handled().empty()) << handled().front();
}

INSTANTIATE_TEST_SUITE_P(
    Heads, RequestFraming,
    testing::Values("HTTP/1.1\r\nTransfer-Encoding: identity",
                    "HTTP/1.1\r\nTransfer-Encoding: gzip",
                    "HTTP/1.1\r\nTransfer-Encoding: chunked, gzip",
                    "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
                    "HTTP/1.1\r\nTransfer-Encoding: chunked, chunked",
                    "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity",
                    "HTTP/1.1\r\nTransfer-Encoding: identity\r\nTransfer-Encoding: chunked",
                    "HTTP/1.1\r\nTransfer-Encoding: xchunked",
                    "HTTP/1.1\r\nTransfer-Encoding: ", "HTTP/1.1\r\nTransfer-Encoding: \"chunked\"",
                    "HTTP/1.1\r\nTransfer-Encoding: chunked;q=1",
                    "HTTP/1.0\r\nTransfer-Encoding: chunked",
                    "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3",
                    "HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
                    "HTTP/1.1\r\nTransfer-Encoding: identity\r\nContent-Length: 44",
                    "HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 44",
                    "HTTP/1.1\r\nContent-Length: 0, 44", "HTTP/1.1\r\nContent-Length: +0",
                    "HTTP/1.1\r\nContent-Length: 0x0", "HTTP/1.1\r\nContent-Length:",
                    "HTTP/1.1\r\nContent-Length : 0", "HTTP/1.1\r\nHost: a\r\nHost: b"));

TEST_F(RequestFraming, UsualFramingsAreRead)
{
    EXPECT_TRUE(
        exchange("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                 "POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
                 "GET /c HTTP/1.1\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled(), (std::vector<std::string> {"/a abc", "/b de", "/c "}));
}

// Guards against passing on a body in a transfer coding that the header no longer names.
TEST(AnswerFraming, UnknownTransferCodingIsNoAnswer)
{
    for (const char *coding : {"identity", "gzip", "gzip, chunked", "chunked, gzip", ""}) {
        const Result<HttpResponse> response = readRawAnswer(
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding + "\r\n\r\nbody");
        ASSERT_FALSE(response) << coding;
        EXPECT_EQ(response.error().code, ResultCode::BackEndProtocol) << coding;
    }
}

// Guards against waiting for a body that answers to HEAD do not have.
TEST(AnswerFraming, AnswerToHeadHasNoBody)
{
    const Result<HttpResponse> response =
        readRawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "HEAD");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, "");
}

} // namespace

} // namespace fescue::net
