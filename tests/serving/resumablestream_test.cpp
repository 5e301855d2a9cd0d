#include "tests/net/rawengine.h"
#include "tests/serving/handlerfixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <list>
#include <numeric>
#include <sstream>
#include <thread>

namespace {

using namespace fescue;
using namespace fescue::serving;
using Write = test::RawEngine::Write;

constexpr int eventCount = 6;

std::string events(int first, int last)
{
    std::string text;
    for (int n = first; n <= last; ++n)
        text += "id: " + std::to_string(n) + "\ndata: x\n\n";
    return text;
}

std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

const std::string lastChunk = "0\r\n\r\n";

std::string head(const std::string &signature, const std::string &framing = "")
{
    return "HTTP/1.1 200 OK\r\nRequest: id-1\r\nSignature: " + signature
        + "\r\nConnection: close\r\n" + framing + "\r\n";
}

std::string chunkedHead(const std::string &signature)
{
    return head(signature, "Transfer-Encoding: chunked\r\n");
}

// Returns the event after which a request wants its stream to begin; 0 for all of it.
int positionIn(std::string_view requestHead)
{
    constexpr std::string_view name = "Begin-After: ";
    const std::size_t at = requestHead.find(name);
    return at == std::string_view::npos ? 0 : std::atoi(requestHead.data() + at + name.size());
}

// Long enough for an engine to count as silent.
void staySilent()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
}

// Streams of two routes, one of them resumable, in front of engines without copies of memory. The
// engine that is asked first breaks off as its test wants; all others serve the rest.
class ResumableStream : public test::HandlerFixture
{
protected:
    // Answers a request that wants the stream after `position`.
    using Serve = std::function<void(int position, const Write &write)>;

    ResumableStream() : HandlerFixture(false)
    {
        addRoute("/resume/", RouteKind::Streaming, 2, 200_ms).isResumable = true;
        addRoute("/stream/", RouteKind::Streaming, 2, 200_ms);
    }

    static void serveRest(int position, const Write &write)
    {
        write(chunkedHead("sound") + chunk(events(position + 1, eventCount)) + lastChunk);
    }

    void addEngines(int count, const Serve &breaks, const Serve &serves = serveRest,
                    int breaking = 1)
    {
        for (int n = 0; n < count; ++n) {
            const std::string name = "e" + std::to_string(n);
            engines.emplace_back([=, this](std::string_view requestHead, const Write &write) {
                if (requestHead.find(" /report") != std::string_view::npos) {
                    if (answersReports)
                        write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    return false;
                }
                const int position = positionIn(requestHead);
                const bool isBreaking = requests++ < breaking;
                lastPosition = position;
                if (isBreaking && restarts)
                    list(name, engines.back().address(), Incarnation {2});
                (isBreaking ? breaks : serves)(position, write);
                return false;
            });
            list(name, engines.back().address(), Incarnation {1});
        }
    }

    void list(const std::string &name, const net::Address &address, Incarnation incarnation)
    {
        EndpointRecord record = recordAt(name, address);
        record.incarnation = incarnation;
        record.softwareVersion = name == newEngine ? "v2" : "v1";
        listEndpoint(record);
    }

    // Begins a roll-out of version "v2" to the engines; undecided after 30 s, it allows any engine.
    void rollOut(Millis age = 0_ms)
    {
        onWorker([this, age] {
            const RolloutOrder order {service, "v2", 30_s, {1, 1}};
            state.rollouts.orderWritten(ServingState::now(), order, age, 0);
        });
    }

    // Returns the evidence of the roll-out on the resumable route a minute from now.
    RouteEvidence evidence()
    {
        RouteEvidence found;
        onWorker([&, this] {
            found = state.rollouts.evidence(ServingState::now() + 60_s, service)["/resume/"];
        });
        return found;
    }

    // Requests that are evidence of a roll-out because they wait for their first event.
    int openWaits()
    {
        const AnswerCounts counts = evidence().oldVersion;
        return static_cast<int>(std::accumulate(counts.open.begin(), counts.open.end(), 0U));
    }

    std::list<test::RawEngine> engines;
    // The engine of the other software version.
    std::string newEngine;
    // Engines answer for themselves when they are asked for their state.
    bool answersReports = false;
    // An engine that breaks off is listed as restarted by then.
    bool restarts = false;
    std::atomic<int> requests {0};
    std::atomic<int> lastPosition {-1};
};

// Guards against pieces that come twice: a caller that comes back after its process was killed has
// the first pieces already.
TEST_F(ResumableStream, CallerThatComesBackGetsWhatFollowsItsLastEvent)
{
    addEngines(1, serveRest);
    const Result<net::HttpResponse> response = call("/resume/x", {{"Last-Event", "4"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(5, eventCount));
    EXPECT_EQ(lastPosition, 4);
}

TEST_F(ResumableStream, EarlierPiecesOfAnEngineThatBeginsAnewAreDropped)
{
    addEngines(1, [](int, const Write &write) { serveRest(0, write); });
    const Result<net::HttpResponse> response = call("/resume/x", {{"Last-Event", "4"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(5, eventCount));
}

TEST_F(ResumableStream, CallerThatHasAllGetsAnEmptyStreamThatIsWhole)
{
    addEngines(1, serveRest);
    const Result<net::HttpResponse> response = call("/resume/x", {{"Last-Event", "6"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "");
}

// Guards against a stream that looks whole because its engine ended before the first event.
TEST_F(ResumableStream, EmptyStreamThatEndsWithItsConnectionIsNotWhole)
{
    addEngines(1, [](int, const Write &write) { write(head("s")); });
    const Result<net::HttpResponse> response = call("/resume/x", {{"Last-Event", "4"}});
    EXPECT_TRUE(!response || response->status == 502);
}

TEST_F(ResumableStream, PositionThatCannotBeServedIsRefusedBeforeAnythingRuns)
{
    addEngines(1, serveRest);
    for (const char *target : {"/resume/x", "/stream/x"}) {
        const bool isResumable = target == std::string("/resume/x");
        const Result<net::HttpResponse> response =
            call(target, {{"Last-Event", isResumable ? "4th" : "4"}});
        ASSERT_TRUE(response) << response.error().message;
        EXPECT_EQ(response->status, 400);
        EXPECT_NE(response->body.find("1008"), std::string::npos) << response->body;
    }
    EXPECT_EQ(requests, 0);
}

// Guards against joining pieces of two runs where the route does not allow it.
TEST_F(ResumableStream, StreamOfAnotherRouteIsNeverRunAgain)
{
    addEngines(3,
               [](int, const Write &write) { write(chunkedHead("first") + chunk(events(1, 2))); });
    EXPECT_FALSE(call("/stream/x"));
    EXPECT_EQ(requests, 1);
}

TEST_F(ResumableStream, NoMoreEnginesRunItThanTheRouteAllows)
{
    addEngines(
        3,
        [](int position, const Write &write) {
            write(chunkedHead("s") + chunk(events(position + 1, position + 1)));
        },
        serveRest, 3);
    EXPECT_FALSE(call("/resume/x"));
    EXPECT_EQ(requests, 2);
}

// Guards against losing a stream because engines that crashed count against the route's limit.
TEST_F(ResumableStream, EnginesThatEndedDoNotCountAgainstTheLimit)
{
    restarts = true;
    addEngines(
        3,
        [](int position, const Write &write) {
            write(chunkedHead("s") + chunk(events(position + 1, position + 1)));
        },
        serveRest, 2);
    const Result<net::HttpResponse> response = call("/resume/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(requests, 3);
}

// Guards against a stream that goes on at a healthy engine and is reported as an open slow request
// of that engine's version until it ends.
TEST_F(ResumableStream, StreamThatRunsAgainAfterEventsLeavesNoOpenWait)
{
    rollOut();
    int openBefore = -1;
    int openAfter = -1;
    addEngines(
        2,
        [&, this](int, const Write &write) {
            openBefore = openWaits();
            // An event that is missing.
            write(chunkedHead("s") + chunk(events(1, 3) + events(5, 5)));
        },
        [&, this](int position, const Write &write) {
            write(chunkedHead("s"));
            for (int n = 0; n < 200 && openAfter != 0; ++n) {
                openAfter = openWaits();
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            write(chunk(events(position + 1, eventCount)) + lastChunk);
        });
    const Result<net::HttpResponse> response = call("/resume/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(openBefore, 1);
    EXPECT_EQ(openAfter, 0);
}

// Guards against a slow engine that runs a stream again and is not seen as slow, since the failure
// of the engine before it ended its wait.
TEST_F(ResumableStream, StreamThatRunsAgainBeforeItsFirstEventIsWaitedFor)
{
    rollOut();
    int open = 1;
    addEngines(
        2, [](int, const Write &write) { write(chunkedHead("s")); },
        [&, this](int position, const Write &write) {
            write(chunkedHead("s"));
            for (int n = 0; n < 50 && open == 1; ++n) {
                open = openWaits();
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            write(chunk(events(position + 1, eventCount)) + lastChunk);
        });
    const Result<net::HttpResponse> response = call("/resume/x");
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(open, 1);
    EXPECT_EQ(openWaits(), 0);
}

// Guards against a break that counts against the engine that was asked to go on, which may be of
// the other software version.
TEST_F(ResumableStream, BreakCountsForTheEngineThatBrokeOffIfNoneGoesOn)
{
    newEngine = "e1";
    rollOut(40_s);
    addEngines(
        2, [](int, const Write &write) { write(chunkedHead("s") + chunk(events(1, 2))); },
        [](int, const Write &) {});
    EXPECT_FALSE(call("/resume/x"));
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(evidence().oldVersion.failures, 1U);
    EXPECT_EQ(evidence().newVersion.failures, 1U);
}

TEST_F(ResumableStream, NothingIsRunAgainWithoutBudget)
{
    addEngines(2, [](int, const Write &write) { write(chunkedHead("s") + chunk(events(1, 2))); });
    onWorker([this] {
        while (state.tryTakeRetry(service)) { }
    });
    EXPECT_FALSE(call("/resume/x"));
    EXPECT_EQ(requests, 1);
}

// Guards against a run that outlasts the process: the caller comes back to another one instead.
TEST_F(ResumableStream, NothingIsRunAgainByAProcessThatStops)
{
    addEngines(2, [this](int, const Write &write) {
        onWorker([this] { state.stop.begin(ServingState::now(), 1_s); });
        write(chunkedHead("s") + chunk(events(1, 2)));
    });
    EXPECT_FALSE(call("/resume/x"));
    EXPECT_EQ(requests, 1);
}

// Guards against two readings of a prompt because an engine that is merely busy is left: it answers
// when it is asked for its state.
TEST_F(ResumableStream, BusyEngineIsWaitedFor)
{
    answersReports = true;
    addEngines(2, [](int position, const Write &write) {
        staySilent();
        write(chunkedHead("busy") + chunk(events(position + 1, 2)));
        staySilent();
        write(chunk(events(3, eventCount)) + lastChunk);
    });
    const Result<net::HttpResponse> response = call("/resume/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(response->header("Signature"), "busy");
    EXPECT_EQ(requests, 1);
}

// Guards against a stream that is lost because its new engine leaves while a move away from the
// first one has not ended.
TEST_F(ResumableStream, GenerationThatRunsAgainIsMovedFromAnEngineThatLeaves)
{
    config.services.front().engine->canMove = true;
    std::atomic<bool> moveCame {false};
    std::atomic<bool> runsAgain {false};
    std::atomic<bool> isStopped {false};
    std::atomic<bool> isResumed {false};
    const auto leave = [this](const char *name) {
        onWorker([this, name] {
            state.endpoints.removed(ServingState::now(), EndpointName(name));
            mover.evacuate(EndpointName(name), 3_s);
        });
    };
    const auto set = [](std::atomic<bool> &flag) {
        flag = true;
        flag.notify_all();
    };
    const auto isMove = [](std::string_view head) { return head.find(" /move") != head.npos; };
    const auto isStream = [](std::string_view head) { return head.find(" /resume/") != head.npos; };
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: ";
    engines.emplace_back([&](std::string_view requestHead, const Write &write) {
        if (isStream(requestHead)) {
            write(chunkedHead("first") + chunk(events(1, 2)));
            leave("first");
            moveCame.wait(false);
        } else if (isMove(requestHead)) {
            set(moveCame);
            runsAgain.wait(false);
        } else {
            write(ok + "0\r\n\r\n");
        }
        return false;
    });
    engines.emplace_back([&](std::string_view requestHead, const Write &write) {
        if (isStream(requestHead)) {
            write(chunkedHead("second") + chunk(events(3, 3)));
            list("third", engines.back().address(), Incarnation {1});
            leave("second");
            set(runsAgain);
            for (int n = 0; n < 400 && !isStopped; ++n)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        } else if (isMove(requestHead)) {
            const bool stops = requestHead.find("Stop: 1") != std::string_view::npos;
            write(ok + "6\r\n\r\n" + (stops ? "copy-2" : "copy-1"));
            if (stops)
                isStopped = true;
        } else {
            write(ok + "0\r\n\r\n");
        }
        return false;
    });
    engines.emplace_back([&](std::string_view requestHead, const Write &write) {
        if (isStream(requestHead)) {
            isResumed = requestHead.find("Resume-From: copy-2") != std::string_view::npos;
            write(chunkedHead("third") + chunk(events(4, eventCount)) + lastChunk);
        } else {
            write(ok + "0\r\n\r\n");
        }
        return false;
    });
    list("first", engines.front().address(), Incarnation {1});
    std::promise<Result<net::HttpResponse>> done;
    std::thread caller([&] { done.set_value(call("/resume/x", {{"Tokens", "1"}})); });
    // The second engine joins once the generation runs, so that the first one gets it.
    onWorker([this] {
        while (state.runs.size() == 0)
            net::sleepFor(1_ms);
    });
    list("second", std::next(engines.begin())->address(), Incarnation {1});
    caller.join();
    const Result<net::HttpResponse> response = done.get_future().get();
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_TRUE(isResumed);
}

// One way in which the first engine fails, and the number of pieces that the caller has by then.
struct Break
{
    const char *name;
    std::function<void(int position, const Write &write)> serve;
    int passed;
};

std::ostream &operator<<(std::ostream &out, const Break &value)
{
    return out << value.name;
}

const std::array<Break, 14> breaks {{
    {"WithoutAnAnswer", [](int, const Write &) {}, 0},
    {"InTheHead", [](int, const Write &write) { write("HTTP/1.1 200 OK\r\nReq"); }, 0},
    {"FailureOfTheEngine",
     [](int, const Write &write) {
         write("HTTP/1.1 500 Fault\r\nRequest: id-1\r\nContent-Length: 0\r\n\r\n");
     },
     0},
    {"Rejection",
     [](int, const Write &write) {
         write("HTTP/1.1 503 Full\r\nRequest: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
     },
     0},
    {"ForeignSuccess",
     [](int, const Write &write) {
         write(head("first", "Foreign: 1\r\n") + events(1, eventCount));
     },
     0},
    {"AfterTheHead", [](int, const Write &write) { write(chunkedHead("first")); }, 0},
    {"AfterAnEvent",
     [](int, const Write &write) { write(chunkedHead("first") + chunk(events(1, 2))); }, 2},
    {"InsideAnEvent",
     [](int, const Write &write) {
         write(chunkedHead("first") + chunk(events(1, 2) + "id: 3\nda"));
     },
     2},
    {"InsideAnEventWithoutALength",
     [](int, const Write &write) { write(head("first") + events(1, 2) + "id: 3\nda"); }, 2},
    {"IdThatDoesNotFollow",
     [](int, const Write &write) {
         write(chunkedHead("first") + chunk(events(1, 2) + events(4, eventCount)) + lastChunk);
     },
     2},
    {"EventWithoutAnId",
     [](int, const Write &write) {
         write(chunkedHead("first") + chunk(events(1, 2) + "data: x\n\n" + events(3, eventCount))
               + lastChunk);
     },
     2},
    {"FirstEventMissing",
     [](int, const Write &write) {
         write(chunkedHead("first") + chunk(events(3, eventCount)) + lastChunk);
     },
     0},
    {"SilenceBeforeTheAnswer", [](int, const Write &) { staySilent(); }, 0},
    {"SilenceAfterAnEvent",
     [](int, const Write &write) {
         write(chunkedHead("first") + chunk(events(1, 2)));
         staySilent();
     },
     2},
}};

class BrokenStream : public ResumableStream, public testing::WithParamInterface<Break>
{ };

// Guards against a lost stream, and against gaps and duplicates in one that goes on: whatever the
// first engine does, another one runs the rest within the same response, which keeps the head of
// the first.
TEST_P(BrokenStream, GoesOnAtAnotherEngine)
{
    addEngines(2, GetParam().serve);
    const Result<net::HttpResponse> response = call("/resume/x", {{"Tokens", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, events(1, eventCount));
    EXPECT_EQ(response->header("Signature"), GetParam().passed > 0 ? "first" : "sound");
    EXPECT_EQ(lastPosition, GetParam().passed);
    EXPECT_EQ(requests, 2);
}

// The same for a caller that came back with its last event, at engines that begin anew.
TEST_P(BrokenStream, GoesOnForACallerThatCameBack)
{
    addEngines(2, GetParam().serve, [](int, const Write &write) { serveRest(0, write); });
    const Result<net::HttpResponse> response =
        call("/resume/x", {{"Tokens", "1"}, {"Last-Event", "1"}});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, events(2, eventCount));
    EXPECT_EQ(lastPosition, std::max(GetParam().passed, 1));
}

INSTANTIATE_TEST_SUITE_P(Breaks, BrokenStream, testing::ValuesIn(breaks),
                         [](const testing::TestParamInfo<Break> &info) {
                             return std::string(info.param.name);
                         });

} // namespace
