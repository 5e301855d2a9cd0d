#include "gatewayfixture.h"
#include "tests/net/rawengine.h"

#include <atomic>

namespace {

using namespace fescue;
using namespace fescue::test;
using Write = RawEngine::Write;

// A gateway before back ends that write an earlier answer once more on a connection that is kept.
class RepeatedAnswer : public GatewayFixture
{
protected:
    ~RepeatedAnswer() override
    {
        // Connections that are kept would hold up the end of the back end.
        server.reset();
        if (backEnd)
            client.dropIdle(backEnd->address());
        pool.stop();
        pool.join();
    }

    void useService(RawEngine::Script script)
    {
        addService("ledger", ServiceKind::Plain,
                   {{"/balance", true, 2_s}, {"/adjust", false, 2_s}});
        backEnd = std::make_unique<RawEngine>(std::move(script));
        addEndpoint("ledger-1", "ledger", "z1", backEnd->address().toString());
        serve();
    }

    net::HttpResponse balance()
    {
        net::HttpRequest request;
        request.target = "/v1/services/ledger/balance";
        return ask(request);
    }

    // The value of a header in the head of a request.
    static std::string headerOf(std::string_view head, const std::string &name)
    {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string_view::npos)
            return {};
        const std::size_t begin = at + name.size() + 4;
        return std::string(head.substr(begin, head.find("\r\n", begin) - begin));
    }

    static std::string response(const std::string &status, const std::string &id,
                                const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "X-Request-Id: " + id + "\r\n")
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Writes the earlier answer of this connection, if there is one, and then the next.
    static void writeAfterEarlier(const Write &write, const std::string &next)
    {
        // Each connection has a thread of its own.
        thread_local std::string earlier;
        write(earlier + next);
        earlier = next;
    }

    std::unique_ptr<RawEngine> backEnd;
};

// Guards against passing an earlier answer on as that of a later call: the service does not say
// which call an answer is for, and writes each answer again when the next call comes.
TEST_F(RepeatedAnswer, WithoutAnIdNeverAnswersALaterCall)
{
    std::atomic<int> calls {0};
    useService([&](std::string_view, const Write &write) {
        const int n = ++calls;
        writeAfterEarlier(write,
                          n == 1 ? response("503 Full", {}, "not run")
                                 : response("200 OK", {}, "answer " + std::to_string(n)));
        return true;
    });
    EXPECT_EQ(balance().status, 503);
    for (int n = 2; n <= 4; ++n) {
        const net::HttpResponse answer = balance();
        EXPECT_EQ(answer.body, "answer " + std::to_string(n));
    }
}

// Guards against the same with a service that names the call of an answer, whose connections are
// kept.
TEST_F(RepeatedAnswer, WithAnotherIdIsSkipped)
{
    std::atomic<int> calls {0};
    useService([&](std::string_view head, const Write &write) {
        const std::string body = "answer " + std::to_string(++calls);
        writeAfterEarlier(write, response("200 OK", headerOf(head, "X-Request-Id"), body));
        return true;
    });
    for (int n = 1; n <= 4; ++n)
        EXPECT_EQ(balance().body, "answer " + std::to_string(n));
    EXPECT_EQ(calls, 4);
    EXPECT_EQ(backEnd->connections(), 1U);
}

// Guards against passing an earlier generation on to the caller of a later one: a head names the
// stream that it begins, not the request that it answers.
TEST_F(RepeatedAnswer, EarlierGenerationIsNotThatOfALaterCaller)
{
    std::atomic<int> started {0};
    addService("draft", ServiceKind::Model);
    backEnd = std::make_unique<RawEngine>([&](std::string_view, const Write &write) {
        const std::string n = std::to_string(++started);
        const std::string body =
            "id: 0\ndata: {\"choices\":[{\"text\":\"text " + n + "\"}]}\n\ndata: [DONE]\n\n";
        writeAfterEarlier(write,
                          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "X-Incarnation: 7\r\nX-Stream-Id: s"
                              + n + "\r\nContent-Length: " + std::to_string(body.size())
                              + "\r\n\r\n" + body);
        return true;
    });
    addEndpoint("ash-1", "draft", "z1", backEnd->address().toString());
    serve();
    for (int n = 1; n <= 3; ++n) {
        const net::HttpResponse answer = ask(completion());
        EXPECT_NE(answer.body.find("text " + std::to_string(n)), std::string::npos) << answer.body;
    }
    EXPECT_EQ(started, 3);
}

// Guards against telling a caller that its generation has not run because the engine writes an
// earlier refusal once more.
TEST_F(RepeatedAnswer, EarlierRefusalOfAnEngineIsNotThatOfALaterGeneration)
{
    std::atomic<int> requests {0};
    std::atomic<int> started {0};
    addService("draft", ServiceKind::Model);
    backEnd = std::make_unique<RawEngine>([&](std::string_view, const Write &write) {
        const bool refuses = requests++ == 0;
        std::string own = "HTTP/1.1 503 Full\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n";
        if (!refuses) {
            ++started;
            own = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Incarnation: 7\r\n"
                  "X-Stream-Id: s1\r\nConnection: close\r\n\r\n"
                  "id: 0\ndata: {\"choices\":[{\"text\":\"t\"}]}\n\ndata: [DONE]\n\n";
        }
        writeAfterEarlier(write, own);
        return refuses;
    });
    addEndpoint("ash-1", "draft", "z1", backEnd->address().toString());
    serve();
    // The first try is refused truly; the gateway tries again on its own.
    const net::HttpResponse answer = ask(completion());
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(tokenIndexes(answer.body), upTo(1));
    EXPECT_EQ(started, 1);
}

} // namespace
