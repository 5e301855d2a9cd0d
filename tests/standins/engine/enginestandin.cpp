#include "tests/standins/engine/enginestandin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <mutex>

#include <xxhash.h>

namespace fescue::standins {

namespace {

constexpr Millis longestPause = 5_ms;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t maxKnownStreams = 4096;
const std::string streamPrefix = "/v1/streams/";

Incarnation firstIncarnation()
{
    const std::chrono::system_clock::duration age =
        std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(age / std::chrono::milliseconds(1))};
}

std::vector<std::uint64_t> hashPrefixes(std::string_view prompt, std::uint32_t tokensPerBlock)
{
    const std::size_t blockBytes = tokensPerBlock * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes)
        hashes.push_back(XXH3_64bits(prompt.data(), end));
    return hashes;
}

} // namespace

std::string tokenText(std::string_view prompt, std::uint32_t index)
{
    const std::uint64_t hash = XXH3_64bits(prompt.data(), prompt.size());
    return "t" + std::to_string(index) + "." + std::to_string(hash % 10'000) + " ";
}

std::uint32_t outputLength(const EngineStandInOptions &options, std::string_view prompt,
                           std::uint32_t maxTokens)
{
    constexpr std::string_view mark = "#out=";
    const std::uint64_t hash = XXH3_64bits(prompt.data(), prompt.size());
    const std::uint32_t range = std::max(options.maxOutput, options.minOutput) - options.minOutput;
    std::uint64_t length = options.minOutput + hash % (range + 1);
    const std::size_t at = prompt.find(mark);
    if (at != std::string_view::npos)
        length = toNumber(prompt.substr(at + mark.size()));
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(length, 1, maxTokens));
}

EngineStandIn::EngineStandIn(const EngineStandInOptions &options)
    : m_options(options), m_engine(options.engine, firstIncarnation(), steadyNow())
{ }

void EngineStandIn::run()
{
    try {
        runSteps();
    } catch (const net::WorkerStopped &) {
        m_stopped = true;
    }
    m_changed.notify_all();
}

void EngineStandIn::runSteps()
{
    while (true) {
        advance();
        Millis pause = longestPause;
        if (const std::optional<Millis> due = m_engine.nextEventAt())
            pause = std::clamp(*due - engineNow(), 1_ms, longestPause);
        net::sleepFor(pause);
    }
}

Millis EngineStandIn::engineNow() const
{
    return (m_stalledSince.count >= 0 ? m_stalledSince : steadyNow()) - m_stalledTotal;
}

void EngineStandIn::advance()
{
    const std::vector<emulator::EngineEvent> events = m_engine.advance(engineNow());
    if (events.empty())
        return;
    for (const emulator::EngineEvent &event : events) {
        if (event.kind == emulator::EngineEventKind::Crashed) {
            m_streams.clear();
            m_lastStream = 0;
        }
    }
    noteColdLoad();
    m_changed.notify_all();
}

void EngineStandIn::noteColdLoad()
{
    m_maxRunning = std::max(m_maxRunning, m_engine.running());
    if (m_engine.isCold())
        m_maxLoadCold = std::max(m_maxLoadCold, m_engine.loadSinceCold());
}

bool EngineStandIn::isSilenced(const net::ResponseWriter &writer) const noexcept
{
    return writer.connectedAt() <= m_silentSince;
}

void EngineStandIn::handle(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.target.starts_with("/control")) {
        control(request, writer);
        return;
    }
    if (isSilenced(writer)) {
        hang(writer);
        return;
    }
    advance();
    if (m_engine.isDown())
        writer.abort();
    else if (request.target == "/v1/completions")
        complete(request, writer);
    else if (request.target.starts_with(streamPrefix))
        handleStream(request, writer);
    else if (request.target == "/v1/load")
        sendJson(writer, load());
    else if (request.target == "/v1/cache/events")
        sendJson(writer, cacheEvents(toNumber(request.queryValue("after").value_or("0"))));
    else if (request.target == "/v1/orders")
        order(request, writer);
    else
        sendJson(writer, Json::object(), 404);
}

void EngineStandIn::complete(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const Json json = Json::parse(request.body);
    const std::string prompt = json.at("prompt").get<std::string>();
    emulator::EngineRequest work;
    work.stream = {++m_lastStream};
    work.prefixHashes = hashPrefixes(prompt, m_options.engine.tokensPerBlock);
    work.promptTokens =
        static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
    work.outputTokens = outputLength(m_options, prompt, json.value("max_tokens", 32768U));
    work.priority = json.value("priority", 0);
    const emulator::SubmitResult result = m_engine.submit(work, engineNow());
    noteColdLoad();
    if (result == emulator::SubmitResult::Accepted) {
        ++m_started;
        if (m_streams.size() >= maxKnownStreams)
            m_streams.erase(m_streams.begin());
        m_streams[work.stream] = {prompt, 0};
        writeTokens(work.stream, 0, writer);
        return;
    }
    if (result == emulator::SubmitResult::Crashed) {
        ++m_overloads;
        advance();
        writer.abort();
        return;
    }
    ++m_refused;
    static_cast<void>(writer.send(net::problemResponse(
        {503, ResultCode::BackEndRefused, RunState::NotRun, "the engine is full", 1_s})));
}

void EngineStandIn::handleStream(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const emulator::StreamId id {toNumber(request.target.substr(streamPrefix.size()))};
    const bool isKnown =
        m_engine.streamStatus(id).state != emulator::StreamState::Unknown && m_streams.contains(id);
    if (!isKnown) {
        sendJson(writer, Json::object(), 404);
    } else if (request.method == "DELETE") {
        ++m_cancelled;
        m_engine.cancel(id, engineNow());
        m_changed.notify_all();
        static_cast<void>(writer.send({204, {}, {}}));
    } else {
        const std::uint64_t from = toNumber(request.queryValue("from").value_or("0"));
        writeTokens(id, static_cast<std::uint32_t>(from), writer);
    }
}

emulator::StreamStatus EngineStandIn::awaitTokens(emulator::StreamId id, std::uint32_t have,
                                                  Incarnation incarnation)
{
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    while (!m_stopped && m_engine.incarnation() == incarnation && !m_engine.isDown()) {
        const emulator::StreamStatus status = m_engine.streamStatus(id);
        if (status.state != emulator::StreamState::Active || status.produced > have)
            return status;
        m_changed.wait(lock);
    }
    return {};
}

void EngineStandIn::writeTokens(emulator::StreamId id, std::uint32_t from,
                                net::ResponseWriter &writer)
{
    const Incarnation incarnation = m_engine.incarnation();
    const std::string prompt = m_streams[id].prompt;
    ++m_streams[id].requests;
    const std::vector<net::Header> headers = {{"Content-Type", "text/event-stream"},
                                              {"X-Incarnation", std::to_string(incarnation.value)},
                                              {"X-Stream-Id", std::to_string(id.value)}};
    Result<void> written = writer.startStream(200, headers);
    std::uint32_t next = from;
    while (written) {
        const emulator::StreamStatus status = awaitTokens(id, next, incarnation);
        if (isSilenced(writer)) {
            hang(writer);
            return;
        }
        if (status.state == emulator::StreamState::Unknown) {
            writer.abort();
            return;
        }
        std::string events;
        for (; next < status.produced; ++next) {
            const Json data = {
                {"choices", Json::array({{{"text", tokenText(prompt, next)}, {"index", 0}}})}};
            events += "id: " + std::to_string(next) + "\ndata: " + data.dump() + "\n\n";
        }
        const bool isLast = status.state == emulator::StreamState::Finished;
        if (isLast)
            events += "data: [DONE]\n\n";
        written = writer.write(events);
        if (isLast) {
            static_cast<void>(writer.finish());
            return;
        }
    }
}

Json EngineStandIn::load() const
{
    const emulator::EngineLoad load = m_engine.loadReport(engineNow());
    return {{"incarnation", load.incarnation.value},
            {"running", load.running},
            {"waiting", load.waiting},
            {"memory_used", load.memoryUsed},
            {"memory_total", load.memoryTotal},
            {"preemptions", load.preemptions},
            {"cold", load.cold},
            {"first_token_ms", load.firstToken.count},
            {"tokens_total", load.tokensTotal},
            {"age_ms", load.age.count}};
}

Json EngineStandIn::cacheEvents(std::uint64_t after) const
{
    Json events = Json::array();
    for (const emulator::CacheEvent &event : m_engine.cache().eventsAfter(after)) {
        const bool isStored = event.change == emulator::CacheChange::Stored;
        events.push_back({{"seq", event.sequence},
                          {"kind", isStored ? "stored" : "evicted"},
                          {"prefix", std::to_string(event.prefix)}});
    }
    return {{"events", events}, {"last", m_engine.cache().lastSequence()}};
}

void EngineStandIn::order(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    Json json = Json::parse(request.body);
    const std::uint64_t fence = json.at("fence").get<std::uint64_t>();
    const bool isRefused = m_options.checksFencing && fence < m_fence;
    m_fence = std::max(m_fence, fence);
    json["accepted"] = !isRefused;
    m_orders.push_back(json);
    sendJson(writer, {{"fence", m_fence}}, isRefused ? 409 : 200);
}

void EngineStandIn::control(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.target == "/control/orders") {
        sendJson(writer, {{"orders", m_orders}});
        return;
    }
    if (request.method == "POST") {
        const Json json = Json::parse(request.body);
        if (json.value("crash", false))
            m_engine.kill(engineNow());
        if (json.value("cold", false))
            m_engine.turnCold(engineNow());
        if (json.value("silent", false))
            m_silentSince = steadyNow();
        const bool isStalled = m_stalledSince.count >= 0;
        const bool stall = json.value("stall", isStalled);
        if (stall && !isStalled)
            m_stalledSince = steadyNow();
        if (!stall && isStalled) {
            m_stalledTotal += steadyNow() - m_stalledSince;
            m_stalledSince = {-1};
        }
        advance();
    }
    sendJson(writer, stats());
}

Json EngineStandIn::stats() const
{
    Json requests = Json::object();
    for (const std::pair<const emulator::StreamId, Stream> &entry : m_streams)
        requests[std::to_string(entry.first.value)] = entry.second.requests;
    return {{"incarnation", m_engine.incarnation().value},
            {"started", m_started},
            {"refused", m_refused},
            {"overloads", m_overloads},
            {"cancelled", m_cancelled},
            {"running", m_engine.running()},
            {"waiting", m_engine.waiting()},
            {"max_running", m_maxRunning},
            {"max_running_cold", m_maxLoadCold},
            {"cold", m_engine.isCold()},
            {"bearable", m_engine.bearable()},
            {"preemptions", m_engine.preemptions()},
            {"requests_by_stream", requests}};
}

} // namespace fescue::standins
