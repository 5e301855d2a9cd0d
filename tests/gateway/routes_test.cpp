#include "gatewayfixture.h"

namespace {

using namespace fescue;
using namespace fescue::test;

class Routes : public GatewayFixture
{
protected:
    void SetUp() override
    {
        addService("draft", ServiceKind::Model);
        addService("ledger", ServiceKind::Plain,
                   {{"/balance", true, 5_s}, {"/adjust", false, 5_s}});
        serve();
    }

    static net::HttpRequest request(std::string method, std::string target, std::string body = {})
    {
        net::HttpRequest made;
        made.method = std::move(method);
        made.target = std::move(target);
        made.body = std::move(body);
        return made;
    }

    // Expects a refusal that says that nothing ran.
    void expectRefused(const net::HttpRequest &request, int status, ResultCode code)
    {
        const net::HttpResponse answer = ask(request);
        EXPECT_EQ(answer.status, status) << answer.body;
        EXPECT_EQ(answer.header("Content-Type"), "application/problem+json");
        const std::string number = "\"code\":" + std::to_string(static_cast<int>(code)) + ",";
        EXPECT_NE(answer.body.find(number), std::string::npos) << answer.body;
        EXPECT_NE(answer.body.find("\"run\":\"not-run\""), std::string::npos) << answer.body;
    }
};

TEST_F(Routes, UnknownKeyIs401)
{
    EXPECT_EQ(ask(completion(), "no-such-key").status, 401);
}

TEST_F(Routes, BadInputIsRefusedWithItsOwnCode)
{
    expectRefused(request("POST", "/v1/completions", "{"), 400, ResultCode::BadRequest);
    expectRefused(request("POST", "/v1/completions", "[]"), 400, ResultCode::BadRequest);
    expectRefused(request("POST", "/v1/completions", R"({"model":1,"prompt":""})"), 400,
                  ResultCode::BadRequest);
    expectRefused(
        request("POST", "/v1/completions", R"({"model":"draft","prompt":"","max_tokens":-1})"), 400,
        ResultCode::BadRequest);
    expectRefused(completion("no-such-model"), 404, ResultCode::UnknownModel);
    expectRefused(request("GET", "/v1/streams"), 400, ResultCode::BadEventId);
    expectRefused(request("GET", "/v1/nothing"), 404, ResultCode::NoSuchRoute);
    expectRefused(request("POST", "/v1/services/none/x"), 404, ResultCode::UnknownService);
    expectRefused(request("POST", "/v1/services/ledger/adjust"), 400,
                  ResultCode::MissingIdempotencyKey);
    net::HttpRequest late = completion();
    late.headers.push_back({"X-Deadline-Ms", "soon"});
    expectRefused(late, 400, ResultCode::BadRequest);
}

TEST_F(Routes, ServiceWithoutEndpointsRefusesAtOnce)
{
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.header("Retry-After").empty());
}

TEST_F(Routes, LeavingEntryRefusesAsNotRun)
{
    intake.close();
    expectRefused(completion(), 503, ResultCode::ShuttingDown);
}

TEST_F(Routes, EntryThatIsCutOffStartsNoNewWork)
{
    publish(FreshnessVerdict::Isolated);
    expectRefused(completion(), 503, ResultCode::ViewOutdated);
}

TEST_F(Routes, StreamLimitOfAnAccount)
{
    const std::optional<gateway::StreamTicket> ticket =
        streams.open(AccountName {"a1"}, snapshot->accounts.front().maxStreams);
    ASSERT_TRUE(ticket.has_value());
    snapshot->accounts.front().maxStreams = 1;
    expectRefused(completion(), 429, ResultCode::AccountStreamLimit);
}

} // namespace
