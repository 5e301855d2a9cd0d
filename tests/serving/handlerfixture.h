#pragma once

#include "fescue/serving/requesthandler.h"
#include "tests/serving/onworker.h"
#include "tests/serving/testprotocol.h"

#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

namespace fescue::test {

// A request handler on a loopback port in front of the endpoints of one service, which a test adds.
class HandlerFixture : public testing::Test
{
protected:
    // `hasCopies` tells whether engines can move generations and send backups of them.
    explicit HandlerFixture(bool hasCopies)
        : pool(1), state(makeSettings(), pool, metrics), mover(state), handler(state, mover),
          front(pool, {"127.0.0.1", 0}, {},
                [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                    handler.handle(request, writer);
                })
    {
        config.version = {1};
        serving::ServiceSpec spec;
        spec.name = service;
        spec.engine =
            serving::EngineModel {64, 30'000, 18'432, 2'700, hasCopies, hasCopies, 4, 5_s};
        config.services = {spec};
        EXPECT_TRUE(front.start());
    }

    // Ends the worker before the fixtures' endpoints, which it uses.
    void TearDown() override
    {
        pool.stop();
        pool.join();
    }

    static serving::NodeSettings makeSettings()
    {
        serving::NodeSettings settings;
        settings.name = MemberName("entry");
        settings.zone = ZoneName("north");
        return settings;
    }

    // Adds a route to the configuration, which comes into force with the first call.
    serving::Route &addRoute(const char *prefix, serving::RouteKind kind, std::uint32_t attempts,
                             Millis targetLatency)
    {
        serving::Route route;
        route.name = prefix;
        route.host = "test";
        route.prefix = prefix;
        route.kind = kind;
        route.timeout = 10_s;
        route.targetLatency = targetLatency;
        route.services = {{service, 1}};
        route.maxAttempts = attempts;
        return config.routes.emplace_back(std::move(route));
    }

    // Returns the entry of an endpoint of the service.
    static serving::EndpointRecord recordAt(const std::string &name, const net::Address &address)
    {
        serving::EndpointRecord record;
        record.name = EndpointName(name);
        record.service = service;
        record.zone = ZoneName("north");
        record.slots = 64;
        record.address = address;
        return record;
    }

    // Runs a task on the worker and waits until it is done.
    void onWorker(const std::function<void()> &task) { runOnWorker(pool, task); }

    void listEndpoint(const serving::EndpointRecord &record)
    {
        onWorker([&] { state.endpoints.listed(serving::ServingState::now(), record); });
    }

    Result<net::HttpResponse> call(std::string target, std::vector<net::Header> headers = {},
                                   Millis timeout = 10_s)
    {
        Result<net::HttpResponse> response = fail(ResultCode::Internal, "not run");
        onWorker([&] {
            if (!state.routes)
                EXPECT_TRUE(state.applyConfig(config));
            net::HttpRequest request;
            request.target = std::move(target);
            request.headers = std::move(headers);
            request.headers.push_back({"Request", "id-1"});
            response = client.request(front.address(), request, timeout);
        });
        return response;
    }

    inline static const ServiceName service {"service"};
    net::WorkerPool pool;
    observe::Metrics metrics;
    serving::ServingConfig config;
    serving::ServingState state;
    serving::GenerationMover<TestProtocol> mover;
    serving::RequestHandler<TestProtocol> handler;
    net::HttpServer front;
    net::HttpClient client;
};

} // namespace fescue::test
