#include "fescue/serving/requesthandler.h"
#include "tests/serving/crashingengine.h"
#include "tests/serving/onworker.h"
#include "tests/serving/testprotocol.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <list>

namespace {

using namespace fescue;
using namespace fescue::serving;
using test::CrashingEngine;

// Number of crashes after which no more than `maxSentAfterwards` requests may reach engines.
constexpr int decisiveCrashes = 5;
constexpr int maxSentAfterwards = 3;
// Pause between requests, in which the loss of an engine is analysed.
constexpr Millis requestInterval = 300_ms;

// A request handler in front of engines that terminate when they answer a prompt with part 7.
class PromptCrash : public testing::Test
{
protected:
    PromptCrash()
        : pool(1), state(makeSettings(), pool, metrics), mover(state), handler(state, mover),
          front(pool, {"127.0.0.1", 0}, {},
                [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                    handler.handle(request, writer);
                })
    {
        Route route;
        route.name = "stream";
        route.host = "test";
        route.prefix = "/stream/";
        route.kind = RouteKind::Streaming;
        route.timeout = 10_s;
        route.targetLatency = 2_s;
        route.services = {{ServiceName("service"), 1}};
        route.maxAttempts = 1;
        ServiceSpec service;
        service.name = ServiceName("service");
        service.engine = EngineModel {64, 30'000, 18'432, 2'700, true, true, 4, 5_s};
        ServingConfig config;
        config.version = {1};
        config.routes = {route};
        config.services = {service};
        test::runOnWorker(pool, [this, &config] { EXPECT_TRUE(state.applyConfig(config)); });
        EXPECT_TRUE(front.start());
    }

    ~PromptCrash() override
    {
        pool.stop();
        pool.join();
    }

    static NodeSettings makeSettings()
    {
        NodeSettings settings;
        settings.name = MemberName("entry");
        settings.zone = ZoneName("north");
        return settings;
    }

    void addEngines(int n)
    {
        for (int i = 0; i < n; ++i) {
            engines.emplace_back("Parts: 1,7,");
            EndpointRecord record;
            record.name = EndpointName("e" + std::to_string(engines.size()));
            record.service = ServiceName("service");
            record.zone = ZoneName("north");
            record.slots = 64;
            record.address = engines.back().address();
            test::runOnWorker(pool, [&] { state.endpoints.listed(ServingState::now(), record); });
        }
    }

    // Sends a request with these prompt parts and returns its answer.
    Result<net::HttpResponse> call(const std::string &parts)
    {
        Result<net::HttpResponse> response = fail(ResultCode::Internal, "not run");
        test::runOnWorker(pool, [&] {
            net::HttpRequest request;
            request.target = "/stream/x";
            request.headers = {{"Request", "id-1"}, {"Parts", parts}};
            response = client.request(front.address(), request, 5_s);
            net::sleepFor(requestInterval);
        });
        return response;
    }

    [[nodiscard]] int crashes() const
    {
        return static_cast<int>(std::count_if(engines.begin(), engines.end(),
                                              [](const CrashingEngine &e) { return e.crashed(); }));
    }

    net::WorkerPool pool;
    observe::Metrics metrics;
    ServingState state;
    GenerationMover<test::TestProtocol> mover;
    RequestHandler<test::TestProtocol> handler;
    net::HttpServer front;
    net::HttpClient client;
    std::list<CrashingEngine> engines;
};

// Guards against issue 31: requests that share a prompt part crash one engine after the other.
TEST_F(PromptCrash, PartThatCrashesEnginesStopsReachingThem)
{
    addEngines(14);
    constexpr int requests = 12;
    for (int n = 0; n < requests; ++n) {
        const Result<net::HttpResponse> response = call("1,7," + std::to_string(100 + n));
        ASSERT_TRUE(response);
        EXPECT_GE(response->status, 500);
    }
    EXPECT_LE(crashes(), decisiveCrashes + maxSentAfterwards);
}

} // namespace
