#include "gatewayfixture.h"
#include "tests/net/rawengine.h"
#include "tests/standins/store/storestandin.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace {

using namespace fescue;
using namespace fescue::test;
using Write = RawEngine::Write;

// Ends a test that would hang.
constexpr std::chrono::seconds hangGuard {20};

// A store that closes the connection of every write after the first one while it fails writes.
class FailingStore
{
protected:
    FailingStore()
        : storeServer(storePool, net::Address {"127.0.0.1", 0}, {},
                      [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                          const bool fails = request.method == "PUT" && ++writes > 1 && failsWrites;
                          if (fails)
                              writer.abort();
                          else
                              standIn.handle(request, writer);
                      })
    {
        EXPECT_TRUE(storeServer.start().has_value());
    }

    ~FailingStore()
    {
        storePool.stop();
        storePool.join();
    }

    standins::StoreStandIn standIn;
    std::atomic<int> writes {0};
    std::atomic<bool> failsWrites {true};
    net::WorkerPool storePool {1};
    net::HttpServer storeServer;
};

// A gateway that stops while calls are open at it.
class GatewayStop : protected FailingStore, public GatewayFixture
{
protected:
    GatewayStop() : GatewayFixture(storeServer.address()) { }

    ~GatewayStop() override
    {
        server.reset();
        if (backEnd)
            client.dropIdle(backEnd->address());
        pool.stop();
        pool.join();
    }

    void useLedger()
    {
        addService("ledger", ServiceKind::Plain,
                   {{"/balance", true, 2_s}, {"/adjust", false, 2_s}});
        backEnd = std::make_unique<RawEngine>([](std::string_view, const Write &write) {
            write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            return false;
        });
        addEndpoint("ledger-1", "ledger", "z1", backEnd->address().toString());
        serve();
    }

    static net::HttpRequest adjust()
    {
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/ledger/adjust";
        request.headers.push_back({"Idempotency-Key", "k1"});
        return request;
    }

    // Expects a refusal which says that the entry ends and that nothing ran.
    static void expectRefused(const net::HttpResponse &answer)
    {
        const std::string code = std::to_string(static_cast<int>(ResultCode::ShuttingDown));
        EXPECT_EQ(answer.status, 503);
        EXPECT_NE(answer.body.find("\"code\":" + code + ","), std::string::npos) << answer.body;
        EXPECT_NE(answer.body.find("\"run\":\"not-run\""), std::string::npos) << answer.body;
        EXPECT_FALSE(answer.header("Retry-After").empty());
    }

    std::unique_ptr<RawEngine> backEnd;
};

// Guards against a process that ends while the outcome of an answered call is still to be kept:
// nothing was open between the return of the request and the start of the fiber that keeps it.
TEST_F(GatewayStop, OutcomeToBeKeptStaysOpenAfterTheRequest)
{
    std::atomic<std::size_t> openAfter {0};
    afterRequest = [&] { openAfter = gateway.open(); };
    useLedger();
    const net::HttpResponse answer = ask(adjust());
    EXPECT_EQ(answer.status, 200) << answer.body;
    const std::chrono::steady_clock::time_point limit =
        std::chrono::steady_clock::now() + hangGuard;
    while (writes < 3 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(openAfter, 1U);
    failsWrites = false;
    while (gateway.open() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(gateway.open(), 0U);
}

// Guards against a stop that never ends: a call that waits for capacity was woken by nobody once
// the pump of the admission had stopped. It has not run, and its caller is told so.
TEST_F(GatewayStop, CallThatWaitsIsRefusedWhenTheGateCloses)
{
    grants = false;
    useLedger();
    std::future<net::HttpResponse> waiting =
        std::async(std::launch::async, [this] { return ask(adjust()); });
    const std::chrono::steady_clock::time_point limit =
        std::chrono::steady_clock::now() + hangGuard;
    while (admission.queued() == 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(admission.queued(), 1U);
    admission.close();
    expectRefused(waiting.get());
    expectRefused(ask(adjust()));
    EXPECT_EQ(writes, 0);
    // The caller may have its answer before the request counts as ended.
    while (gateway.open() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(gateway.open(), 0U);
}

// Guards against taking a call that cannot end before the process does: it was cut, and nobody
// could tell whether it had run.
TEST_F(GatewayStop, CallThatOutlastsTheProcessIsRefused)
{
    useLedger();
    failsWrites = false;
    const Millis now = parts.clock.now();
    // The call takes 30 s in the queue and 2 s at the service at most.
    intake.endAt(Deadline::after(now, 20_s));
    expectRefused(ask(adjust()));
    EXPECT_EQ(writes, 0);
    net::HttpRequest shorter = adjust();
    shorter.headers.push_back({"X-Deadline-Ms", "5000"});
    EXPECT_EQ(ask(shorter).status, 200);
    EXPECT_EQ(backEnd->connections(), 1U);
}

} // namespace
