#include "tests/net/nettest.h"
#include "tests/standins/engine/enginestandin.h"

namespace fescue::net {

namespace {

using standins::Json;
using standins::tokenText;

// The engine's stand-in behind the real server and client.
class EngineStandInTest : public ::testing::Test
{
protected:
    EngineStandInTest()
    {
        EXPECT_TRUE(m_server.start());
        m_pool.spawn(0, [this] { m_engine.run(); });
    }

    static standins::EngineStandInOptions options()
    {
        standins::EngineStandInOptions options;
        options.engine.stepBaseMicros = 1000;
        options.engine.stepPerSequenceMicros = 0;
        options.engine.restartTime = 20_ms;
        options.checksFencing = true;
        return options;
    }

    Result<ClientStream> open(const std::string &method, const std::string &target,
                              const Json &body, const std::string &query = "")
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.query = query;
        if (!body.is_null())
            request.body = body.dump();
        return m_http.openStream(m_server.address(), request, 5_s);
    }

    Json call(const std::string &method, const std::string &target, const Json &body = {})
    {
        Result<ClientStream> stream = open(method, target, body);
        EXPECT_TRUE(stream) << target;
        return Json::parse(*stream->readAll(100'000, 5_s));
    }

    // Text of the events up to the end of the stream; the ids must count on from the first.
    static std::string readText(ClientStream &stream, std::uint32_t from)
    {
        std::string text;
        bool done = false;
        SseParser parser;
        const Result<std::string> body = stream.readAll(1'000'000, 10_s);
        EXPECT_TRUE(body) << body.error().toString();
        EXPECT_TRUE(parser.feed(*body, [&](const SseEvent &event) {
            done = event.data == "[DONE]";
            if (done)
                return;
            EXPECT_EQ(event.id, std::to_string(from++));
            text += Json::parse(event.data)["choices"][0]["text"].get<std::string>();
        }));
        EXPECT_TRUE(done);
        return text;
    }

    static std::string expectedText(const std::string &prompt, std::uint32_t from, std::uint32_t to)
    {
        std::string text;
        for (; from < to; ++from)
            text += tokenText(prompt, from);
        return text;
    }

    standins::EngineStandIn m_engine {options()};
    WorkerPool m_pool {1};
    HttpServer m_server {
        m_pool, anyPort, {}, [this](const HttpRequest &request, ResponseWriter &writer) {
            m_engine.handle(request, writer);
        }};
    HttpClient m_http;
};

TEST_F(EngineStandInTest, StreamsAreWholeAndCanBeResumed)
{
    runOn(m_pool, 0, [this] {
        const std::string prompt = "draft #out=20";
        Result<ClientStream> stream =
            open("POST", "/v1/completions", {{"model", "m"}, {"prompt", prompt}});
        ASSERT_TRUE(stream);
        ASSERT_EQ(stream->status(), 200);
        EXPECT_FALSE(stream->header("X-Incarnation").empty());
        const std::string path = "/v1/streams/" + std::string(stream->header("X-Stream-Id"));
        EXPECT_EQ(readText(*stream, 0), expectedText(prompt, 0, 20));
        Result<ClientStream> resumed = open("GET", path, {}, "from=15");
        EXPECT_EQ(readText(*resumed, 15), expectedText(prompt, 15, 20));
        EXPECT_EQ(open("DELETE", path, {})->status(), 204);
        EXPECT_EQ(open("GET", path, {})->status(), 404);
    });
}

TEST_F(EngineStandInTest, CrashEndsStreamsAndStartsANewIncarnation)
{
    runOn(m_pool, 0, [this] {
        Result<ClientStream> stream = open("POST", "/v1/completions", {{"prompt", "a #out=10000"}});
        ASSERT_TRUE(stream);
        ASSERT_EQ(stream->status(), 200);
        const std::uint64_t before = call("GET", "/control/stats")["incarnation"];
        call("POST", "/control", {{"crash", true}});
        EXPECT_EQ(stream->readAll(10'000'000, 5_s).error().code, ResultCode::BackEndLost);
        while (call("GET", "/control/stats")["incarnation"] == before)
            sleepFor(1_ms);
        EXPECT_GT(call("GET", "/control/stats")["incarnation"], before);
    });
}

TEST_F(EngineStandInTest, OpenConnectionsGoSilentAndNewOnesWork)
{
    runOn(m_pool, 0, [this] {
        Result<ClientStream> stream = open("POST", "/v1/completions", {{"prompt", "a #out=500"}});
        ASSERT_TRUE(stream);
        ASSERT_EQ(stream->status(), 200);
        call("POST", "/control", {{"silent", true}});
        sleepFor(2_ms);
        m_http.dropIdle(m_server.address());
        EXPECT_TRUE(call("GET", "/v1/load").contains("running"));
        std::string buf(100'000, ' ');
        Result<std::size_t> n = 1;
        while (n && *n > 0)
            n = stream->read(buf, 100_ms);
        EXPECT_EQ(n.error().code, ResultCode::LinkSilent);
    });
}

TEST_F(EngineStandInTest, OutdatedFencingNumbersAreRefused)
{
    runOn(m_pool, 0, [this] {
        const Json order = {{"fence", 7}, {"kind", "load-model"}, {"argument", "m"}};
        EXPECT_EQ(open("POST", "/v1/orders", order)->status(), 200);
        Json old = order;
        old["fence"] = 6;
        EXPECT_EQ(open("POST", "/v1/orders", old)->status(), 409);
        const Json orders = call("GET", "/control/orders")["orders"];
        ASSERT_EQ(orders.size(), 2U);
        EXPECT_EQ(orders[1]["accepted"], false);
    });
}

} // namespace

} // namespace fescue::net
