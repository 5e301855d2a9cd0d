#include "gatewayfixture.h"

namespace {

using namespace fescue;
using namespace fescue::test;

class Relay : public GatewayFixture
{
protected:
    void useEngines(ScriptedEngine::Script first, ScriptedEngine::Script second = {})
    {
        addService("draft", ServiceKind::Model);
        engine = std::make_unique<ScriptedEngine>(pool, std::move(first));
        addEndpoint("ash-1", "draft", "z1", engine->address());
        if (second) {
            spare = std::make_unique<ScriptedEngine>(pool, std::move(second));
            addEndpoint("birch-1", "draft", "z2", spare->address());
        }
        serve();
    }

    ~Relay() override
    {
        server.reset();
        engine.reset();
        spare.reset();
    }

    std::unique_ptr<ScriptedEngine> engine;
    std::unique_ptr<ScriptedEngine> spare;
};

void wholeStream(const net::HttpRequest &, net::ResponseWriter &writer)
{
    ScriptedEngine::sendHead(writer);
    ScriptedEngine::sendTokens(writer, 0, 10);
    ScriptedEngine::sendEnd(writer);
}

// Cuts new streams after five tokens and serves resumes from the token asked for.
void cutThenResume(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    ScriptedEngine::sendHead(writer);
    if (request.method == "POST") {
        ScriptedEngine::sendTokens(writer, 0, 5);
        writer.abort();
        return;
    }
    ScriptedEngine::sendTokens(writer, std::stoi(request.queryValue("from").value_or("0")), 10);
    ScriptedEngine::sendEnd(writer);
}

TEST_F(Relay, DeliversAWholeStreamInOrder)
{
    useEngines(wholeStream);
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(tokenIndexes(answer.body), upTo(10));
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_F(Relay, GathersTheTextWhereNoStreamIsAskedFor)
{
    useEngines(wholeStream);
    const net::HttpResponse answer = ask(completion("draft", false));
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("t0t1t2t3t4t5t6t7t8t9"), std::string::npos) << answer.body;
}

TEST_F(Relay, ResumesACutStreamWithoutLossOrRepetition)
{
    useEngines(cutThenResume);
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(tokenIndexes(answer.body), upTo(10));
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(engine->requests().size(), 2U);
}

TEST_F(Relay, DropsTokensThatAnEngineRepeats)
{
    useEngines([](const net::HttpRequest &, net::ResponseWriter &writer) {
        ScriptedEngine::sendHead(writer);
        ScriptedEngine::sendTokens(writer, 0, 6);
        ScriptedEngine::sendTokens(writer, 3, 10);
        ScriptedEngine::sendEnd(writer);
    });
    EXPECT_EQ(tokenIndexes(ask(completion()).body), upTo(10));
}

TEST_F(Relay, ResumesAtAGap)
{
    useEngines([](const net::HttpRequest &request, net::ResponseWriter &writer) {
        ScriptedEngine::sendHead(writer);
        const int from = std::stoi(request.queryValue("from").value_or("0"));
        ScriptedEngine::sendTokens(writer, from, 5);
        ScriptedEngine::sendTokens(writer, from == 0 ? 7 : 5, 10);
        ScriptedEngine::sendEnd(writer);
    });
    EXPECT_EQ(tokenIndexes(ask(completion()).body), upTo(10));
}

TEST_F(Relay, NeverMixesTwoGenerations)
{
    useEngines([](const net::HttpRequest &request, net::ResponseWriter &writer) {
        if (request.method == "POST") {
            ScriptedEngine::sendHead(writer);
            ScriptedEngine::sendTokens(writer, 0, 5);
            writer.abort();
            return;
        }
        ScriptedEngine::sendHead(writer, "8");
        ScriptedEngine::sendTokens(writer, 5, 10);
        ScriptedEngine::sendEnd(writer);
    });
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(tokenIndexes(answer.body), upTo(5));
    EXPECT_NE(answer.body.find("event: error"), std::string::npos);
    EXPECT_NE(answer.body.find("\"code\":3002"), std::string::npos) << answer.body;
    EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
}

TEST_F(Relay, StartsAfreshElsewhereWhileNothingWasDelivered)
{
    const ScriptedEngine::Script broken = [](const net::HttpRequest &,
                                             net::ResponseWriter &writer) {
        ScriptedEngine::sendHead(writer);
        writer.abort();
    };
    std::atomic<int> served {0};
    const ScriptedEngine::Script either = [&served, broken](const net::HttpRequest &request,
                                                            net::ResponseWriter &writer) {
        if (request.method != "POST") {
            static_cast<void>(writer.send(net::HttpResponse {404, {}, {}}));
            return;
        }
        if (served++ == 0)
            broken(request, writer);
        else
            wholeStream(request, writer);
    };
    useEngines(either, either);
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(tokenIndexes(answer.body), upTo(10)) << answer.body;
}

TEST_F(Relay, ResumesForACallerWhoLostItsEntry)
{
    useEngines(wholeStream);
    const std::string events = ask(completion()).body;
    net::HttpRequest request;
    request.target = "/v1/streams";
    const std::string id = lastEventId(events);
    request.headers.push_back({"Last-Event-ID", id.substr(0, id.rfind(':')) + ":3"});
    const std::string rest = ask(request).body;
    EXPECT_EQ(tokenIndexes(rest), (std::vector<int> {4, 5, 6, 7, 8, 9}));
}

TEST_F(Relay, RefusesToResumeForAnotherAccount)
{
    useEngines(wholeStream);
    const std::string events = ask(completion()).body;
    net::HttpRequest request;
    request.target = "/v1/streams";
    request.headers.push_back({"Last-Event-ID", lastEventId(events)});
    const net::HttpResponse answer = ask(request, otherKey);
    EXPECT_EQ(answer.status, 400);
    EXPECT_NE(answer.body.find("\"code\":1008"), std::string::npos) << answer.body;
}

TEST_F(Relay, RefusesAtOnceWhenTheEngineRefuses)
{
    useEngines([](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(net::HttpResponse {503, {{"Retry-After", "2"}}, {}}));
    });
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("\"run\":\"not-run\""), std::string::npos) << answer.body;
    EXPECT_FALSE(answer.header("Retry-After").empty());
}

} // namespace
