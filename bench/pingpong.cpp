// Costs of the network library on loopback: requests on kept connections, streamed tokens, and
// memory for each open stream.
#include "fescue/net.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <string>

#include <benchmark/benchmark.h>

namespace {

using namespace fescue;
using namespace fescue::net;

constexpr int tokensPerStream = 1000;

void handle(const HttpRequest &request, ResponseWriter &writer)
{
    if (request.target == "/ping") {
        static_cast<void>(writer.send({200, {}, "pong"}));
        return;
    }
    static_cast<void>(writer.startStream(200, {}));
    if (request.target == "/hold") {
        while (!writer.callerGone())
            sleepFor(100_ms);
        return;
    }
    const std::string token = "id: 1\ndata: {\"choices\":[{\"text\":\"token \",\"index\":0}]}\n\n";
    for (int i = 0; i < tokensPerStream; ++i)
        static_cast<void>(writer.write(token));
    static_cast<void>(writer.finish());
}

// Runs a task on that many fibers, spread over the workers, and waits for all.
void runAll(WorkerPool &pool, std::size_t fibers, const std::function<void()> &task)
{
    std::promise<void> done;
    std::atomic<std::size_t> left = fibers;
    for (std::size_t i = 0; i < fibers; ++i) {
        pool.spawnAny([&] {
            task();
            if (--left == 0)
                done.set_value();
        });
    }
    done.get_future().get();
}

void BM_Requests(benchmark::State &state)
{
    WorkerPool pool(static_cast<std::size_t>(state.range(0)));
    HttpServer server(pool, {"127.0.0.1", 0}, {}, handle);
    HttpClient client;
    if (!server.start())
        return;
    const std::size_t fibers = static_cast<std::size_t>(state.range(1));
    constexpr int requestsPerFiber = 200;
    HttpRequest ping;
    ping.target = "/ping";
    std::atomic<int> failures = 0;
    for ([[maybe_unused]] auto _ : state) {
        runAll(pool, fibers, [&] {
            for (int i = 0; i < requestsPerFiber; ++i) {
                if (!client.request(server.address(), ping, 5_s))
                    ++failures;
            }
        });
    }
    state.counters["failures"] = failures.load();
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(fibers)
                            * requestsPerFiber);
}
BENCHMARK(BM_Requests)->Args({1, 1})->Args({1, 32})->Args({2, 32})->UseRealTime();

void BM_StreamedTokens(benchmark::State &state)
{
    WorkerPool pool(static_cast<std::size_t>(state.range(0)));
    HttpServer server(pool, {"127.0.0.1", 0}, {}, handle);
    HttpClient client;
    if (!server.start())
        return;
    const std::size_t fibers = static_cast<std::size_t>(state.range(1));
    std::atomic<std::int64_t> tokens = 0;
    for ([[maybe_unused]] auto _ : state) {
        runAll(pool, fibers, [&] {
            Result<ClientStream> stream = client.openStream(server.address(), {}, 5_s);
            if (!stream)
                return;
            std::string buf(4096, ' ');
            SseParser parser;
            Result<std::size_t> n = 1;
            while (n && *n > 0) {
                n = stream->read(buf, 5_s);
                if (n)
                    static_cast<void>(parser.feed(std::string_view(buf).substr(0, *n),
                                                  [&tokens](const SseEvent &) { ++tokens; }));
            }
        });
    }
    state.SetItemsProcessed(tokens.load());
}
BENCHMARK(BM_StreamedTokens)->Args({1, 1})->Args({1, 32})->Args({2, 32})->UseRealTime();

long residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word && word != "VmRSS:") { }
    long kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
}

// Memory of both ends of an idle stream: two fibers, two connections.
void BM_StreamMemory(benchmark::State &state)
{
    constexpr std::size_t streams = 2000;
    for ([[maybe_unused]] auto _ : state) {
        WorkerPool pool(2);
        HttpServer server(pool, {"127.0.0.1", 0}, {}, handle);
        HttpClient client;
        if (!server.start())
            return;
        HttpRequest hold;
        hold.target = "/hold";
        const long before = residentKilobytes();
        std::atomic<std::size_t> open = 0;
        std::atomic<bool> measured = false;
        std::promise<void> allOpen;
        std::thread measure([&] {
            allOpen.get_future().get();
            const long used = residentKilobytes() - before;
            state.counters["KB_per_stream"] = static_cast<double>(used) / streams;
            measured = true;
        });
        runAll(pool, streams, [&] {
            Result<ClientStream> stream = client.openStream(server.address(), hold, 20_s);
            if (!stream)
                std::fprintf(stderr, "%s\n", stream.error().toString().c_str());
            if (++open == streams)
                allOpen.set_value();
            while (!measured)
                sleepFor(50_ms);
        });
        measure.join();
    }
}
BENCHMARK(BM_StreamMemory)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
