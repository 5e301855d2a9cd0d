#include "fescue/tools/blockinghttp.h"
#include "fescue/tools/blockingstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace fescue;
using namespace fescue::tools;
using boost::asio::ip::tcp;

// Accepts one connection, keeps the head of the request and sends a fixed answer.
class OneShotServer
{
public:
    // An empty answer keeps the connection open until the end of this object.
    explicit OneShotServer(std::string answer)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          m_socket(m_context), m_thread([this, text = std::move(answer)] { serve(text); })
    { }
    ~OneShotServer() { m_thread.join(); }
    OneShotServer(const OneShotServer &) = delete;
    OneShotServer &operator=(const OneShotServer &) = delete;

    [[nodiscard]] HostPort address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    // The head of the request; call after the answer has arrived.
    [[nodiscard]] const std::string &head() const noexcept { return m_head; }

private:
    void serve(const std::string &answer)
    {
        m_acceptor.accept(m_socket);
        boost::system::error_code ec;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_head), "\r\n\r\n", ec);
        if (answer.empty())
            return;
        boost::asio::write(m_socket, boost::asio::buffer(answer), ec);
        m_socket.close(ec);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_head;
    std::thread m_thread;
};

std::string answerWith(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(BlockingHttp, ReadsTheWholeAnswer)
{
    OneShotServer server(answerWith(200, "body"));
    const Result<HttpReply> reply = callHttp(server.address(), {}, 5_s);
    ASSERT_TRUE(reply) << reply.error().toString();
    EXPECT_EQ(reply->status, 200);
    EXPECT_EQ(reply->body, "body");
}

TEST(BlockingHttp, NothingListensThere)
{
    EXPECT_EQ(callHttp({"127.0.0.1", 1}, {}, 5_s).error().code, ResultCode::ConnectFailed);
}

TEST(BlockingHttp, GivesUpOnASilentServer)
{
    OneShotServer server("");
    EXPECT_EQ(callHttp(server.address(), {}, 50_ms).error().code, ResultCode::LinkSilent);
}

TEST(BlockingHttp, AnAnswerThatBreaksOffIsAnError)
{
    OneShotServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    EXPECT_EQ(callHttp(server.address(), {}, 5_s).error().code, ResultCode::LinkClosed);
}

TEST(BlockingHttp, AnAnswerThatIsNotHttpIsAnError)
{
    OneShotServer server("what?\r\n\r\n");
    EXPECT_EQ(callHttp(server.address(), {}, 5_s).error().code, ResultCode::MessageMalformed);
}

BlockingStore storeAt(const OneShotServer &server, Millis timeout = 5_s)
{
    return {server.address(), timeout};
}

TEST(BlockingStore, ReadsAValue)
{
    OneShotServer server(answerWith(200, R"({"key":"a/b","value":"v","revision":7})"));
    const Result<StoreValue> value = storeAt(server).get("a/b");
    ASSERT_TRUE(value) << value.error().toString();
    EXPECT_EQ(value->value, "v");
    EXPECT_EQ(value->revision, 7U);
    EXPECT_EQ(server.head().rfind("GET /v1/kv/a/b HTTP/1.1\r\n", 0), 0U);
}

TEST(BlockingStore, AnAbsentKeyHasRevisionZero)
{
    OneShotServer server(answerWith(404, "{}"));
    EXPECT_EQ(storeAt(server).get("a").value().revision, 0U);
}

TEST(BlockingStore, WritesWithTheRevisionAsCondition)
{
    OneShotServer server(answerWith(200, R"({"revision":9})"));
    EXPECT_EQ(storeAt(server).putIf("a", "v", 7).value(), 9U);
    EXPECT_NE(server.head().find("If-Match: 7\r\n"), std::string::npos) << server.head();
}

TEST(BlockingStore, CreatesWhereTheKeyIsAbsent)
{
    OneShotServer server(answerWith(200, R"({"revision":9})"));
    EXPECT_EQ(storeAt(server).putIf("a", "v", 0).value(), 9U);
    EXPECT_NE(server.head().find("If-None-Match: *\r\n"), std::string::npos) << server.head();
}

struct AnswerCase
{
    const char *label;
    std::string answer;
    ResultCode code;
};

std::ostream &operator<<(std::ostream &stream, const AnswerCase &item)
{
    return stream << item.label;
}

const AnswerCase answerCases[] = {
    {"Conflict", answerWith(412, R"({"revision":8})"), ResultCode::StoreConflict},
    {"Outage", answerWith(503, ""), ResultCode::StoreUnavailable},
    {"TooMany", answerWith(429, ""), ResultCode::StoreUnavailable},
    {"OtherStatus", answerWith(400, ""), ResultCode::StoreProtocol},
    {"NotJson", answerWith(200, "yes"), ResultCode::StoreProtocol},
    {"NoRevision", answerWith(200, "{}"), ResultCode::StoreProtocol},
    {"BrokenOff", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ResultCode::StoreTimeout},
    {"NotHttp", "what?\r\n\r\n", ResultCode::StoreProtocol},
};

class StoreAnswer : public ::testing::TestWithParam<AnswerCase>
{ };

TEST_P(StoreAnswer, HasItsCode)
{
    OneShotServer server(GetParam().answer);
    const Result<std::uint64_t> written = storeAt(server).putIf("a", "v", 7);
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().code, GetParam().code) << written.error().toString();
}

INSTANTIATE_TEST_SUITE_P(Each, StoreAnswer, ::testing::ValuesIn(answerCases),
                         [](const ::testing::TestParamInfo<AnswerCase> &info) {
                             return std::string(info.param.label);
                         });

// Guards against an empty or short answer of the store or of a daemon that counts as whole, because
// the peer has stopped in the middle of its head.
TEST(BlockingHttp, AnswerCutInItsHeadIsAnError)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n{}";
    for (std::size_t n = 1; n < whole.size(); ++n) {
        OneShotServer server(whole.substr(0, n));
        EXPECT_FALSE(callHttp(server.address(), {}, 5_s)) << n;
    }
}

} // namespace
