// Measures what one entry relays: an engine that sends as fast as it can or at a fixed pace, and a
// client that counts tokens and times each of them. bench/relay.sh runs both around an entry.
#include "fescue/net/httpclient.h"
#include "fescue/net/httpserver.h"
#include "fescue/net/sseparser.h"
#include "fescue/net/workerpool.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace fescue;

constexpr std::string_view tokenMark = "\"text\":\"";

std::int64_t nowMicros()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct EngineOptions
{
    std::string listen = "127.0.0.1:0";
    std::string portFile;
    // Time between the tokens of a stream; 0 sends without a pause.
    std::int64_t tokenMs = 0;
};

// Serves streams of as many tokens as asked for. The text of a token is the time of its sending.
class PacedEngine
{
public:
    explicit PacedEngine(Millis interval) : m_interval(interval) { }

    void handle(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        if (request.target == "/v1/load") {
            static_cast<void>(writer.send(net::jsonResponse(
                200,
                R"({"incarnation":1,"running":0,"waiting":0,"memory_used":0,"memory_total":1000000000,)"
                R"("preemptions":0,"cold":false,"first_token_ms":1,"tokens_total":0,"age_ms":0})")));
            return;
        }
        if (request.method != "POST") {
            static_cast<void>(writer.send(net::HttpResponse {404, {}, {}}));
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        stream(body.value("max_tokens", 1000U), writer);
    }

private:
    void stream(std::uint32_t tokens, net::ResponseWriter &writer)
    {
        const std::vector<net::Header> headers = {{"Content-Type", "text/event-stream"},
                                                  {"X-Incarnation", "1"},
                                                  {"X-Stream-Id", std::to_string(++m_streams)}};
        if (!writer.startStream(200, headers))
            return;
        for (std::uint32_t n = 0; n < tokens; ++n) {
            const std::string event = "id: " + std::to_string(n)
                + "\ndata: {\"choices\":[{\"text\":\"" + std::to_string(nowMicros())
                + "\",\"index\":0}]}\n\n";
            if (!writer.write(event))
                return;
            if (m_interval > Millis {0})
                net::sleepFor(m_interval);
        }
        static_cast<void>(writer.write("data: [DONE]\n\n"));
        static_cast<void>(writer.finish());
    }

    Millis m_interval;
    std::atomic<std::uint64_t> m_streams {0};
};

int runEngine(const EngineOptions &options)
{
    const Result<net::Address> listen = net::parseAddress(options.listen);
    if (!listen)
        return 2;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    net::WorkerPool pool(2);
    PacedEngine engine(Millis {options.tokenMs});
    net::HttpServer server(pool, *listen, {},
                           [&engine](const net::HttpRequest &request, net::ResponseWriter &writer) {
                               engine.handle(request, writer);
                           });
    if (!server.start())
        return 1;
    std::ofstream(options.portFile) << server.address().toString() << '\n';
    int signal = 0;
    sigwait(&signals, &signal);
    server.closeConnections();
    return 0;
}

struct ClientOptions
{
    std::string target;
    std::string key;
    std::uint32_t streams = 32;
    std::uint32_t tokens = 1000;
};

struct Sample
{
    std::vector<std::int64_t> delays;
    std::vector<std::int64_t> firstTokens;
    std::uint64_t failures = 0;
};

std::int64_t quantile(std::vector<std::int64_t> &values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

net::HttpRequest completion(const ClientOptions &options)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.push_back({"Authorization", "Bearer " + options.key});
    request.body = R"({"model":"draft","prompt":"measure","stream":true,"max_tokens":)"
        + std::to_string(options.tokens) + "}";
    return request;
}

Sample readStream(net::HttpClient &client, const net::Address &target, const ClientOptions &options)
{
    Sample sample;
    const std::int64_t asked = nowMicros();
    Result<net::ClientStream> stream = client.openStream(target, completion(options), 30_s);
    if (!stream || stream->status() != 200) {
        sample.failures = 1;
        return sample;
    }
    net::SseParser parser;
    std::vector<char> buf(std::size_t {64} * 1024);
    bool done = false;
    while (!done) {
        const Result<std::size_t> n = stream->read(buf, 30_s);
        if (!n || *n == 0)
            break;
        const std::int64_t now = nowMicros();
        static_cast<void>(
            parser.feed(std::string_view(buf.data(), *n), [&](const net::SseEvent &event) {
                done = done || event.data == "[DONE]";
                const std::size_t at = event.data.find(tokenMark);
                if (at == std::string_view::npos)
                    return;
                std::int64_t sent = 0;
                const char *begin = event.data.data() + at + tokenMark.size();
                std::from_chars(begin, event.data.data() + event.data.size(), sent);
                if (sample.delays.empty())
                    sample.firstTokens.push_back(now - asked);
                sample.delays.push_back(now - sent);
            }));
    }
    sample.failures = done && sample.delays.size() == options.tokens ? 0 : 1;
    return sample;
}

int runClient(const ClientOptions &options)
{
    const Result<net::Address> target = net::parseAddress(options.target);
    if (!target)
        return 2;
    net::WorkerPool pool(3);
    net::HttpClient client;
    std::mutex mutex;
    Sample all;
    std::atomic<std::uint32_t> left {options.streams};
    const std::int64_t begin = nowMicros();
    for (std::uint32_t n = 0; n < options.streams; ++n) {
        pool.spawnAny([&] {
            Sample sample = readStream(client, *target, options);
            {
                const std::lock_guard lock(mutex);
                all.delays.insert(all.delays.end(), sample.delays.begin(), sample.delays.end());
                all.firstTokens.insert(all.firstTokens.end(), sample.firstTokens.begin(),
                                       sample.firstTokens.end());
                all.failures += sample.failures;
            }
            --left;
        });
    }
    while (left > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const double seconds = static_cast<double>(nowMicros() - begin) / 1e6;
    const std::size_t tokens = all.delays.size();
    std::printf("%zu %.0f %lld %lld %lld %lld %llu\n", tokens,
                static_cast<double>(tokens) / seconds,
                static_cast<long long>(quantile(all.delays, 0.5)),
                static_cast<long long>(quantile(all.delays, 0.99)),
                static_cast<long long>(quantile(all.firstTokens, 0.5)),
                static_cast<long long>(quantile(all.firstTokens, 0.99)),
                static_cast<unsigned long long>(all.failures));
    return all.failures == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Engine and client for the measurement of an entry's relay."};
    app.require_subcommand(1);
    EngineOptions engine;
    CLI::App *engineCommand = app.add_subcommand("engine", "serve streams");
    engineCommand->add_option("--listen", engine.listen);
    engineCommand->add_option("--port-file", engine.portFile)->required();
    engineCommand->add_option("--token-ms", engine.tokenMs);
    ClientOptions client;
    CLI::App *clientCommand = app.add_subcommand(
        "client",
        "read streams; prints tokens, tokens/s, p50 and p99 of the delay of a token and of the "
        "time to the first token in microseconds, and failed streams");
    clientCommand->add_option("--target", client.target)->required();
    clientCommand->add_option("--key", client.key);
    clientCommand->add_option("--streams", client.streams);
    clientCommand->add_option("--tokens", client.tokens);
    CLI11_PARSE(app, argc, argv);
    return engineCommand->parsed() ? runEngine(engine) : runClient(client);
}
