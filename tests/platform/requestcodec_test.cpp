#include "fescue/serving/endpointpauses.h"
#include "platform/codec.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

net::HttpRequest callerRequest()
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/a/b";
    request.query = "q=1";
    request.body = "body";
    request.headers = {{"Host", "a.example"},
                       {"X-Attempt-Id", "id-1"},
                       {"X-Model-Id", "m"},
                       {"X-Token-Usage", "1460,80"},
                       {"X-Prefix-Hash", "5c1e07a2:800,zz:1,91bd3f06:410"},
                       {"X-Length-Hint", "60"},
                       {"X-Deadline-Ms", "39000"},
                       {"X-Tenant-Id", "forged"},
                       {"X-Cache-Hold", "forged"},
                       {"X-Pin-Ms", "1"},
                       {"X-Kv-Backup", "10.0.0.1:1"},
                       {"Kv-From", "10.0.0.1:1/x"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"Authorization", "Token secret"},
                       {"X-Free", "kept"}};
    return request;
}

EngineSend makeSend()
{
    EngineSend send;
    send.endpoint = EndpointName("i-1");
    send.timeLeft = 1'234_ms;
    send.account = AccountName("diner");
    send.removeKey = true;
    return send;
}

int countOf(const net::HttpRequest &request, std::string_view name)
{
    return static_cast<int>(
        std::count_if(request.headers.begin(), request.headers.end(),
                      [name](const net::Header &header) { return header.name == name; }));
}

TEST(RequestCodec, ReadsTheFieldsOfACaller)
{
    const Result<CallerRequest> caller = platform::decodeCaller(callerRequest());
    ASSERT_TRUE(caller);
    EXPECT_EQ(caller->requestId, "id-1");
    EXPECT_EQ(caller->accountKey, "secret");
    EXPECT_EQ(caller->patience, 39_s);
    ASSERT_TRUE(caller->generation);
    EXPECT_EQ(caller->generation->promptTokens, 1'460U);
    EXPECT_EQ(caller->generation->maxOutputTokens, 80U);
    EXPECT_EQ(caller->generation->expectedOutputTokens, 60U);
    ASSERT_EQ(caller->promptParts.size(), 2U);
    EXPECT_EQ(caller->promptParts[1], (PromptPart {0x91bd3f06, 410}));
}

TEST(RequestCodec, MalformedNumbersAreRefused)
{
    for (const char *name : {"X-Deadline-Ms", "X-Token-Usage"}) {
        net::HttpRequest request = callerRequest();
        for (net::Header &header : request.headers) {
            if (header.name == name)
                header.value = "12x";
        }
        EXPECT_FALSE(platform::decodeCaller(request)) << name;
    }
}

TEST(RequestCodec, EndpointGetsTheRequestUnchangedButForTheSystemsFields)
{
    const net::HttpRequest request = callerRequest();
    const net::HttpRequest out = platform::encodeSend(request, makeSend());
    EXPECT_EQ(out.method, "POST");
    EXPECT_EQ(out.target, "/a/b");
    EXPECT_EQ(out.query, "q=1");
    EXPECT_EQ(out.bodyToSend(), "body");
    EXPECT_EQ(out.header("Host"), "a.example");
    EXPECT_EQ(out.header("X-Attempt-Id"), "id-1");
    EXPECT_EQ(out.header("X-Token-Usage"), "1460,80");
    EXPECT_EQ(out.header("X-Free"), "kept");
    EXPECT_EQ(out.header("X-Expected-Instance"), "i-1");
    EXPECT_EQ(out.header("X-Deadline-Ms"), "1234");
    EXPECT_EQ(out.header("X-Tenant-Id"), "diner");
    EXPECT_EQ(countOf(out, "X-Tenant-Id"), 1);
    EXPECT_EQ(countOf(out, "X-Deadline-Ms"), 1);
}

TEST(RequestCodec, WhatACallerMayNotSetIsDropped)
{
    const net::HttpRequest out = platform::encodeSend(callerRequest(), makeSend());
    for (const char *name : {"Authorization", "X-Cache-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                             "Connection", "X-Hop"})
        EXPECT_EQ(countOf(out, name), 0) << name;
}

TEST(RequestCodec, ResumedGenerationNamesItsCopy)
{
    EngineSend send = makeSend();
    send.resume = ResumePoint {{"10.0.0.9", 80}, "h7", 41};
    send.backup = net::Address {"10.0.0.8", 81};
    send.priority = 1;
    const net::HttpRequest out = platform::encodeSend(callerRequest(), send);
    EXPECT_EQ(out.header("Kv-From"), "10.0.0.9:80/h7");
    EXPECT_EQ(out.header("Last-Event-Id"), "41");
    EXPECT_EQ(out.header("X-Kv-Backup"), "10.0.0.8:81");
    EXPECT_EQ(out.header("X-Request-Priority"), "1");
}

// Guards against a stream from its beginning for a caller that has pieces of it.
TEST(RequestCodec, PositionOfACallerIsReadAndOnlyThatOfTheSystemIsSent)
{
    net::HttpRequest request = callerRequest();
    EXPECT_EQ(platform::decodeCaller(request)->lastEventId, "");
    request.headers.push_back({"Last-Event-Id", "7"});
    EXPECT_EQ(platform::decodeCaller(request)->lastEventId, "7");
    EngineSend send = makeSend();
    EXPECT_EQ(countOf(platform::encodeSend(request, send), "Last-Event-Id"), 0);
    send.lastEventId = 9;
    const net::HttpRequest out = platform::encodeSend(request, send);
    EXPECT_EQ(out.header("Last-Event-Id"), "9");
    EXPECT_EQ(countOf(out, "Last-Event-Id"), 1);
    EXPECT_EQ(countOf(out, "Kv-From"), 0);
}

TEST(RequestCodec, AnswerHeadsTellWhatRan)
{
    EXPECT_TRUE(platform::decodeAnswerHead(503, {{"X-Not-Executed", "1"}}).notRun);
    EXPECT_FALSE(platform::decodeAnswerHead(503, {}).notRun);
    EXPECT_FALSE(platform::decodeAnswerHead(500, {}).notRun);
    const EngineAnswerHead other = platform::decodeAnswerHead(421, {{"X-Instance-Id", "i-2"}});
    EXPECT_TRUE(other.otherEndpoint);
    EXPECT_TRUE(other.notRun);
    EXPECT_EQ(platform::decodeAnswerHead(200, {{"X-Attempt-Id", "id-1"}}).requestId, "id-1");
}

TEST(RequestCodec, AnswersOfAnyStatusTellThatTheirEndpointLeaves)
{
    for (const int status : {200, 421, 500, 503})
        EXPECT_TRUE(platform::decodeAnswerHead(status, {{"Server-Leaving", "1"}}).leaving);
    EXPECT_FALSE(platform::decodeAnswerHead(200, {{"Server-Leaving", "0"}}).leaving);
    EXPECT_FALSE(platform::decodeAnswerHead(200, {}).leaving);
}

TEST(RequestCodec, PausesAreReadFromRefusalsOnly)
{
    const EngineAnswerHead head = platform::decodeAnswerHead(503, {{"Retry-After", "2"}});
    EXPECT_TRUE(head.asksPause);
    EXPECT_EQ(head.pause, 2_s);
    EXPECT_TRUE(platform::decodeAnswerHead(429, {{"Retry-After", "2"}}).asksPause);
    EXPECT_FALSE(platform::decodeAnswerHead(503, {}).asksPause);
    EXPECT_FALSE(platform::decodeAnswerHead(500, {{"Retry-After", "2"}}).asksPause);
    EXPECT_FALSE(platform::decodeAnswerHead(200, {{"Retry-After", "2"}}).asksPause);
}

TEST(RequestCodec, PausesMayHaveFractionsAndAnySize)
{
    const auto pause = [](const char *text) {
        return platform::decodeAnswerHead(503, {{"Retry-After", text}}).pause;
    };
    EXPECT_EQ(pause("0"), 0_s);
    EXPECT_EQ(pause("0.25"), 250_ms);
    EXPECT_EQ(pause(".5"), 500_ms);
    EXPECT_EQ(pause("3."), 3_s);
    EXPECT_EQ(pause("0.0001"), 1_ms);
    EXPECT_EQ(pause("99999999999999"), EndpointPauses::maxPause);
    EXPECT_EQ(pause("99999999999999999999999999999"), EndpointPauses::maxPause);
    for (const char *text : {"-1", "+2", "1e3", "nan", "inf", "0x10", ".", "1.2.3", "soon",
                             "Wed, 21 Oct 2026 07:28:00 GMT"})
        EXPECT_FALSE(pause(text)) << text;
}

// Guards against passing a success on that is not the engine's: without its signature, or with a
// body in an encoding that nobody asked for.
TEST(RequestCodec, SuccessWithoutASignatureOrInAnEncodingIsNotTheEndpoints)
{
    const auto isForeign = [](int status, const std::vector<net::Header> &headers) {
        return platform::decodeAnswerHead(status, headers).isForeignSuccess;
    };
    const net::Header signature {"X-Server-Signature", "3e1b.07"};
    EXPECT_FALSE(isForeign(200, {signature}));
    EXPECT_FALSE(isForeign(206, {{"x-server-signature", "s"}}));
    EXPECT_FALSE(isForeign(200, {signature, {"Content-Encoding", "identity"}}));
    EXPECT_TRUE(isForeign(200, {}));
    EXPECT_TRUE(isForeign(204, {{"X-Server-Signature", ""}}));
    EXPECT_TRUE(isForeign(200, {{"X-Server-Signatur", "s"}}));
    EXPECT_TRUE(isForeign(200, {signature, {"Content-Encoding", "gzip"}}));
    // A failure promises nothing that a signature would vouch for.
    EXPECT_FALSE(isForeign(500, {}));
    EXPECT_FALSE(isForeign(503, {{"X-Not-Executed", "1"}}));
}

TEST(RequestCodec, AnswersKeepTheirSignatureAndLoseConnectionHeaders)
{
    const std::vector<net::Header> headers = platform::answerHeaders(
        {{"X-Server-Signature", "s"}, {"Keep-Alive", "timeout=5"}, {"Connection", "close"}});
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers[0].value, "s");
}

TEST(RequestCodec, RefusalsAskBackInFractionsOfASecond)
{
    const net::HttpResponse response = platform::encodeRefusal(
        {503, ResultCode::NoCapacity, RunState::NotRun, "full", Millis {250}});
    EXPECT_EQ(response.header("Retry-After"), "0.250");
}

TEST(MoveCodec, AnswersOfACopy)
{
    EXPECT_EQ(platform::decodeMoveAnswer(200, R"({"Handle":"h","Created":12})"),
              (MoveAnswer {MoveOutcome::Copied, "h", 12}));
    EXPECT_EQ(platform::decodeMoveAnswer(503, R"({"Handle":7})"),
              (MoveAnswer {MoveOutcome::NoRoom, "7", 0}));
    EXPECT_EQ(platform::decodeMoveAnswer(404, "").outcome, MoveOutcome::NoSuchRun);
    EXPECT_EQ(platform::decodeMoveAnswer(409, "{").outcome, MoveOutcome::Busy);
    EXPECT_EQ(platform::decodeMoveAnswer(500, "").outcome, MoveOutcome::Unclear);
    EXPECT_EQ(platform::decodeMoveAnswer(503, "").outcome, MoveOutcome::NoRoom);
}

// Guards against taking a generation for running, or for copied, if the engine's answer names the
// copy in a form that cannot be used.
TEST(MoveCodec, CopyWithoutAUsableNameIsUnclear)
{
    for (const int status : {200, 503}) {
        for (const char *body : {R"({"Handle":[7]})", R"({"Handle":null})", R"({"Handle":-1})"})
            EXPECT_EQ(platform::decodeMoveAnswer(status, body).outcome, MoveOutcome::Unclear);
    }
    for (const char *body : {"", "{}", "[", R"({"Created":3})"})
        EXPECT_EQ(platform::decodeMoveAnswer(200, body).outcome, MoveOutcome::Unclear);
}

TEST(MoveCodec, CallNamesGenerationAndDestination)
{
    const net::HttpRequest request = platform::encodeMove({"id-1", {"10.0.0.8", 81}, true});
    EXPECT_EQ(request.target, "/kv-move");
    EXPECT_EQ(request.body, R"({"Final":true,"Id":"id-1","To":"10.0.0.8:81"})");
}

TEST(ReportCodec, ReadsWhatAnEngineKnows)
{
    const Result<EngineReport> report = platform::decodeReport(
        R"({"Phase":"combined","Queued":1,"Active":12,"KvUsed":41000,"KvTotal":90000,"leaves_ms":800})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->leavesIn, 800_ms);
    EXPECT_EQ(report->running, 12U);
    EXPECT_FALSE(platform::decodeReport(R"({"State":"draining","Queued":1,"Active":12,)"
                                        R"("KvUsed":41000,"KvTotal":90000})")
                     ->leavesIn);
    EXPECT_FALSE(platform::decodeReport("{}"));
    EXPECT_FALSE(platform::decodeReport("nonsense"));
}

TEST(DirectoryCodec, QuestionAndAnswer)
{
    net::HttpRequest request;
    request.target = "/resolution";
    request.query = "Name=a.example&Region=pnw&Zone=pnw-a";
    EXPECT_EQ(platform::decodeResolution(request), ZoneName("pnw-a"));
    request.target = "/other";
    EXPECT_FALSE(platform::decodeResolution(request));
    EXPECT_EQ(platform::encodeResolution({"10.0.0.1:80"}, 2_s).body,
              R"({"Addresses":["10.0.0.1:80"],"TtlS":2.0})");
}

} // namespace
