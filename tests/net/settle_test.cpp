#include "tests/net/closingserver.h"
#include "tests/net/nettest.h"

#include <gtest/gtest.h>

namespace fescue::net {

namespace {

// Sends one request whose connection is watched for a time first.
Result<HttpResponse> requestAfter(const Address &address, Millis settleTime)
{
    WorkerPool pool(1);
    HttpClient client;
    Result<HttpResponse> response = fail(ResultCode::Internal, "not run");
    runOn(pool, 0, [&] {
        HttpRequest request;
        request.freshConnection = true;
        request.settleTime = settleTime;
        response = client.request(address, request, 20_s);
    });
    pool.stop();
    pool.join();
    return response;
}

// A server that has as many connections as it takes resets new ones.
TEST(Settle, RequestIsNotSentOnAConnectionThatIsResetBefore)
{
    test::ClosingServer server;
    const Result<HttpResponse> response = requestAfter(server.address(), 15_s);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().code, ResultCode::ConnectFailed);
}

TEST(Settle, RequestIsSentOnAConnectionThatStaysOpen)
{
    WorkerPool pool(1);
    HttpServer server(pool, {"127.0.0.1", 0}, {}, [](const HttpRequest &, ResponseWriter &writer) {
        static_cast<void>(writer.send({200, {}, "body"}));
    });
    ASSERT_TRUE(server.start());
    const Result<HttpResponse> response = requestAfter(server.address(), 20_ms);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "body");
    pool.stop();
    pool.join();
}

} // namespace

} // namespace fescue::net
