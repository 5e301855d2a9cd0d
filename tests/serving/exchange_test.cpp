#include "tests/gateway/scriptedengine.h"
#include "tests/net/rawengine.h"
#include "tests/net/rawserver.h"
#include "tests/serving/handlerfixture.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <list>
#include <thread>

namespace {

using namespace fescue;
using namespace fescue::serving;
using test::ScriptedEngine;

net::HttpResponse answer(int status, std::string id, std::string body = "body")
{
    return {status, {{"Request", std::move(id)}, {"Signature", "s"}}, std::move(body)};
}

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// A request handler in front of scripted endpoints.
class Exchange : public test::HandlerFixture
{
protected:
    Exchange() : HandlerFixture(true)
    {
        addRoute("/once/", RouteKind::NonIdempotent, 1, 2_s);
        addRoute("/many/", RouteKind::Idempotent, 2, 2_s);
        addRoute("/stream/", RouteKind::Streaming, 1, 2_s);
    }

    static net::Address addressOf(const ScriptedEngine &engine)
    {
        return net::parseAddress(engine.address()).value();
    }

    void addEndpoint(const char *name, ScriptedEngine::Script script)
    {
        engines.emplace_back(pool, std::move(script));
        addEndpointAt(name, addressOf(engines.back()));
    }

    void addEndpointAt(const char *name, const net::Address &address)
    {
        listEndpoint(recordAt(name, address));
    }

    // Calls an endpoint whose answer is far too long, and expects that the call fails before the
    // endpoint has sent 32 MiB.
    void expectEndlessAnswerGivenUp(const char *target, const std::string &answered = "id-1")
    {
        test::RawServer faulty([answered](test::RawServer &server) {
            server.write("HTTP/1.1 200 OK\r\nRequest: " + answered
                         + "\r\nConnection: close\r\n\r\n");
            server.writeEndlessly("x", std::size_t {256} * 1024 * 1024);
        });
        addEndpointAt("e1", faulty.address());
        const Result<net::HttpResponse> response = call(target);
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 502);
        EXPECT_LT(faulty.written(), std::size_t {32} * 1024 * 1024);
    }

    std::list<ScriptedEngine> engines;
};

TEST_F(Exchange, AnswerComesBackWholeWithItsSignature)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-1")));
    });
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "body");
    EXPECT_EQ(response->header("Signature"), "s");
}

TEST_F(Exchange, AnswerThatBreaksOffIsAFailureWithoutASignature)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        const std::vector<net::Header> headers {{"Request", "id-1"}, {"Signature", "s"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write("half"));
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(response->header("Signature"), "");
    EXPECT_EQ(engines.front().requests().size(), 1U);
}

TEST_F(Exchange, AnswerToAnotherRequestIsNeverForwarded)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-other", "secret")));
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/once/x", {{"Patience", "600"}});
    ASSERT_TRUE(response);
    EXPECT_GE(response->status, 502);
    EXPECT_EQ(response->body.find("secret"), std::string::npos);
}

TEST_F(Exchange, IdempotentRequestGoesToAnotherEndpoint)
{
    std::atomic<int> calls {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
            if (calls++ == 0)
                writer.abort();
            else
                static_cast<void>(writer.send(answer(200, "id-1")));
        });
    }
    const Result<net::HttpResponse> response = call("/many/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(calls, 2);
}

TEST_F(Exchange, RequestThatMayNotBeRetriedIsSentOnce)
{
    std::atomic<int> calls {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
            ++calls;
            writer.abort();
        });
    }
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
    EXPECT_EQ(calls, 1);
}

TEST_F(Exchange, NotRunIsReportedOnlyIfTheEndpointReportsIt)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        net::HttpResponse shed = answer(503, "id-1");
        shed.headers.push_back({"Not-Run", "1"});
        static_cast<void>(writer.send(shed));
    });
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_NE(response->header("Retry-After"), "");
    EXPECT_EQ(response->header("Signature"), "");
}

TEST_F(Exchange, SilenceEndsAtTheDeadlineAsUnknown)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &) { net::sleepFor(3_s); });
    const Result<net::HttpResponse> response = call("/once/x", {{"Patience", "300"}});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 504);
    EXPECT_NE(response->body.find("unknown"), std::string::npos);
}

TEST_F(Exchange, ReadIsNotGivenUpWhileNoOtherEndpointIsThere)
{
    config.routes.at(1).targetLatency = 10_ms;
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        net::sleepFor(1_s);
        static_cast<void>(writer.send(answer(200, "id-1")));
    });
    const Result<net::HttpResponse> response = call("/many/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(engines.front().requests().size(), 1U);
}

TEST_F(Exchange, ReadIsGivenUpForAnotherEndpoint)
{
    config.routes.at(1).targetLatency = 10_ms;
    std::atomic<int> calls {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
            if (calls++ == 0)
                net::sleepFor(4_s);
            static_cast<void>(writer.send(answer(200, "id-1")));
        });
    }
    const Result<net::HttpResponse> response = call("/many/x", {{"Patience", "3000"}});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(calls, 2);
}

// The slots of the service are shared out: what the broker is told of the endpoints.
TEST_F(Exchange, SlotIsNotAskedForAtAnEndpointThatMayHaveRunTheRequest)
{
    std::vector<SlotWish> wishes;
    state.acquireSlot = [&wishes](const SlotWish &wish) {
        wishes.push_back(wish);
        return SlotGrant {};
    };
    std::atomic<int> calls {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
            if (calls++ == 0)
                writer.abort();
            else
                static_cast<void>(writer.send(answer(200, "id-1")));
        });
    }
    ASSERT_TRUE(call("/many/x"));
    ASSERT_EQ(wishes.size(), 2U);
    EXPECT_TRUE(wishes.front().excluded.empty());
    EXPECT_EQ(wishes.back().excluded.size(), 1U);
    EXPECT_EQ(wishes.back().tried, wishes.back().excluded);
}

TEST_F(Exchange, SlotIsNotAskedForAtAColdEndpointWithoutAShare)
{
    std::vector<SlotWish> wishes;
    state.acquireSlot = [&wishes](const SlotWish &wish) {
        wishes.push_back(wish);
        return SlotGrant {};
    };
    addEndpoint("warm", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-1")));
    });
    EndpointRecord cold = recordAt("cold", addressOf(engines.back()));
    cold.coldRemaining = 60_s;
    onWorker([&] { state.endpoints.listed(ServingState::now(), cold); });
    ASSERT_TRUE(call("/many/x"));
    ASSERT_EQ(wishes.size(), 1U);
    EXPECT_EQ(wishes.front().excluded, std::set<EndpointName> {EndpointName("cold")});
}

TEST_F(Exchange, ReadThatFailedIsRepeatedAtTheOnlyEndpoint)
{
    std::atomic<int> calls {0};
    addEndpoint("e1", [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(calls++ == 0 ? 500 : 200, "id-1")));
    });
    const Result<net::HttpResponse> response = call("/many/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(calls, 2);
}

TEST_F(Exchange, RequestIsRefusedAtOnceIfNoEndpointIsLeft)
{
    const Millis startedAt = SteadyClock {}.now();
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_LT(SteadyClock {}.now() - startedAt, 2_s);
}

TEST_F(Exchange, WorkEndsWhenItsCallerLeaves)
{
    std::promise<void> ended;
    addEndpoint("e1", [&ended](const net::HttpRequest &, net::ResponseWriter &writer) {
        while (!writer.callerGone())
            net::sleepFor(10_ms);
        ended.set_value();
    });
    EXPECT_FALSE(call("/many/x", {}, 200_ms));
    EXPECT_EQ(ended.get_future().wait_for(std::chrono::seconds(5)), std::future_status::ready);
}

// Requests of another priority on the same engines: prompts that wait there hold the less urgent.
class CompetingExchange : public Exchange
{
protected:
    CompetingExchange()
    {
        for (Route &route : config.routes) {
            route.priority = route.kind == RouteKind::Streaming ? 2 : 0;
            route.targetLatency = 30_s;
            route.timeout = 60_s;
        }
        addEndpoint("e1", [this](const net::HttpRequest &, net::ResponseWriter &writer) {
            ++asked;
            const std::vector<net::Header> headers {{"Request", "id-1"}};
            static_cast<void>(writer.startStream(200, headers));
            static_cast<void>(writer.write(eventText(1)));
            static_cast<void>(writer.finish());
        });
        onWorker([this] { state.ledger.add(EndpointName("e1"), waitingPrompts); });
    }

    [[nodiscard]] std::uint64_t openRequests()
    {
        std::uint64_t n = 0;
        onWorker([&] { n = state.open; });
        return n;
    }

    const EndpointLoad waitingPrompts {2, 8'000, 8'000};
    std::atomic<int> asked {0};
};

TEST_F(CompetingExchange, PlaceOfAHeldRequestEndsWithItsCaller)
{
    EXPECT_FALSE(call("/stream/x", {}, 200_ms));
    const Millis until = SteadyClock {}.now() + 5_s;
    while (openRequests() > 0 && SteadyClock {}.now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_EQ(openRequests(), 0U);
    EXPECT_EQ(asked, 0);
}

TEST_F(CompetingExchange, HeldRequestStartsOnceThePromptsAreProcessed)
{
    pool.spawn(0, [this] {
        // Until the request is held.
        while (state.open == 0)
            net::sleepFor(5_ms);
        net::sleepFor(50_ms);
        EXPECT_EQ(asked, 0);
        state.ledger.subtract(EndpointName("e1"), waitingPrompts);
    });
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(asked, 1);
}

// Guards against naming callers a time at which no room is: an engine that rejects a generation has
// none.
TEST_F(Exchange, OnlyGenerationsThatRanLeaveRoom)
{
    for (Route &route : config.routes)
        route.priority = route.kind == RouteKind::Streaming ? 2 : 0;
    std::atomic<bool> rejects {true};
    addEndpoint("e1", [&rejects](const net::HttpRequest &, net::ResponseWriter &writer) {
        if (rejects) {
            const std::vector<net::Header> headers {{"Request", "id-1"}, {"Not-Run", "1"}};
            static_cast<void>(writer.send({503, headers, {}}));
            return;
        }
        static_cast<void>(writer.send(answer(200, "id-1", eventText(1))));
    });
    const auto hasRoom = [this] {
        bool has = false;
        onWorker([&] { has = state.reserveReturn(ServiceName("service"), 2, 60_s).has_value(); });
        return has;
    };
    constexpr int calls = 10;
    for (int n = 0; n < calls; ++n)
        EXPECT_EQ(call("/stream/x")->status, 503);
    EXPECT_EQ(engines.front().requests().size(), static_cast<std::size_t>(calls));
    EXPECT_FALSE(hasRoom());
    rejects = false;
    for (int n = 0; n < calls; ++n)
        EXPECT_EQ(call("/stream/x")->status, 200);
    EXPECT_TRUE(hasRoom());
}

// The priority of the account goes before that of the route.
TEST_F(CompetingExchange, UrgentAccountIsNotHeld)
{
    // Requests of the test protocol have an empty key.
    config.accounts = {{AccountName("urgent"), {""}, 0}};
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(asked, 1);
}

TEST_F(Exchange, NoKeyIsValidWithoutAccounts)
{
    int asked = 0;
    addEndpoint("e1", [&asked](const net::HttpRequest &, net::ResponseWriter &writer) {
        ++asked;
        writer.send({200, {{"Request", "id-1"}}, "done"});
    });
    config.requiresKey = true;
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 401);
    EXPECT_EQ(asked, 0);
}

TEST_F(Exchange, StreamThatBreaksOffDoesNotLookComplete)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(1) + "id: 2\nda"));
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().code, ResultCode::BackEndLost);
}

TEST_F(Exchange, StreamThatBreaksOffBeforeItsFirstEventIsAFailure)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
}

// Guards against passing on a stream without a length as complete if its engine ends within an
// event.
TEST_F(Exchange, StreamWithoutALengthThatEndsInsideAnEventDoesNotLookComplete)
{
    test::RawServer engine([](test::RawServer &server) {
        server.write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n" + eventText(1)
                     + "id: 2\nda");
    });
    addEndpointAt("e1", engine.address());
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().code, ResultCode::BackEndLost);
    onWorker([&] { EXPECT_TRUE(state.quarantine.entries().empty()); });
}

TEST_F(Exchange, StreamWithoutALengthThatEndsAfterAnEventIsComplete)
{
    test::RawServer engine([](test::RawServer &server) {
        server.write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n" + eventText(1)
                     + eventText(2));
    });
    addEndpointAt("e1", engine.address());
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2));
}

// Guards against an empty answer that looks complete: an engine that ends before its first event
// closes a stream without a length just like one that has nothing to say.
TEST_F(Exchange, StreamWithoutALengthAndWithoutEventsIsAFailure)
{
    test::RawServer engine([](test::RawServer &server) {
        server.write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n");
    });
    addEndpointAt("e1", engine.address());
    const Result<net::HttpResponse> response = call("/stream/x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
}

TEST_F(Exchange, AnswerWithoutALengthIsWholeIfItsConnectionEndsInOrder)
{
    test::RawServer engine([](test::RawServer &server) {
        server.write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nSignature: s\r\n"
                     "Connection: close\r\n\r\nwhole body");
    });
    addEndpointAt("e1", engine.address());
    const Result<net::HttpResponse> response = call("/once/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "whole body");
}

// Guards against a stream without a length that breaks off within an event although a backup of its
// generation could resume it.
TEST_F(Exchange, StreamWithoutALengthResumesFromItsBackupIfItEndsInsideAnEvent)
{
    std::atomic<int> calls {0};
    const auto script = [&calls](test::RawServer &server) {
        const bool isFirst = calls++ == 0;
        server.write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n"
                     + (isFirst ? eventText(1) + "id: 2\nda" : eventText(2) + eventText(3)));
    };
    test::RawServer one(script);
    test::RawServer other(script);
    addEndpointAt("e1", one.address());
    addEndpointAt("e2", other.address());
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2) + eventText(3));
}

// Guards against gaps and duplicates when the engine of a long generation is lost in the middle of
// the stream and a backup exists.
TEST_F(Exchange, GenerationResumesFromItsBackupWithoutAGap)
{
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [](const net::HttpRequest &request, net::ResponseWriter &writer) {
            const std::vector<net::Header> headers {{"Request", "id-1"}};
            static_cast<void>(writer.startStream(200, headers));
            const std::string after(request.header("Resume-After"));
            if (after.empty()) {
                static_cast<void>(writer.write(eventText(1) + eventText(2) + "id: 3\nda"));
                writer.abort();
                return;
            }
            EXPECT_EQ(after, "2");
            static_cast<void>(writer.write(eventText(3) + eventText(4)));
            static_cast<void>(writer.finish());
        });
    }
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2) + eventText(3) + eventText(4));
}

// Guards against sending requests to an endpoint that announced leaving in its answers, before the
// store reports it.
TEST_F(Exchange, EndpointThatAnnouncedLeavingGetsNoRequests)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        net::HttpResponse last = answer(200, "id-1");
        last.headers.push_back({"Leaving", "1"});
        static_cast<void>(writer.send(last));
    });
    std::vector<EndpointIncarnation> reported;
    onWorker([&] {
        state.endpointAnnouncedLeaving = [&reported](const EndpointIncarnation &n,
                                                     std::optional<Millis>) {
            reported.push_back(n);
        };
    });
    EXPECT_EQ(call("/once/x")->status, 200);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(call("/once/x")->status, 503);
    EXPECT_EQ(engines.front().requests().size(), 1U);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().endpoint, EndpointName("e1"));
}

// Guards against sending requests to a full endpoint before the pause that it asked for has ended.
TEST_F(Exchange, EndpointThatAsksForAPauseGetsNothingUntilItsEnd)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        net::HttpResponse shed = answer(503, "id-1");
        shed.headers.push_back({"Not-Run", "1"});
        shed.headers.push_back({"Pause", "60000"});
        static_cast<void>(writer.send(shed));
    });
    for (int n = 0; n < 3; ++n) {
        const Result<net::HttpResponse> response = call("/many/x");
        EXPECT_EQ(response->status, 503);
        EXPECT_GE(std::stod(std::string(response->header("Retry-After"))), 59);
    }
    EXPECT_EQ(engines.front().requests().size(), 1U);
    onWorker([&] {
        const EndpointRecord record = state.endpoints.find(EndpointName("e1"))->record;
        const Result<net::HttpResponse> control =
            callEndpoint<test::TestProtocol>(state, record, {}, 1_s);
        ASSERT_FALSE(control);
        EXPECT_EQ(control.error().code, ResultCode::BackEndRefused);
    });
    EXPECT_EQ(engines.front().requests().size(), 1U);
}

TEST_F(Exchange, RejectedRequestIsServedByAnotherEndpoint)
{
    std::atomic<int> calls {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&calls](const net::HttpRequest &, net::ResponseWriter &writer) {
            net::HttpResponse response = answer(calls == 0 ? 503 : 200, "id-1");
            if (calls++ == 0)
                response.headers.push_back({"Not-Run", "1"});
            static_cast<void>(writer.send(response));
        });
    }
    EXPECT_EQ(call("/once/x")->status, 200);
    EXPECT_EQ(calls, 2);
}

// Guards against unbounded memory use if an endpoint sends bytes until the connection is closed.
TEST_F(Exchange, BodyWithoutEndIsGivenUpWithinBoundedMemory)
{
    expectEndlessAnswerGivenUp("/once/x");
    onWorker([&] {
        EXPECT_EQ(state.bodyBudget->used(), 0U);
        EXPECT_GT(state.health.failureRate(ServingState::now(), EndpointName("e1")), 0);
    });
}

TEST_F(Exchange, StreamWithoutEventsIsGivenUpWithinBoundedMemory)
{
    expectEndlessAnswerGivenUp("/stream/x");
}

// Guards against unbounded memory use if an endless answer to another request arrives first.
TEST_F(Exchange, EndlessAnswerToAnotherRequestIsGivenUpWithinBoundedMemory)
{
    expectEndlessAnswerGivenUp("/once/x", "id-other");
}

TEST_F(Exchange, AnswersTogetherTakeNoMoreThanTheirMemory)
{
    net::ByteBudget budget(1000);
    net::ByteReservation first(budget);
    ASSERT_TRUE(first.reserve(600));
    {
        net::ByteReservation second(budget);
        EXPECT_TRUE(second.reserve(400));
        EXPECT_FALSE(second.reserve(1));
        EXPECT_EQ(budget.used(), 1000U);
    }
    EXPECT_TRUE(first.reserve(400));
}

// Guards against each process having to find every terminated engine by itself while the store is
// unavailable.
TEST_F(Exchange, EndpointThatRefusesConnectionsIsSkippedAndReportedToPeers)
{
    addEndpointAt("e0", {"127.0.0.1", 1});
    EXPECT_EQ(call("/once/x")->status, 503);
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-1")));
    });
    for (int n = 0; n < 8; ++n)
        EXPECT_EQ(call("/once/x")->status, 200);
    onWorker([&] {
        const Millis now = ServingState::now();
        const std::vector<EndpointIncarnation> own = state.ownRefusals.paused(now);
        ASSERT_EQ(own.size(), 1U);
        EXPECT_EQ(own.front().endpoint, EndpointName("e0"));
        EXPECT_EQ(state.candidates(ServiceName("service")).size(), 1U);
        // If no other endpoint is left, one that refused a connection is better than none.
        state.recordPeerRefusal({EndpointName("e1"), {}});
        EXPECT_EQ(state.candidates(ServiceName("service")).size(), 2U);
        EXPECT_EQ(state.ownRefusals.paused(now).size(), 1U);
    });
}

// Guards against extending a pause without end: a peer repeats its report that nothing listens at
// an address for as long as its own pause lasts.
TEST_F(Exchange, RepeatedReportOfAPeerDoesNotExtendTheRefusal)
{
    const EndpointIncarnation terminated {EndpointName("e1"), {}};
    onWorker([&] {
        state.recordPeerRefusal(terminated);
        const Millis reported = ServingState::now();
        const Millis span = state.refusingEndpoints.remaining(reported, terminated.endpoint,
                                                              terminated.incarnation);
        net::sleepFor(50_ms);
        state.recordPeerRefusal(terminated);
        EXPECT_LE(state.refusingEndpoints.remaining(reported, terminated.endpoint,
                                                    terminated.incarnation),
                  span);
    });
}

// Guards against a process that hangs for good: a generation whose engine cannot copy it must not
// keep the worker busy.
TEST_F(Exchange, GenerationOnAnEngineThatCannotCopyLeavesTheWorkerFree)
{
    config.services.front().engine->canBackUp = false;
    config.services.front().engine->canMove = false;
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(1)));
        net::sleepFor(150_ms);
        static_cast<void>(writer.write(eventText(2)));
        static_cast<void>(writer.finish());
    });
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2));
}

// Guards against losing a generation without a backup when its engine is lost but a standby copy
// exists.
TEST_F(Exchange, GenerationResumesFromItsStandbyCopyWhenItsEngineIsLost)
{
    std::atomic<bool> copied {false};
    engines.emplace_back(pool, [](const net::HttpRequest &request, net::ResponseWriter &writer) {
        EXPECT_EQ(request.header("Resume-From"), "handle-7");
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(3) + eventText(4)));
        static_cast<void>(writer.finish());
    });
    const EndpointRecord standby = recordAt("e2", addressOf(engines.back()));
    addEndpoint("e1", [&](const net::HttpRequest &request, net::ResponseWriter &writer) {
        if (request.target == "/move") {
            copied = true;
            static_cast<void>(writer.send({200, {}, "handle-7"}));
            return;
        }
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(1) + eventText(2)));
        // The engine that could store a backup is listed only after the generation has started.
        state.endpoints.listed(ServingState::now(), standby);
        while (!copied)
            net::sleepFor(5_ms);
        net::sleepFor(50_ms);
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2) + eventText(3) + eventText(4));
}

// Guards against missing the departure of an engine while the store, which normally reports it, is
// unavailable: the engines report it when polled.
TEST_F(Exchange, EnginesArePolledWhileTheStoreIsSilent)
{
    std::atomic<int> polls {0};
    std::atomic<bool> ended {false};
    addEndpoint("e1", [&](const net::HttpRequest &request, net::ResponseWriter &writer) {
        if (request.target == "/report") {
            ++polls;
            static_cast<void>(writer.send({200, {}, "leaving"}));
            return;
        }
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(1)));
        while (!ended)
            net::sleepFor(5_ms);
        static_cast<void>(writer.finish());
    });
    pool.spawn(0, [this] { mover.pollEngines(); });
    onWorker([&] {
        state.endpointAnnouncedLeaving = [&ended](const EndpointIncarnation &,
                                                  std::optional<Millis>) { ended = true; };
    });
    EXPECT_EQ(call("/stream/x")->status, 200);
    EXPECT_EQ(polls, 1);
    onWorker([&] { EXPECT_TRUE(state.endpoints.find(EndpointName("e1"))->leaving()); });
}

// Guards against losing a generation if its engine is lost and the engine with the backup has just
// asked for a pause.
TEST_F(Exchange, GenerationWaitsForTheEndOfAPauseBeforeItResumes)
{
    constexpr Millis pause = 300_ms;
    Millis pausedAt {0};
    Millis resumedAt {0};
    for (const char *name : {"e1", "e2"}) {
        const EndpointName other(name == std::string("e1") ? "e2" : "e1");
        addEndpoint(name, [&, other](const net::HttpRequest &request, net::ResponseWriter &writer) {
            const std::vector<net::Header> headers {{"Request", "id-1"}};
            static_cast<void>(writer.startStream(200, headers));
            if (request.header("Resume-After").empty()) {
                static_cast<void>(writer.write(eventText(1) + eventText(2)));
                pausedAt = ServingState::now();
                state.pauses.pause(pausedAt, other, {}, pause);
                writer.abort();
                return;
            }
            resumedAt = ServingState::now();
            static_cast<void>(writer.write(eventText(3)));
            static_cast<void>(writer.finish());
        });
    }
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2) + eventText(3));
    EXPECT_GE(resumedAt - pausedAt, pause);
}

// Guards against sending move calls to a leaving engine that has asked for a pause; moves are
// requests as well.
TEST_F(Exchange, NoMoveIsRequestedDuringAPauseOfTheEngine)
{
    std::atomic<int> moves {0};
    for (const char *name : {"e1", "e2"}) {
        addEndpoint(name, [&, name](const net::HttpRequest &request, net::ResponseWriter &writer) {
            if (request.target != "/stream/x") {
                ++moves;
                static_cast<void>(writer.send({503, {}, {}}));
                return;
            }
            const EndpointName self(name);
            const std::vector<net::Header> headers {{"Request", "id-1"}};
            static_cast<void>(writer.startStream(200, headers));
            state.pauses.pause(ServingState::now(), self, {}, 10_s);
            static_cast<void>(writer.write(eventText(1)));
            state.endpoints.removed(ServingState::now(), self);
            mover.evacuate(self);
            net::sleepFor(150_ms);
            static_cast<void>(writer.finish());
        });
    }
    config.services.front().engine->canBackUp = false;
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1));
    EXPECT_EQ(moves, 0);
}

// A generation on an engine whose streams have no length and that is replaced while it runs. What
// the engine does when it is asked to stop the generation differs from test to test.
class ReplacedEngine : public Exchange
{
protected:
    using Write = test::RawEngine::Write;

    static constexpr int eventCount = 6;

    ReplacedEngine() { config.services.front().engine->canBackUp = false; }

    static std::string events(int first, int last)
    {
        std::string text;
        for (int n = first; n <= last; ++n)
            text += eventText(n);
        return text;
    }

    // True for reports and calls that free a copy, which may come at any time.
    static bool isControlCall(std::string_view head)
    {
        return head.find(" /stream/") == std::string_view::npos
            && head.find(" /move") == std::string_view::npos;
    }

    static void answerControlCall(const Write &write)
    {
        write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    // Answers a stop with the handle of the whole copy.
    static void writeCopy(const Write &write)
    {
        write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ncopy-2");
    }

    // Ends the stream and answers the stop.
    void stopWithCopy(const Write &write)
    {
        endStream();
        writeCopy(write);
    }

    static void rejectResume(const Write &write)
    {
        write("HTTP/1.1 503 Full\r\nRequest: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }

    // Script of the engine that leaves: writes two events, announces that it leaves, and ends the
    // stream between two events once it has been asked to stop, or once `endsByItself` is set.
    void leave(std::string_view head, const Write &write)
    {
        if (isControlCall(head)) {
            answerControlCall(write);
            return;
        }
        if (head.find("Resume-From") != std::string_view::npos) {
            rejectResume(write);
            return;
        }
        if (head.find("/move") == std::string_view::npos) {
            write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n" + events(1, 2));
            onWorker([this] {
                state.endpoints.removed(ServingState::now(), EndpointName("leaving"));
                mover.evacuate(EndpointName("leaving"), 3_s);
            });
            if (copyTakes > 0_ms) {
                copied.get_future().wait();
                write(events(3, 3));
            }
            stopped.get_future().wait();
            return;
        }
        if (head.find("Stop: 1") == std::string_view::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(copyTakes.count));
            write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ncopy-1");
            if (copyTakes > 0_ms)
                copied.set_value();
            return;
        }
        answerStop(write);
    }

    // Calls a stream at the engine that leaves, beside another one that resumes generations.
    Result<net::HttpResponse> callStream()
    {
        test::RawEngine leaving([this](std::string_view head, const Write &write) {
            leave(head, write);
            return false;
        });
        test::RawEngine other([this](std::string_view head, const Write &write) {
            if (isControlCall(head)) {
                answerControlCall(write);
                return false;
            }
            if (rejections > 0) {
                --rejections;
                rejectResume(write);
                return false;
            }
            ++resumes;
            EXPECT_NE(head.find("Resume-From: " + resumesFrom), std::string_view::npos) << head;
            EXPECT_NE(head.find("Resume-After: " + std::to_string(resumesAfter)),
                      std::string_view::npos)
                << head;
            write("HTTP/1.1 200 OK\r\nRequest: id-1\r\nConnection: close\r\n\r\n"
                  + events(resumesAfter + 1, eventCount));
            if (copyTakes > 0_ms)
                endStream();
            return false;
        });
        addEndpointAt("leaving", leaving.address());
        std::promise<Result<net::HttpResponse>> done;
        std::thread caller([&] { done.set_value(call("/stream/x", {{"Tokens", "1"}})); });
        // The other engine joins once the generation runs.
        onWorker([&] {
            while (state.runs.size() == 0)
                net::sleepFor(1_ms);
        });
        addEndpointAt("other", other.address());
        caller.join();
        return done.get_future().get();
    }

    // Ends the stream of the engine that leaves.
    void endStream() { stopped.set_value(); }

    std::function<void(const Write &)> answerStop;
    // Time that the first copy takes, to which the engine adds an event after it; 0: it is made at
    // once, and no event follows.
    Millis copyTakes {0};
    // The copy and the event from which the other engine is expected to resume.
    std::string resumesFrom = "copy-2";
    int resumesAfter = 2;
    std::promise<void> copied;
    std::promise<void> stopped;
    std::atomic<int> resumes {0};
    // Resumes that the other engine rejects first.
    std::atomic<int> rejections {0};
};

// Guards against losing a stopped generation because its new engine rejects requests at times.
TEST_F(ReplacedEngine, RejectedResumeIsTriedAgain)
{
    rejections = 2;
    answerStop = [this](const Write &write) { stopWithCopy(write); };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(resumes, 1);
}

TEST_F(ReplacedEngine, ResumeThatIsAlwaysRejectedEndsVisibly)
{
    rejections = 1000;
    answerStop = [this](const Write &write) { stopWithCopy(write); };
    EXPECT_FALSE(callStream());
    EXPECT_EQ(resumes, 0);
}

// Guards against passing on a third of a generation as a whole one: a stream without a length ends
// with its connection also when the system has asked the engine to stop the generation.
TEST_F(ReplacedEngine, StreamThatTheSystemStoppedResumes)
{
    answerStop = [this](const Write &write) { stopWithCopy(write); };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(resumes, 1);
}

// Guards against the same if the copy takes so long that the stream ends well before the answer.
TEST_F(ReplacedEngine, StreamThatTheSystemStoppedResumesOnceTheCopyIsThere)
{
    answerStop = [this](const Write &write) {
        endStream();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        writeCopy(write);
    };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(resumes, 1);
}

// Guards against running a generation on that has ended by itself just before it was to be stopped.
TEST_F(ReplacedEngine, StreamThatEndedBeforeItWasStoppedIsComplete)
{
    answerStop = [this](const Write &write) {
        endStream();
        write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, 2));
    EXPECT_EQ(resumes, 0);
}

// Guards against passing on a stream as whole if it is not known whether the engine has stopped it,
// and against losing it although a copy from before is there.
TEST_F(ReplacedEngine, StreamThatTheSystemMayHaveStoppedResumesFromTheCopyBefore)
{
    resumesFrom = "copy-1";
    answerStop = [this](const Write &) { endStream(); };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(resumes, 1);
}

// Answers a link on which the copies of many generations wait: a second copy of the same generation
// would wait behind them and be lost when the engine ends. The first one suffices.
TEST_F(ReplacedEngine, GenerationIsHandedOverFromItsCopyWhileTheLinkIsBusy)
{
    copyTakes = 100_ms;
    resumesFrom = "copy-1";
    resumesAfter = 3;
    std::atomic<bool> wasStopped {false};
    answerStop = [&](const Write &) { wasStopped = true; };
    const Result<net::HttpResponse> response = callStream();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(resumes, 1);
    EXPECT_FALSE(wasStopped);
}

// A generation without a backup on an engine that leaves: it is copied to another one and handed
// over. The engine writes an event every 20 ms, up to the last one, while the caller reads.
class HandedOver : public Exchange
{
protected:
    static constexpr int lastEvent = 60;

    HandedOver()
    {
        engines.emplace_back(
            pool, [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                ++resumes;
                resumedFrom = request.header("Resume-From");
                resumedAfter = std::stoi("0" + std::string(request.header("Resume-After")));
                static_cast<void>(writer.send(answer(200, "id-1", events(resumedAfter + 1))));
            });
        other = recordAt("other", addressOf(engines.back()));
        addEndpoint("leaving",
                    [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                        serve(request, writer);
                    });
    }

    static std::string events(int first)
    {
        std::string text;
        for (int n = first; n <= lastEvent; ++n)
            text += eventText(n);
        return text;
    }

    void serve(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        if (request.target == "/free")
            freed.emplace_back(request.header("Handle"));
        if (request.target == "/move") {
            const std::string handle = "copy-" + std::to_string(++copies);
            copy(copies);
            static_cast<void>(writer.send({200, {}, handle}));
            return;
        }
        if (request.target != "/stream/x") {
            static_cast<void>(writer.send({200, {}, {}}));
            return;
        }
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        // The other engine joins once the generation runs.
        state.endpoints.listed(ServingState::now(), other);
        if (leavesAtOnce)
            leave();
        for (int n = 1; n <= lastEvent && writer.write(eventText(n)); ++n) {
            if (!state.mayCall(other))
                lastInPause = n;
            net::sleepFor(20_ms);
        }
        static_cast<void>(writer.finish());
    }

    void leave()
    {
        state.endpoints.removed(ServingState::now(), EndpointName("leaving"));
        mover.evacuate(EndpointName("leaving"), 5_s);
    }

    // Returns true once a copy has been freed.
    bool isFreed(const std::string &handle)
    {
        bool has = false;
        onWorker([&] {
            const Millis until = ServingState::now() + 5_s;
            while (!has && ServingState::now() < until) {
                net::sleepFor(5_ms);
                has = std::find(freed.begin(), freed.end(), handle) != freed.end();
            }
        });
        return has;
    }

    EndpointRecord other;
    bool leavesAtOnce = true;
    // Called at the begin of each copy with its number. One that takes this long is handed over
    // from, without a second one.
    std::function<void(int)> copy = [](int) { net::sleepFor(100_ms); };
    int copies = 0;
    std::vector<std::string> freed;
    // Last event that was written in the other engine's pause.
    int lastInPause = 0;
    int resumes = 0;
    int resumedAfter = 0;
    std::string resumedFrom;
};

// Guards against forgetting a whole copy that the retry budget does not let a request use, and
// making it again and again.
TEST_F(HandedOver, CopyThatMayNotBeUsedStaysAndIsFreed)
{
    onWorker([this] {
        while (state.tryTakeRetry(ServiceName("service"))) { }
    });
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1));
    EXPECT_EQ(resumes, 0);
    EXPECT_EQ(copies, 1);
    EXPECT_TRUE(isFreed("copy-1"));
}

// Guards against holding up a healthy stream for the pause of the engine that is to take it over.
TEST_F(HandedOver, StreamGoesOnDuringAPauseOfTheDestination)
{
    copy = [this](int) {
        net::sleepFor(100_ms);
        state.pauses.pause(ServingState::now(), other.name, {}, 400_ms);
    };
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1));
    EXPECT_EQ(copies, 1);
    EXPECT_EQ(resumes, 1);
    EXPECT_GT(lastInPause, 0);
    EXPECT_GE(resumedAfter, lastInPause);
}

// Guards against a renewal of the standby copy that ends during the copy of a move: its copy is in
// nobody's way and does not stay at the engine.
TEST_F(HandedOver, RenewalThatEndsDuringAMoveIsDropped)
{
    leavesAtOnce = false;
    copy = [this](int n) {
        if (n == 1) {
            leave();
            while (copies < 2)
                net::sleepFor(5_ms);
            return;
        }
        net::sleepFor(150_ms);
    };
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1));
    EXPECT_EQ(copies, 2);
    EXPECT_EQ(resumes, 1);
    EXPECT_EQ(resumedFrom, "copy-2");
    EXPECT_TRUE(isFreed("copy-1"));
}

// Guards against telling a caller that its request has not run, or running it again, because a
// faulty endpoint writes an earlier refusal once more: the refusal must not become the answer of
// the next request or of a call that moves a generation.
TEST_F(Exchange, EarlierRefusalIsNeverTheAnswerToALaterRequest)
{
    std::atomic<int> refused {0};
    std::atomic<int> run {0};
    test::RawEngine faulty([&](std::string_view, const test::RawEngine::Write &write) {
        // Whatever comes first on a connection is answered truly; its bytes are sent again.
        const bool refuses = refused + run < 3;
        ++(refuses ? refused : run);
        const std::string bytes = refuses
            ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            : "HTTP/1.1 200 OK\r\nRequest: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody";
        write(bytes + bytes);
        return true;
    });
    addEndpointAt("e1", faulty.address());
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(call("/once/x")->status, 503);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(call("/once/x")->status, 200);
    onWorker([&] {
        const EndpointRecord record = state.endpoints.find(EndpointName("e1"))->record;
        const Result<net::HttpResponse> control =
            callEndpoint<test::TestProtocol>(state, record, {}, 1_s);
        ASSERT_TRUE(control);
        EXPECT_EQ(control->status, 200);
    });
    EXPECT_EQ(refused, 3);
    EXPECT_EQ(run, 4);
    // Answers that were left over died with their connections.
    EXPECT_EQ(faulty.connections(), 7U);
}

// Guards against a success with an empty or short body, framed as whole, for a caller whose engine
// has stopped in the middle of its answer's head.
TEST_F(Exchange, AnswerCutInItsHeadIsNeverASuccess)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest: id-1\r\nSignature: s\r\n"
                             "Connection: close\r\n\r\n";
    std::atomic<std::size_t> cut {0};
    test::RawEngine faulty([&](std::string_view, const test::RawEngine::Write &write) {
        // The head arrives in two pieces, as from an engine that flushes each line.
        const std::string sent = head.substr(0, cut);
        write(sent.substr(0, sent.size() / 2));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        write(sent.substr(sent.size() / 2));
        return false;
    });
    addEndpointAt("e1", faulty.address());
    for (const char *target : {"/once/x", "/many/x", "/stream/x"}) {
        for (cut = 0; cut < head.size(); ++cut) {
            const Result<net::HttpResponse> response = call(target);
            ASSERT_TRUE(response) << target << ' ' << cut;
            EXPECT_GE(response->status, 502) << target << ' ' << cut;
            EXPECT_EQ(response->header("Signature"), "") << target << ' ' << cut;
            // What is remembered of failures must not keep the next request from the engine.
            onWorker([&] { state.health = {}; });
        }
    }
    EXPECT_EQ(faulty.connections(), 3 * head.size());
}

// Guards against passing spoilt bytes on as a success, for plain requests and before the first
// event of a stream. The engine may have run the request.
TEST_F(Exchange, SuccessThatIsNotTheEndpointsIsUnknown)
{
    addEndpoint("e1", [](const net::HttpRequest &request, net::ResponseWriter &writer) {
        net::HttpResponse spoilt = answer(200, "id-1", eventText(1));
        if (request.header("Spoilt") == "1")
            spoilt.headers.push_back({"Foreign", "1"});
        static_cast<void>(writer.send(spoilt));
    });
    for (const char *target : {"/once/x", "/many/x", "/stream/x"}) {
        const std::size_t before = engines.front().requests().size();
        const Result<net::HttpResponse> response = call(target, {{"Spoilt", "1"}});
        ASSERT_TRUE(response) << target;
        EXPECT_EQ(response->status, 502) << target;
        EXPECT_EQ(response->header("Signature"), "") << target;
        EXPECT_EQ(engines.front().requests().size(), before + 1) << target;
        EXPECT_EQ(call(target)->status, 200) << target;
    }
    onWorker(
        [&] { EXPECT_GT(state.health.failureRate(ServingState::now(), EndpointName("e1")), 0); });
}

// A generation whose engine crashes after two events, while its copy lies in a zone that has gone
// out of service since.
class ZoneGoesOut : public Exchange
{
protected:
    static EndpointRecord recordInZone(const char *name, const char *zone,
                                       const std::string &address)
    {
        EndpointRecord record = recordAt(name, net::parseAddress(address).value());
        record.zone = ZoneName(zone);
        return record;
    }

    void list(const EndpointRecord &record) { state.endpoints.listed(ServingState::now(), record); }

    // Takes a zone out as the store's session does.
    void takeZoneOut(const char *zone)
    {
        state.endpoints.zoneOut(ZoneName(zone));
        mover.replaceCopiesIn(ZoneName(zone));
    }

    static void writeTwoEvents(net::ResponseWriter &writer)
    {
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(1) + eventText(2)));
    }
};

// Guards against sending the rest of a generation to its backup in a zone that is being emptied.
TEST_F(ZoneGoesOut, GenerationDoesNotResumeAtABackupThere)
{
    config.services.front().engine->canMove = false;
    std::atomic<int> resumes {0};
    const auto addEngine = [&](const char *name, const char *ownZone, const char *otherZone) {
        engines.emplace_back(
            pool, [&, otherZone](const net::HttpRequest &request, net::ResponseWriter &writer) {
                if (!request.header("Resume-After").empty()) {
                    ++resumes;
                    static_cast<void>(writer.send(answer(200, "id-1", eventText(3))));
                    return;
                }
                EXPECT_NE(request.header("Backup"), "");
                writeTwoEvents(writer);
                takeZoneOut(otherZone);
                net::sleepFor(20_ms);
                writer.abort();
            });
        const EndpointRecord record = recordInZone(name, ownZone, engines.back().address());
        onWorker([&] { list(record); });
    };
    addEngine("e1", "north", "south");
    addEngine("e2", "south", "north");
    EXPECT_FALSE(call("/stream/x", {{"Tokens", "1"}}));
    EXPECT_EQ(resumes, 0);
}

// Guards against losing a generation because the only copy lies in a zone that is being emptied:
// it is replaced by one elsewhere.
TEST_F(ZoneGoesOut, CopiesThereAreReplaced)
{
    std::atomic<bool> copied {false};
    engines.emplace_back(pool, [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-1", eventText(3))));
    });
    const ScriptedEngine &there = engines.back();
    const EndpointRecord outRecord = recordInZone("e2", "south", there.address());
    engines.emplace_back(pool, [](const net::HttpRequest &request, net::ResponseWriter &writer) {
        EXPECT_EQ(request.header("Resume-From"), "handle-7");
        const std::vector<net::Header> headers {{"Request", "id-1"}};
        static_cast<void>(writer.startStream(200, headers));
        static_cast<void>(writer.write(eventText(3) + eventText(4)));
        static_cast<void>(writer.finish());
    });
    const EndpointRecord elsewhere = recordAt("e3", addressOf(engines.back()));
    addEndpoint("e1", [&](const net::HttpRequest &request, net::ResponseWriter &writer) {
        if (request.target == "/move") {
            copied = true;
            static_cast<void>(writer.send({200, {}, "handle-7"}));
            return;
        }
        writeTwoEvents(writer);
        // The engine with the first copy is listed once the generation runs, and goes out later.
        list(outRecord);
        while (!copied)
            net::sleepFor(5_ms);
        copied = false;
        list(elsewhere);
        takeZoneOut("south");
        // Well before the next renewal of the copy.
        for (int n = 0; n < 200 && !copied; ++n)
            net::sleepFor(5_ms);
        net::sleepFor(20_ms);
        writer.abort();
    });
    const Result<net::HttpResponse> response = call("/stream/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, eventText(1) + eventText(2) + eventText(3) + eventText(4));
    EXPECT_TRUE(there.requests().empty());
}

// Guards against sending a request to a zone that went out after the endpoint was chosen.
TEST_F(ZoneGoesOut, NothingIsSentThereAfterTheChoice)
{
    addEndpoint("e1", [](const net::HttpRequest &, net::ResponseWriter &writer) {
        static_cast<void>(writer.send(answer(200, "id-1")));
    });
    EXPECT_EQ(call("/once/x")->status, 200);
    onWorker([this] { state.endpoints.zoneOut(ZoneName("north")); });
    EXPECT_EQ(call("/once/x")->status, 503);
    EXPECT_EQ(engines.front().requests().size(), 1U);
}

} // namespace
