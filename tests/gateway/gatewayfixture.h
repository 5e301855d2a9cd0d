#pragma once

#include "fescue/config/accountkeys.h"
#include "fescue/gateway/gateway.h"
#include "fescue/net/httpserver.h"
#include "scriptedengine.h"

#include <functional>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::test {

// A gateway on a loopback port before back ends that the test scripts, with credits that never
// run out. The control part is absent: the test publishes the view itself.
class GatewayFixture : public testing::Test
{
protected:
    static constexpr std::string_view accountKey = "key-1";
    static constexpr std::string_view otherKey = "key-2";

    // Without a store, calls that may not be repeated are refused.
    explicit GatewayFixture(const net::Address &store = {"127.0.0.1", 1})
        : pool(2), claims(client, store, calls),
          admission(member), parts {member,    Incarnation {1}, {},      {},   views,
                                    admission, budgets,         streams, pool, client,
                                    claims,    metrics,         timeline},
          gateway(parts, intake, [] { return std::string {"{}"}; })
    {
        snapshot->version = ConfigVersion {1};
        snapshot->streamSecret = "0123456789abcdef";
        snapshot->zones = {{ZoneName {"z1"}, "r", false}, {ZoneName {"z2"}, "r", false}};
        snapshot->accounts = {account("a1", accountKey), account("a2", otherKey)};
    }

    ~GatewayFixture() override
    {
        server.reset();
        pool.stop();
        pool.join();
    }

    static Account account(const char *name, std::string_view key)
    {
        Account account;
        account.name = AccountName {name};
        account.keyHash = hashKey(key);
        return account;
    }

    void addService(const char *name, ServiceKind kind, std::vector<CallContract> contracts = {})
    {
        Service service;
        service.name = ServiceName {name};
        service.kind = kind;
        service.calls = std::move(contracts);
        snapshot->services.push_back(std::move(service));
    }

    void addEndpoint(const char *name, const char *service, const char *zone,
                     const std::string &address)
    {
        Endpoint endpoint;
        endpoint.name = EndpointName {name};
        endpoint.service = ServiceName {service};
        endpoint.zone = ZoneName {zone};
        endpoint.vm = VmName {name};
        endpoint.address = address;
        endpoint.memoryTokens = 65536;
        snapshot->endpoints.push_back(std::move(endpoint));
    }

    // Publishes the snapshot and serves. Queued requests are looked at again every few
    // milliseconds, as in an entry.
    void serve(FreshnessVerdict freshness = FreshnessVerdict::Fresh)
    {
        publish(freshness);
        admission.applyServices(snapshot->services, snapshot->accounts);
        admission.setEligible(views.current()->eligible);
        for (const Endpoint &endpoint : snapshot->endpoints) {
            if (grants)
                grant(endpoint.name);
        }
        server = std::make_unique<net::HttpServer>(
            pool, net::Address {"127.0.0.1", 0}, net::ServerLimits {},
            [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                gateway.handle(request, writer);
                if (afterRequest)
                    afterRequest();
            });
        ASSERT_TRUE(server->start().has_value());
        pool.spawn(1, [this] {
            while (!net::stopRequested()) {
                admission.tick();
                net::sleepFor(10_ms);
            }
        });
    }

    void publish(FreshnessVerdict freshness)
    {
        const std::shared_ptr<gateway::GatewayView> view = std::make_shared<gateway::GatewayView>();
        view->snapshot = snapshot;
        view->freshness = freshness;
        view->ready = true;
        gateway::completeView(*view, ZoneName {"z1"}, *views.current());
        views.publish(view);
    }

    void grant(const EndpointName &endpoint)
    {
        CreditGrant credit;
        credit.endpoint = endpoint;
        credit.incarnation = Incarnation {7};
        credit.member = member;
        credit.authority = FencingNumber {1};
        credit.serial = 1;
        credit.slots = 8;
        credit.memoryTokens = 1U << 20U;
        credit.demandSentAt = parts.clock.now();
        credit.term = 3600_s;
        admission.grantReceived(credit);
    }

    // Sends a request to the gateway and waits for the whole answer.
    net::HttpResponse ask(net::HttpRequest request, std::string_view key = accountKey)
    {
        request.headers.push_back({"Authorization", "Bearer " + std::string {key}});
        std::promise<net::HttpResponse> promise;
        pool.spawn(0, [&] {
            Result<net::HttpResponse> answer = client.request(server->address(), request, 60_s);
            promise.set_value(answer ? std::move(*answer) : net::HttpResponse {0, {}, {}});
        });
        return promise.get_future().get();
    }

    static net::HttpRequest completion(std::string_view model = "draft", bool stream = true)
    {
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.body = R"({"model":")" + std::string {model} + R"(","prompt":"hello","stream":)"
            + (stream ? "true" : "false") + "}";
        return request;
    }

    MemberName member {"entry-1"};
    std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
    net::WorkerPool pool;
    net::HttpClient client;
    net::CallCounter calls;
    net::StoreClient claims;
    observe::Metrics metrics;
    observe::Timeline timeline {"entry-1"};
    gateway::GatewayViews views;
    gateway::AdmissionGate admission;
    gateway::RetryBudgets budgets;
    gateway::AccountStreams streams;
    gateway::GatewayParts parts;
    gateway::Intake intake;
    gateway::Gateway gateway;
    std::unique_ptr<net::HttpServer> server;
    // Without credits, requests wait.
    bool grants = true;
    // Runs on the fiber of each request once the gateway has returned.
    std::function<void()> afterRequest;
};

// Indexes of the tokens in a stream of events, in the order in which they came.
inline std::vector<int> tokenIndexes(std::string_view events)
{
    std::vector<int> indexes;
    std::size_t at = 0;
    while ((at = events.find("id: ", at)) != std::string_view::npos) {
        const std::size_t end = events.find('\n', at);
        const std::size_t colon = events.rfind(':', end);
        indexes.push_back(std::stoi(std::string {events.substr(colon + 1, end - colon - 1)}));
        at = end;
    }
    return indexes;
}

// The numbers [0, n).
inline std::vector<int> upTo(int n)
{
    std::vector<int> numbers(static_cast<std::size_t>(n));
    std::iota(numbers.begin(), numbers.end(), 0);
    return numbers;
}

// Text of the last event id in a stream of events.
inline std::string lastEventId(std::string_view events)
{
    const std::size_t at = events.rfind("id: ") + 4;
    return std::string {events.substr(at, events.find('\n', at) - at)};
}

} // namespace fescue::test
